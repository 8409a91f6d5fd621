/**
 * How well a target does, judged by its own packets in passing (passive health checks):
 * whether it still answers opening packets, and which part of its answers are failures.
 * No probe is sent, and what a target says of its own health is not used.
 */

/** Milliseconds in which a target that runs answers an opening packet, with much to spare. */
const OPENING_TIMEOUT = 150;
/** Milliseconds of silence after which a target is taken to be down. */
const DOWN_TIMEOUT = 400;
/** Opening packets that must have gone unanswered before that. */
const OPENINGS_BEFORE_DOWN = 2;
/** Requests that must have been given up, with nothing heard meanwhile, where no opening is tried. */
const REQUESTS_BEFORE_DOWN = 2;
/** Looks at the clock, with reading between them, before that: a pause of the agent is no silence. */
const TICKS_BEFORE_DOWN = 2;
/** Milliseconds between opening packets that a target gets while it is taken to be down. */
const PROBE_INTERVAL = 300;
/**
 * Opening packets in a row that a target has returned, with nothing of its own sent between, before
 * it counts as one that takes no flows: one that is full goes on answering others meanwhile.
 */
const RETURNS_BEFORE_USELESS = 2;
/** Milliseconds after the last of them in which the target is taken to take none. */
const USELESS_TIME = 3_000;
/** Milliseconds in which the weight of an outcome falls to about a third. */
const OUTCOME_TIME = 3_000;
/** Good outcomes assumed, so that one failure is no verdict. */
const ASSUMED_SUCCESSES = 3;
/**
 * Weight of one outcome in the share of the latest few: three failures in a row bring it to a third,
 * however many requests went well before.
 */
const LATEST_WEIGHT = 0.2;
/** Milliseconds in which that share falls to about a third while there are no outcomes. */
const LATEST_LIFETIME = 10_000;
/**
 * Milliseconds after the latest opening packet in which silence tells against a target. Balancers
 * may send it none while it fails, and then it has nothing to answer: as long as the share above.
 */
const SILENCE_MEMORY = LATEST_LIFETIME;

/** Health of one target. */
export class TargetHealth {
  private silentOpenings = 0;
  private silentSince: number | undefined;
  private silentTicks = 0;
  private silentRequests = 0;
  private ticksSinceRequest = 0;
  private probedAt = -Infinity;
  private returnedOpenings = 0;
  private returnedAt = -Infinity;
  private failures = 0;
  private successes = 0;
  private weighedAt = 0;
  /** Fading share of failures among the latest few outcomes. */
  private latestShare = 0;
  private clearings = 0;

  /** An opening packet is handed to the target. */
  openingDelivered(now: number): void {
    this.silentSince ??= now;
    this.silentOpenings++;
    this.probedAt = now;
  }

  /** The target has sent or returned a packet. */
  heard(): void {
    this.silentSince = undefined;
    this.silentOpenings = 0;
    this.silentTicks = 0;
    this.silentRequests = 0;
    this.ticksSinceRequest = 0;
  }

  /** The target has sent a packet of its own: it serves. */
  served(): void {
    this.returnedOpenings = 0;
  }

  /** The target has returned an opening packet: there is none, or it cannot take the flow. */
  openingReturned(now: number): void {
    this.returnedOpenings++;
    this.returnedAt = now;
  }

  /** The target has said something new of itself: what it returned before says little. */
  stateTold(): void {
    this.returnedOpenings = 0;
  }

  /** To be called at regular intervals, with reading of the target's packets between calls. */
  tick(): void {
    this.silentTicks += this.silentSince === undefined ? 0 : 1;
    this.ticksSinceRequest += this.silentRequests === 0 ? 0 : 1;
  }

  /** A request has ended: answered well, or failed, refused or left without an answer. */
  requestEnded(succeeded: boolean, now: number): void {
    this.weigh(now);
    this.successes += succeeded ? 1 : 0;
    this.failures += succeeded ? 0 : 1;
    this.latestShare += LATEST_WEIGHT * ((succeeded ? 0 : 1) - this.latestShare);
  }

  /** A request has had no answer for longer than any takes. */
  requestGivenUp(now: number): void {
    this.silentRequests++;
    this.requestEnded(false, now);
  }

  /** Targets that were judged before this one. */
  get targetChanges(): number {
    return this.clearings;
  }

  /** Another incarnation has started: nothing is known of it. */
  clear(): void {
    this.clearings++;
    this.heard();
    this.latestShare = 0;
    this.returnedOpenings = 0;
    this.failures = 0;
    this.successes = 0;
  }

  /**
   * Whether the target has lately left every opening packet without an answer, or, since one
   * that looks loaded gets no opening packets, requests of several flows and all else.
   */
  isDown(now: number): boolean {
    return this.ignoresRequests || this.ignoresOpenings(now);
  }

  private get ignoresRequests(): boolean {
    return (
      this.silentRequests >= REQUESTS_BEFORE_DOWN && this.ticksSinceRequest >= TICKS_BEFORE_DOWN
    );
  }

  private ignoresOpenings(now: number): boolean {
    return (
      this.silentOpenings >= OPENINGS_BEFORE_DOWN &&
      this.silentTicks >= TICKS_BEFORE_DOWN &&
      this.silence(now) > DOWN_TIMEOUT
    );
  }

  /** Whether an opening packet may be tried at a target that is taken to be down. */
  isProbeDue(now: number): boolean {
    return now - this.probedAt >= PROBE_INTERVAL;
  }

  /**
   * Part of the requests that fail of late, 0 to 1; 1 for a target that has lately said nothing to
   * opening packets, and for one that takes no flows.
   */
  failureShare(now: number): number {
    if (this.isSilent(now) || this.takesNoFlows(now)) {
      return 1;
    }
    this.weigh(now);
    const share = this.failures / (this.failures + this.successes + ASSUMED_SUCCESSES);
    return Math.max(share, this.repeatedFailures);
  }

  /** Share of failures among the latest few outcomes, less what a single one brings. */
  private get repeatedFailures(): number {
    return Math.max(0, this.latestShare - LATEST_WEIGHT) / (1 - LATEST_WEIGHT);
  }

  private takesNoFlows(now: number): boolean {
    return this.returnedOpenings >= RETURNS_BEFORE_USELESS && now - this.returnedAt <= USELESS_TIME;
  }

  private isSilent(now: number): boolean {
    return this.silence(now) > OPENING_TIMEOUT && now - this.probedAt <= SILENCE_MEMORY;
  }

  private silence(now: number): number {
    return this.silentSince === undefined ? 0 : now - this.silentSince;
  }

  private weigh(now: number): void {
    const weight = Math.exp((this.weighedAt - now) / OUTCOME_TIME);
    this.failures *= weight;
    this.successes *= weight;
    this.latestShare *= Math.exp((this.weighedAt - now) / LATEST_LIFETIME);
    this.weighedAt = now;
  }
}

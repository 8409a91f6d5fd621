/**
 * How well a target does, judged by its own packets in passing (passive health checks):
 * whether it still answers opening packets, and which part of its answers are failures.
 * No probe is sent, and what a target says of its own health is not used.
 */

/** Milliseconds in which a target that runs answers an opening packet, with much to spare. */
const OPENING_TIMEOUT_MS = 150;
/** Milliseconds of silence after which a target is taken to be down. */
const DOWN_TIMEOUT_MS = 400;
/** Opening packets that must have gone unanswered before that. */
const OPENINGS_BEFORE_DOWN = 2;
/** Requests that must have been given up, with nothing heard meanwhile, where no opening is tried. */
const REQUESTS_BEFORE_DOWN = 2;
/** Looks at the clock, with reading between them, before that: a pause of the agent is no silence. */
const TICKS_BEFORE_DOWN = 2;
/** Milliseconds between opening packets that a target gets while it is taken to be down. */
const PROBE_INTERVAL_MS = 300;
/**
 * Opening packets in a row that a target has returned, with nothing of its own sent between, before
 * it counts as one that takes no flows: one that is full goes on answering others meanwhile.
 */
const RETURNS_BEFORE_UNAVAILABLE = 2;
/** Milliseconds after the last of them in which the target is taken to take none. */
const UNAVAILABLE_DURATION_MS = 3_000;
/** Milliseconds in which the weight of an outcome falls to about a third. */
const OUTCOME_DECAY_MS = 3_000;
/** Good outcomes assumed, so that one failure is no verdict. */
const PRIOR_SUCCESSES = 3;
/**
 * Weight of one outcome in the share of the latest few: three failures in a row bring it to a third,
 * however many requests went well before.
 */
const RECENT_OUTCOME_WEIGHT = 0.2;
/** Milliseconds in which that share falls to about a third while there are no outcomes. */
const RECENT_FAILURES_DECAY_MS = 10_000;
/**
 * Milliseconds after the latest opening packet in which silence tells against a target. Balancers
 * may send it none while it fails, and then it has nothing to answer: as long as the share above.
 */
const SILENCE_WINDOW_MS = RECENT_FAILURES_DECAY_MS;

/** Health of one target. */
export class TargetHealth {
  private unansweredOpenings = 0;
  private unansweredSince: number | undefined;
  private unansweredTicks = 0;
  private unansweredRequests = 0;
  private ticksSinceTimeout = 0;
  private probedAt = -Infinity;
  private returnedOpenings = 0;
  private returnedAt = -Infinity;
  private failures = 0;
  private successes = 0;
  private decayedAt = 0;
  /** Fading share of failures among the latest few outcomes. */
  private recentFailureShare = 0;
  private clearCount = 0;

  /** An opening packet is handed to the target. */
  recordOpening(now: number): void {
    this.unansweredSince ??= now;
    this.unansweredOpenings++;
    this.probedAt = now;
  }

  /** The target has sent or returned a packet. */
  recordActivity(): void {
    this.unansweredSince = undefined;
    this.unansweredOpenings = 0;
    this.unansweredTicks = 0;
    this.unansweredRequests = 0;
    this.ticksSinceTimeout = 0;
  }

  /** The target has sent a packet of its own: it serves. */
  recordSentPacket(): void {
    this.returnedOpenings = 0;
  }

  /** The target has returned an opening packet: there is none, or it cannot take the flow. */
  recordReturnedOpening(now: number): void {
    this.returnedOpenings++;
    this.returnedAt = now;
  }

  /** The target has said something new of itself: what it returned before says little. */
  recordStateChange(): void {
    this.returnedOpenings = 0;
  }

  /** To be called at regular intervals, with reading of the target's packets between calls. */
  recordTick(): void {
    this.unansweredTicks += this.unansweredSince === undefined ? 0 : 1;
    this.ticksSinceTimeout += this.unansweredRequests === 0 ? 0 : 1;
  }

  /** A request has ended: answered well, or failed, refused or left without an answer. */
  recordOutcome(succeeded: boolean, now: number): void {
    this.decayOutcomes(now);
    this.successes += succeeded ? 1 : 0;
    this.failures += succeeded ? 0 : 1;
    this.recentFailureShare +=
      RECENT_OUTCOME_WEIGHT * ((succeeded ? 0 : 1) - this.recentFailureShare);
  }

  /** A request has had no answer for longer than any takes. */
  recordTimeout(now: number): void {
    this.unansweredRequests++;
    this.recordOutcome(false, now);
  }

  /** Targets that were judged before this one. */
  get targetChanges(): number {
    return this.clearCount;
  }

  /** Another incarnation has started: nothing is known of it. */
  clear(): void {
    this.clearCount++;
    this.recordActivity();
    this.recentFailureShare = 0;
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
      this.unansweredRequests >= REQUESTS_BEFORE_DOWN && this.ticksSinceTimeout >= TICKS_BEFORE_DOWN
    );
  }

  private ignoresOpenings(now: number): boolean {
    return (
      this.unansweredOpenings >= OPENINGS_BEFORE_DOWN &&
      this.unansweredTicks >= TICKS_BEFORE_DOWN &&
      this.computeSilence(now) > DOWN_TIMEOUT_MS
    );
  }

  /** Whether an opening packet may be tried at a target that is taken to be down. */
  isProbeDue(now: number): boolean {
    return now - this.probedAt >= PROBE_INTERVAL_MS;
  }

  /**
   * Part of the requests that fail of late, 0 to 1; 1 for a target that has lately said nothing to
   * opening packets, and for one that takes no flows.
   */
  computeFailureShare(now: number): number {
    if (this.isSilent(now) || this.isUnavailable(now)) {
      return 1;
    }
    this.decayOutcomes(now);
    const share = this.failures / (this.failures + this.successes + PRIOR_SUCCESSES);
    return Math.max(share, this.repeatedFailures);
  }

  /** Share of failures among the latest few outcomes, less what a single one brings. */
  private get repeatedFailures(): number {
    return (
      Math.max(0, this.recentFailureShare - RECENT_OUTCOME_WEIGHT) / (1 - RECENT_OUTCOME_WEIGHT)
    );
  }

  private isUnavailable(now: number): boolean {
    return (
      this.returnedOpenings >= RETURNS_BEFORE_UNAVAILABLE &&
      now - this.returnedAt <= UNAVAILABLE_DURATION_MS
    );
  }

  private isSilent(now: number): boolean {
    return (
      this.computeSilence(now) > OPENING_TIMEOUT_MS && now - this.probedAt <= SILENCE_WINDOW_MS
    );
  }

  private computeSilence(now: number): number {
    return this.unansweredSince === undefined ? 0 : now - this.unansweredSince;
  }

  private decayOutcomes(now: number): void {
    const weight = Math.exp((this.decayedAt - now) / OUTCOME_DECAY_MS);
    this.failures *= weight;
    this.successes *= weight;
    this.recentFailureShare *= Math.exp((this.decayedAt - now) / RECENT_FAILURES_DECAY_MS);
    this.decayedAt = now;
  }
}

/**
 * Health of a target, judged by its own packets (passive health checks): whether it still answers
 * opening packets, and what share of its answers are failures. Sends no probes, and ignores what a
 * target reports about its own health.
 */

/** A running target answers an opening packet well within this time. */
const OPENING_TIMEOUT_MS = 150;
/** Silence after which a target counts as down. */
const DOWN_TIMEOUT_MS = 400;
/** Opening packets that must be unanswered before that. */
const OPENINGS_BEFORE_DOWN = 2;
/** Requests that must have timed out, with nothing received meanwhile, where no new flow is tried. */
const REQUESTS_BEFORE_DOWN = 2;
/** Ticks, with packets read in between, before that: a pause of the agent is not silence. */
const TICKS_BEFORE_DOWN = 2;
/** Interval between trial opening packets to a target that counts as down. */
const PROBE_INTERVAL_MS = 300;
/**
 * Consecutive opening packets rejected, with no other packet sent in between, before a target counts
 * as unavailable: a full target still answers on other flows meanwhile.
 */
const RETURNS_BEFORE_UNAVAILABLE = 2;
/** Time after the last of them for which the target counts as unavailable. */
const UNAVAILABLE_DURATION_MS = 3_000;
/** Exponential decay time of outcomes. */
const OUTCOME_DECAY_MS = 3_000;
/** Assumed successes, so that a single failure does not dominate the share. */
const PRIOR_SUCCESSES = 3;
/**
 * Weight of one outcome in the recent failure share: three consecutive failures raise the
 * reported share to a third, regardless of earlier successes.
 */
const RECENT_OUTCOME_WEIGHT = 0.2;
/** Exponential decay time of that share while there are no outcomes. */
const RECENT_FAILURES_DECAY_MS = 10_000;
/**
 * Time after the latest opening packet in which silence counts against a target: as long as the
 * failure share. A failing target may get no opening packets, and then has none to answer.
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
  /** Exponentially weighted share of failures among the latest outcomes. */
  private recentFailureShare = 0;
  private clearCount = 0;

  /** Records that an opening packet is forwarded to the target. */
  recordOpening(now: number): void {
    this.unansweredSince ??= now;
    this.unansweredOpenings++;
    this.probedAt = now;
  }

  /** Records that the target has sent or rejected a packet. */
  recordActivity(): void {
    this.unansweredSince = undefined;
    this.unansweredOpenings = 0;
    this.unansweredTicks = 0;
    this.unansweredRequests = 0;
    this.ticksSinceTimeout = 0;
  }

  /** Records a packet of the target's own, which shows that it serves. */
  recordSentPacket(): void {
    this.returnedOpenings = 0;
  }

  /** Records a rejected opening packet: there is no target, or it cannot accept the flow. */
  recordReturnedOpening(now: number): void {
    this.returnedOpenings++;
    this.returnedAt = now;
  }

  /** Records a change reported by the target: packets rejected before no longer count. */
  recordStateChange(): void {
    this.returnedOpenings = 0;
  }

  /** To be called at regular intervals, with the target's packets read in between. */
  recordTick(): void {
    this.unansweredTicks += this.unansweredSince === undefined ? 0 : 1;
    this.ticksSinceTimeout += this.unansweredRequests === 0 ? 0 : 1;
  }

  /** Records the outcome of a request: success, or failure, refusal or time-out. */
  recordOutcome(succeeded: boolean, now: number): void {
    this.decayOutcomes(now);
    this.successes += succeeded ? 1 : 0;
    this.failures += succeeded ? 0 : 1;
    this.recentFailureShare +=
      RECENT_OUTCOME_WEIGHT * ((succeeded ? 0 : 1) - this.recentFailureShare);
  }

  /** Records a request that has timed out. */
  recordTimeout(now: number): void {
    this.unansweredRequests++;
    this.recordOutcome(false, now);
  }

  /** Number of targets before this one. */
  get targetChanges(): number {
    return this.clearCount;
  }

  /** Discards all observations, for a new incarnation. */
  clear(): void {
    this.clearCount++;
    this.recordActivity();
    this.recentFailureShare = 0;
    this.returnedOpenings = 0;
    this.failures = 0;
    this.successes = 0;
  }

  /**
   * Whether the target has recently answered no opening packet, or, since a target that looks loaded
   * gets no opening packets, no requests of several flows and nothing else.
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

  /** Whether an opening packet may be tried at a target that counts as down. */
  isProbeDue(now: number): boolean {
    return now - this.probedAt >= PROBE_INTERVAL_MS;
  }

  /**
   * Share of recent requests that failed, 0 to 1; 1 for a target that has recently not answered
   * opening packets, or that accepts no flows.
   */
  computeFailureShare(now: number): number {
    if (this.isSilent(now) || this.isUnavailable(now)) {
      return 1;
    }
    this.decayOutcomes(now);
    const share = this.failures / (this.failures + this.successes + PRIOR_SUCCESSES);
    return Math.max(share, this.repeatedFailures);
  }

  /** Share of failures among the latest outcomes, without the effect of a single one. */
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

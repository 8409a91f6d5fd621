/** Estimates the service time of a target from its answers. */

/** Estimate before any answer. */
const INITIAL_SERVICE_TIME_MS = 50;
/** Weight of one answer in the slow moving mean. */
const SLOW_MEAN_WEIGHT = 0.05;
/** Weight in the fast moving mean: three answers move it two thirds of the way to a new value. */
const FAST_MEAN_WEIGHT = 0.3;
/**
 * Ratio between the means beyond which the target has become slower or faster: service times that
 * spread by half of their mean move the fast one by a tenth, rarely by a quarter.
 */
const CHANGE_FACTOR = 1.5;
/** Multiple of the mean after which the age of a request in flight replaces the mean. */
const OVERDUE_FACTOR = 2;
/** Exponential decay time of the number of recent answers. */
const ANSWER_DECAY_MS = 3_000;
/** Service times that a request may be queued for and still be answered in time. */
const WAIT_LIMIT_FACTOR = 2;

/**
 * Share of the time from a client's first packet to its answer that the agent has: the rest is the
 * network latency of the handshake, the request and the answer, with clients 3 ms away.
 */
const AGENT_TIME_SHARE = 0.75;

/** Estimate for one target, from exponentially weighted moving means. */
export class ServiceTimeEstimator {
  private slowMean = INITIAL_SERVICE_TIME_MS;
  private fastMean = INITIAL_SERVICE_TIME_MS;
  /** Answers of this target in total. */
  private totalAnswers = 0;
  /** Exponentially decaying number of recent answers. */
  private recentAnswers = 0;
  private lastAnswerAt = 0;

  /**
   * Mean answer time in milliseconds: the slow moving mean, or the fast one while the target has
   * recently become slower or faster.
   */
  get answerTime(): number {
    const ratio = this.fastMean / this.slowMean;
    const hasChanged = ratio > CHANGE_FACTOR || ratio < 1 / CHANGE_FACTOR;
    return hasChanged ? this.fastMean : this.slowMean;
  }

  /**
   * The same, but not below the age of an overdue request in flight. Only its age since the latest
   * answer counts: of several slots, one may have a request that takes long by nature.
   * @param oldest milliseconds for which the target has processed its oldest request; 0 if none
   */
  computeExpectedTime(oldest: number, now = this.lastAnswerAt + oldest): number {
    const { answerTime } = this;
    const overdue = Math.min(oldest, now - this.lastAnswerAt);
    return this.totalAnswers > 0 && overdue > answerTime * OVERDUE_FACTOR ? overdue : answerTime;
  }

  /** Number of recent answers behind the estimate, with exponential decay. */
  countRecentAnswers(now: number): number {
    return this.recentAnswers * Math.exp((this.lastAnswerAt - now) / ANSWER_DECAY_MS);
  }

  /** Records an answer at `now` and its service time in milliseconds. */
  recordAnswer(milliseconds: number, now = this.lastAnswerAt): void {
    this.recentAnswers = this.countRecentAnswers(now) + 1;
    this.lastAnswerAt = now;
    this.totalAnswers++;
    this.slowMean += this.computeWeight(SLOW_MEAN_WEIGHT) * (milliseconds - this.slowMean);
    this.fastMean += this.computeWeight(FAST_MEAN_WEIGHT) * (milliseconds - this.fastMean);
  }

  /** Discards the estimate, for a new target. */
  clear(): void {
    this.slowMean = INITIAL_SERVICE_TIME_MS;
    this.fastMean = INITIAL_SERVICE_TIME_MS;
    this.totalAnswers = 0;
    this.recentAnswers = 0;
  }

  /** Milliseconds of queueing after which a request most likely misses a latency goal. */
  computeWaitLimit(goal: number): number {
    return Math.max(0, goal * AGENT_TIME_SHARE - this.answerTime * WAIT_LIMIT_FACTOR);
  }

  /** Milliseconds of queueing after which a request is late, if no goal is known. */
  get defaultWaitLimit(): number {
    return WAIT_LIMIT_FACTOR * this.answerTime;
  }

  /** The first answers have equal weight, so that the first one replaces the initial estimate. */
  private computeWeight(weight: number): number {
    return Math.max(weight, 1 / this.totalAnswers);
  }
}

/** How long a target works on a request, by its own answers. */

/** Milliseconds assumed before any answer. */
const INITIAL_SERVICE_TIME_MS = 50;
/** Weight of one answer in the steady mean. */
const SLOW_MEAN_WEIGHT = 0.05;
/** Weight in the quick mean: after three answers of another length it has gone two thirds of the way. */
const FAST_MEAN_WEIGHT = 0.3;
/**
 * Times by which the quick mean differs from the steady one when the target has become slower or
 * faster: work times that spread by half of their mean move it by a tenth, seldom by a quarter.
 */
const CHANGE_FACTOR = 1.5;
/** Times the mean that a request may be under way before its own time tells more than the mean. */
const OVERDUE_FACTOR = 2;
/** Milliseconds in which the weight of an answer among those counted falls to about a third. */
const ANSWER_DECAY_MS = 3_000;
/** Services that a request may wait for and still be answered in time. */
const WAIT_LIMIT_FACTOR = 2;

/**
 * Part of the time from a client's first packet to its answer that the agent has: the rest is the
 * way of the opening and its answer, of the request, and of the answer, with clients 3 ms away.
 */
const AGENT_TIME_SHARE = 0.75;

/** Fading means of one target. */
export class ServiceTimeEstimator {
  private slowMean = INITIAL_SERVICE_TIME_MS;
  private fastMean = INITIAL_SERVICE_TIME_MS;
  /** Answers since the target is known. */
  private totalAnswers = 0;
  /** Answers of late. */
  private recentAnswers = 0;
  private lastAnswerAt = 0;

  /**
   * Milliseconds of an answer, the latest weighing most: the steady mean, or the quick one while
   * the target has lately become slower or faster.
   */
  get answerTime(): number {
    const ratio = this.fastMean / this.slowMean;
    const hasChanged = ratio > CHANGE_FACTOR || ratio < 1 / CHANGE_FACTOR;
    return hasChanged ? this.fastMean : this.slowMean;
  }

  /**
   * The same with what a request under way tells, which is no answer yet. What was answered meanwhile
   * speaks for the target: of several slots, one may have a request that takes long by nature.
   * @param oldest milliseconds for which the target has worked on one; 0 when on none
   */
  computeExpectedTime(oldest: number, now = this.lastAnswerAt + oldest): number {
    const { answerTime } = this;
    const overdue = Math.min(oldest, now - this.lastAnswerAt);
    return this.totalAnswers > 0 && overdue > answerTime * OVERDUE_FACTOR ? overdue : answerTime;
  }

  /** Answers of late that the time rests on, fading. */
  countRecentAnswers(now: number): number {
    return this.recentAnswers * Math.exp((this.lastAnswerAt - now) / ANSWER_DECAY_MS);
  }

  /** A request was answered at `now` by so many milliseconds of work. */
  recordAnswer(milliseconds: number, now = this.lastAnswerAt): void {
    this.recentAnswers = this.countRecentAnswers(now) + 1;
    this.lastAnswerAt = now;
    this.totalAnswers++;
    this.slowMean += this.computeWeight(SLOW_MEAN_WEIGHT) * (milliseconds - this.slowMean);
    this.fastMean += this.computeWeight(FAST_MEAN_WEIGHT) * (milliseconds - this.fastMean);
  }

  /** Another target has taken its place: nothing is known of it. */
  clear(): void {
    this.slowMean = INITIAL_SERVICE_TIME_MS;
    this.fastMean = INITIAL_SERVICE_TIME_MS;
    this.totalAnswers = 0;
    this.recentAnswers = 0;
  }

  /** Milliseconds of waiting after which a request most likely misses a goal. */
  computeWaitLimit(goal: number): number {
    return Math.max(0, goal * AGENT_TIME_SHARE - this.answerTime * WAIT_LIMIT_FACTOR);
  }

  /** Milliseconds of waiting after which a request is late, where no goal is known. */
  get defaultWaitLimit(): number {
    return WAIT_LIMIT_FACTOR * this.answerTime;
  }

  /** The first answers count alike, so that the assumed time is gone with the first of them. */
  private computeWeight(weight: number): number {
    return Math.max(weight, 1 / this.totalAnswers);
  }
}

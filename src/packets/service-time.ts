/** How long a target works on a request, by its own answers. */

/** Milliseconds assumed before any answer. */
const ASSUMED_TIME = 50;
/** Weight of one answer in the steady mean. */
const STEADY_WEIGHT = 0.05;
/** Weight in the quick mean: after three answers of another length it has gone two thirds of the way. */
const QUICK_WEIGHT = 0.3;
/**
 * Times by which the quick mean differs from the steady one when the target has become slower or
 * faster: work times that spread by half of their mean move it by a tenth, seldom by a quarter.
 */
const CHANGE_FACTOR = 1.5;
/** Times the mean that a request may be under way before its own time tells more than the mean. */
const OVERDUE_FACTOR = 2;
/** Milliseconds in which the weight of an answer among those counted falls to about a third. */
const ANSWER_LIFETIME = 3_000;
/** Services that a request may wait for and still be answered in time. */
const SERVICES_OF_PATIENCE = 2;

/**
 * Part of the time from a client's first packet to its answer that the agent has: the rest is the
 * way of the opening and its answer, of the request, and of the answer, with clients 3 ms away.
 */
const WAITING_SHARE = 0.75;

/** Fading means of one target. */
export class ServiceTime {
  private steadyMean = ASSUMED_TIME;
  private quickMean = ASSUMED_TIME;
  /** Answers since the target is known. */
  private total = 0;
  /** Answers of late. */
  private counted = 0;
  private countedAt = 0;

  /**
   * Milliseconds of an answer, the latest weighing most: the steady mean, or the quick one while
   * the target has lately become slower or faster.
   */
  get answerTime(): number {
    const ratio = this.quickMean / this.steadyMean;
    const hasChanged = ratio > CHANGE_FACTOR || ratio < 1 / CHANGE_FACTOR;
    return hasChanged ? this.quickMean : this.steadyMean;
  }

  /**
   * The same with what a request under way tells, which is no answer yet. What was answered meanwhile
   * speaks for the target: of several slots, one may have a request that takes long by nature.
   * @param oldest milliseconds for which the target has worked on one; 0 when on none
   */
  expectedTime(oldest: number, now = this.countedAt + oldest): number {
    const { answerTime } = this;
    const overdue = Math.min(oldest, now - this.countedAt);
    return this.total > 0 && overdue > answerTime * OVERDUE_FACTOR ? overdue : answerTime;
  }

  /** Answers of late that the time rests on, fading. */
  answersAt(now: number): number {
    return this.counted * Math.exp((this.countedAt - now) / ANSWER_LIFETIME);
  }

  /** A request was answered at `now` by so many milliseconds of work. */
  answered(milliseconds: number, now = this.countedAt): void {
    this.counted = this.answersAt(now) + 1;
    this.countedAt = now;
    this.total++;
    this.steadyMean += this.weightOf(STEADY_WEIGHT) * (milliseconds - this.steadyMean);
    this.quickMean += this.weightOf(QUICK_WEIGHT) * (milliseconds - this.quickMean);
  }

  /** Another target has taken its place: nothing is known of it. */
  clear(): void {
    this.steadyMean = ASSUMED_TIME;
    this.quickMean = ASSUMED_TIME;
    this.total = 0;
    this.counted = 0;
  }

  /** Milliseconds of waiting after which a request most likely misses a goal. */
  patienceFor(goal: number): number {
    return Math.max(0, goal * WAITING_SHARE - this.answerTime * SERVICES_OF_PATIENCE);
  }

  /** Milliseconds of waiting after which a request is late, where no goal is known. */
  get patience(): number {
    return SERVICES_OF_PATIENCE * this.answerTime;
  }

  /** The first answers count alike, so that the assumed time is gone with the first of them. */
  private weightOf(weight: number): number {
    return Math.max(weight, 1 / this.total);
  }
}

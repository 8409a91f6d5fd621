/** How long a target works on a request, by its own answers. */

/** Milliseconds assumed before any answer. */
const ASSUMED_TIME = 50;
/** Weight of one answer in the mean. */
const WEIGHT = 0.05;
/** Services that a request may wait for and still be answered in time. */
const SERVICES_OF_PATIENCE = 2;

/**
 * Part of the time from a client's first packet to its answer that the agent has: the rest is the
 * way of the opening and its answer, of the request, and of the answer, with clients 3 ms away.
 */
const WAITING_SHARE = 0.75;

/** Fading mean of one target. */
export class ServiceTime {
  private mean = ASSUMED_TIME;

  /** Milliseconds of an answer, the latest weighing most. */
  get answerTime(): number {
    return this.mean;
  }

  /** A request was answered so many milliseconds after it was handed over. */
  answered(milliseconds: number): void {
    this.mean += WEIGHT * (milliseconds - this.mean);
  }

  /** Milliseconds of waiting after which a request most likely misses a goal. */
  patienceFor(goal: number): number {
    return Math.max(0, goal * WAITING_SHARE - this.mean * SERVICES_OF_PATIENCE);
  }

  /** Milliseconds of waiting after which a request is late, where no goal is known. */
  get patience(): number {
    return SERVICES_OF_PATIENCE * this.mean;
  }
}

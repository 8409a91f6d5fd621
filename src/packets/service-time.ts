/** How long a target works on a request, by its own answers. */

/** Milliseconds assumed before any answer. */
const ASSUMED_TIME = 50;
/** Weight of one answer in the mean. */
const WEIGHT = 0.05;
/** Services that a request may wait for and still be answered in time. */
const SERVICES_OF_PATIENCE = 2;

/** Fading mean of one target. */
export class ServiceTime {
  private mean = ASSUMED_TIME;

  /** A request was answered so many milliseconds after it was handed over. */
  answered(milliseconds: number): void {
    this.mean += WEIGHT * (milliseconds - this.mean);
  }

  /** Milliseconds of waiting after which a request is late. */
  get patience(): number {
    return SERVICES_OF_PATIENCE * this.mean;
  }
}

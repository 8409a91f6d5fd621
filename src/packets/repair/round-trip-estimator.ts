/**
 * How long a message and its acknowledgement take between two ends, and when a message without
 * one is to be repeated: the estimator of RFC 6298.
 *
 * Pure: the caller brings the samples, and by Karn's rule only those of messages that were sent
 * once. Backing off (doubling) is up to the caller, since it belongs to one message here, not
 * to the connection.
 */

/** Weight of a new sample in the smoothed round trip (RFC 6298, alpha). */
const SMOOTHING_WEIGHT = 1 / 8;
/** Weight of a new deviation in the smoothed deviation (RFC 6298, beta). */
const DEVIATION_WEIGHT = 1 / 4;
/** Deviations that a timeout allows beyond the smoothed round trip (RFC 6298, K). */
const DEVIATION_FACTOR = 4;

/** Bounds of a timeout, in milliseconds. */
export interface TimeoutBounds {
  /** The timeout before the first sample. */
  readonly initial: number;
  /** Never less: pauses of the other end and the timer's own grain are no loss. */
  readonly minimum: number;
  /** Never more. */
  readonly maximum: number;
}

/** The round trip to one other end. */
export class RoundTripEstimator {
  private mean: number | undefined;
  private deviation = 0;

  constructor(private readonly bounds: TimeoutBounds) {}

  /**
   * Takes the time from sending a message to its acknowledgement.
   * @param elapsed milliseconds; of a message that was sent once
   */
  addSample(elapsed: number): void {
    if (this.mean === undefined) {
      this.mean = elapsed;
      this.deviation = elapsed / 2;
      return;
    }
    const error = Math.abs(this.mean - elapsed);
    this.deviation += DEVIATION_WEIGHT * (error - this.deviation);
    this.mean += SMOOTHING_WEIGHT * (elapsed - this.mean);
  }

  /** Smoothed round trip in milliseconds; undefined before the first sample. */
  get smoothed(): number | undefined {
    return this.mean;
  }

  /** Milliseconds without an acknowledgement after which a message counts as lost. */
  get timeout(): number {
    const { initial, minimum: floor, maximum: ceiling } = this.bounds;
    if (this.mean === undefined) {
      return initial;
    }
    const estimate = this.mean + DEVIATION_FACTOR * this.deviation;
    return Math.min(ceiling, Math.max(floor, estimate));
  }
}

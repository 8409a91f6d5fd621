/**
 * How long a message and its acknowledgement take between two ends, and when a message without
 * one is to be repeated: the estimator of RFC 6298.
 *
 * Pure: the caller brings the samples, and by Karn's rule only those of messages that were sent
 * once. Backing off (doubling) is up to the caller, since it belongs to one message here, not
 * to the connection.
 */

/** Weight of a new sample in the smoothed round trip (RFC 6298, alpha). */
const SMOOTHING = 1 / 8;
/** Weight of a new deviation in the smoothed deviation (RFC 6298, beta). */
const DEVIATION_SMOOTHING = 1 / 4;
/** Deviations that a timeout allows beyond the smoothed round trip (RFC 6298, K). */
const DEVIATIONS_ALLOWED = 4;

/** Bounds of a timeout, in milliseconds. */
export interface RoundTripBounds {
  /** The timeout before the first sample. */
  readonly initial: number;
  /** Never less: pauses of the other end and the timer's own grain are no loss. */
  readonly floor: number;
  /** Never more. */
  readonly ceiling: number;
}

/** The round trip to one other end. */
export class RoundTripEstimator {
  private mean: number | undefined;
  private deviation = 0;

  constructor(private readonly bounds: RoundTripBounds) {}

  /**
   * Takes the time from sending a message to its acknowledgement.
   * @param elapsed milliseconds; of a message that was sent once
   */
  sample(elapsed: number): void {
    if (this.mean === undefined) {
      this.mean = elapsed;
      this.deviation = elapsed / 2;
      return;
    }
    const error = Math.abs(this.mean - elapsed);
    this.deviation += DEVIATION_SMOOTHING * (error - this.deviation);
    this.mean += SMOOTHING * (elapsed - this.mean);
  }

  /** Smoothed round trip in milliseconds; undefined before the first sample. */
  get smoothed(): number | undefined {
    return this.mean;
  }

  /** Milliseconds without an acknowledgement after which a message counts as lost. */
  get timeout(): number {
    const { initial, floor, ceiling } = this.bounds;
    if (this.mean === undefined) {
      return initial;
    }
    const estimate = this.mean + DEVIATIONS_ALLOWED * this.deviation;
    return Math.min(ceiling, Math.max(floor, estimate));
  }
}

/**
 * Round-trip time and retransmission timeout between two nodes: the estimator of RFC 6298.
 *
 * Pure: the caller supplies the samples, by Karn's rule only those of messages that were sent
 * once. Exponential backoff is left to the caller, since it applies to one message here, not to
 * the connection.
 */

/** Weight of a new sample in the smoothed round trip (RFC 6298, alpha). */
const SMOOTHING_WEIGHT = 1 / 8;
/** Weight of a new deviation in the smoothed deviation (RFC 6298, beta). */
const DEVIATION_WEIGHT = 1 / 4;
/** Deviations that a timeout adds to the smoothed round trip (RFC 6298, K). */
const DEVIATION_FACTOR = 4;

/** Bounds of a timeout, in milliseconds. */
export interface TimeoutBounds {
  /** The timeout before the first sample. */
  readonly initial: number;
  /** Lower limit, above pauses of the peer and the timer's granularity. */
  readonly minimum: number;
  readonly maximum: number;
}

/** Round trip to one peer. */
export class RoundTripEstimator {
  private mean: number | undefined;
  private deviation = 0;

  constructor(private readonly bounds: TimeoutBounds) {}

  /**
   * Adds the time from sending a message to its acknowledgement.
   * @param elapsed milliseconds; only of a message that was sent once
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

  /** Milliseconds without an acknowledgement after which a message is considered lost. */
  get timeout(): number {
    const { initial, minimum: floor, maximum: ceiling } = this.bounds;
    if (this.mean === undefined) {
      return initial;
    }
    const estimate = this.mean + DEVIATION_FACTOR * this.deviation;
    return Math.min(ceiling, Math.max(floor, estimate));
  }
}

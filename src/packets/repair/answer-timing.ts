/**
 * Retransmission timeouts for answer packets.
 *
 * One estimate for all flows of an agent: a flow carries one request or a few, too few samples
 * for an estimate of its own, and a client's packets use another balancer with every flow.
 * Different distances widen the deviation, and so the timeout, by some milliseconds of the 200
 * that a loss costs without a retransmission.
 */
import { RoundTripEstimator } from './round-trip-estimator';

/** Retransmission timeout of the endpoints themselves (the usual minimum). */
export const TARGET_TIMEOUT_MS = 200;
/** Age of a packet above which a retransmission is useless: the target's own is imminent. */
export const RETRANSMISSION_CUTOFF_MS = TARGET_TIMEOUT_MS - 10;
/** Timeout without samples: half of the target's own leaves time for one retransmission. */
const INITIAL_TIMEOUT_MS = TARGET_TIMEOUT_MS / 2;
/** Pauses of a busy client, balancer or agent up to this length are no loss. */
const MINIMUM_TIMEOUT_MS = 30;
/**
 * Reordering window as a fraction of a round trip. RFC 8985 starts with a quarter; delays that vary
 * by a third each way reorder packets by up to a third, and a spurious retransmission costs more
 * than waiting a few milliseconds.
 */
const REORDERING_WINDOW_SHARE = 1 / 2;

/** Whether a receiver acknowledges a packet at once or may delay the acknowledgement. */
export type AcknowledgementKind = 'prompt' | 'delayed';

/** Timeouts of one agent. */
export class AnswerTiming {
  private readonly estimators: Readonly<Record<AcknowledgementKind, RoundTripEstimator>> = {
    prompt: createEstimator(),
    delayed: createEstimator(),
  };

  /**
   * Adds the time in milliseconds from sending a packet to its acknowledgement.
   * @param kind `delayed` for a packet sent alone, whose acknowledgement may be delayed
   */
  addSample(kind: AcknowledgementKind, elapsed: number): void {
    this.estimators[kind].addSample(elapsed);
  }

  /** Milliseconds without an acknowledgement after which a packet is considered lost. */
  getTimeout(kind: AcknowledgementKind): number {
    return this.estimators[kind].timeout;
  }

  /** Milliseconds by which a packet may arrive out of order without being considered lost. */
  get reorderingWindow(): number {
    const { smoothed } = this.estimators.prompt;
    return REORDERING_WINDOW_SHARE * (smoothed ?? MINIMUM_TIMEOUT_MS);
  }
}

function createEstimator(): RoundTripEstimator {
  return new RoundTripEstimator({
    initial: INITIAL_TIMEOUT_MS,
    minimum: MINIMUM_TIMEOUT_MS,
    maximum: RETRANSMISSION_CUTOFF_MS,
  });
}

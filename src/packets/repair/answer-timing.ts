/**
 * After how long an answer without acknowledgement counts as lost.
 *
 * One estimate for all flows of an agent: a flow carries one request or a few, too few samples
 * for an estimate of its own, and a client's packets change their balancer with every flow.
 * Different distances widen the deviation, and so the timeout by some milliseconds, of the 200
 * that a loss costs without a repeat.
 */
import { RoundTripEstimator } from './round-trip-estimator';

/** Milliseconds after which the ends of a flow repeat by themselves (the usual shortest timer). */
export const TARGET_TIMEOUT_MS = 200;
/** Milliseconds after which a repeat no longer pays: the target's own is on its way. */
export const RETRANSMISSION_CUTOFF_MS = TARGET_TIMEOUT_MS - 10;
/** Milliseconds without any sample: half of the target's own timer leaves room for one repeat. */
const INITIAL_TIMEOUT_MS = TARGET_TIMEOUT_MS / 2;
/** Milliseconds of pause in a busy client, balancer or agent that are no loss. */
const MINIMUM_TIMEOUT_MS = 30;
/**
 * Part of a round trip by which later packets may overtake earlier ones. RFC 8985 begins with a
 * quarter; delays that vary by a third each way make up to a third, and a needless repeat costs
 * more than the few milliseconds.
 */
const REORDERING_WINDOW_SHARE = 1 / 2;

/** How a receiver acknowledges a packet. */
export type AcknowledgementKind = 'prompt' | 'delayed';

/** Timeouts of one agent. */
export class AnswerTiming {
  private readonly estimators: Readonly<Record<AcknowledgementKind, RoundTripEstimator>> = {
    prompt: createEstimator(),
    delayed: createEstimator(),
  };

  /**
   * Takes the time from sending a packet to its acknowledgement, in milliseconds.
   * @param kind `delayed` for a packet that came alone, whose acknowledgement may wait for another
   */
  addSample(kind: AcknowledgementKind, elapsed: number): void {
    this.estimators[kind].addSample(elapsed);
  }

  /** Milliseconds without an acknowledgement after which a packet counts as lost. */
  getTimeout(kind: AcknowledgementKind): number {
    return this.estimators[kind].timeout;
  }

  /** Milliseconds for which a packet may be late without being lost. */
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

/** Detects services whose new flows spill over from a balancer's zone. */
import type { SpillReasonValue } from './spill';

/** Fraction of spilled flows above which a service counts as spilling over. */
const SPILL_THRESHOLD = 0.1;
/** Minimum time between two evaluations of a service, and between two reported changes. */
const EVALUATION_INTERVAL_MS = 1_000;
/** Number of new flows below which the fraction is not significant. */
const MINIMUM_FLOWS = 20;

/** A service has started or stopped spilling over. */
export interface SpillChange {
  readonly service: string;
  readonly isSpilling: boolean;
  /** New flows since the last evaluation. */
  readonly flows: number;
  readonly spilled: number;
  /** Reason of the last flow that spilled over; undefined when none did. */
  readonly reason: SpillReasonValue | undefined;
}

/** Counts of one service since its last evaluation. */
interface SpillCounts {
  isSpilling: boolean;
  since: number;
  flows: number;
  spilled: number;
  reason: SpillReasonValue | undefined;
}

/** Spill detection of one balancer. */
export class SpillMonitor {
  private readonly services = new Map<string, SpillCounts>();
  private reportedAt = -Infinity;

  /**
   * Records a new flow.
   * @param reason undefined when it stays in its zone
   * @returns a change to report
   */
  recordFlow(
    service: string,
    reason: SpillReasonValue | undefined,
    now: number,
  ): SpillChange | undefined {
    const counts = this.services.get(service) ?? createCounts(now, false);
    this.services.set(service, counts);
    counts.flows++;
    counts.spilled += reason === undefined ? 0 : 1;
    counts.reason = reason ?? counts.reason;
    if (counts.flows < MINIMUM_FLOWS || now - counts.since < EVALUATION_INTERVAL_MS) {
      return undefined;
    }
    return this.evaluate(service, counts, now);
  }

  private evaluate(service: string, counts: SpillCounts, now: number): SpillChange | undefined {
    const { flows, spilled, reason } = counts;
    const isSpilling = spilled > SPILL_THRESHOLD * flows;
    const hasChanged = isSpilling !== counts.isSpilling;
    if (hasChanged && now - this.reportedAt < EVALUATION_INTERVAL_MS) {
      return undefined;
    }
    this.services.set(service, createCounts(now, isSpilling));
    if (!hasChanged) {
      return undefined;
    }
    this.reportedAt = now;
    return { service, isSpilling, flows, spilled, reason };
  }
}

function createCounts(since: number, isSpilling: boolean): SpillCounts {
  return { isSpilling, since, flows: 0, spilled: 0, reason: undefined };
}

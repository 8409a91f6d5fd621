/** Which services spill much of their new flows from a balancer's zone. */
import type { SpillReasonValue } from './spill';

/** Part of a service's new flows above which it counts as spilling. */
const SPILL_THRESHOLD = 0.1;
/** Milliseconds between two looks at a service, and between two changes told at least. */
const EVALUATION_INTERVAL_MS = 1_000;
/** New flows below which a share says little. */
const MINIMUM_FLOWS = 20;

/** A service has begun or ended to spill. */
export interface SpillChange {
  readonly service: string;
  readonly isSpilling: boolean;
  /** New flows since the last look. */
  readonly flows: number;
  readonly spilled: number;
  /** Of the last flow that spilled; undefined when none did. */
  readonly reason: SpillReasonValue | undefined;
}

/** What is counted of one service. */
interface SpillCounts {
  isSpilling: boolean;
  since: number;
  flows: number;
  spilled: number;
  reason: SpillReasonValue | undefined;
}

/** The watch of one balancer. */
export class SpillMonitor {
  private readonly services = new Map<string, SpillCounts>();
  private reportedAt = -Infinity;

  /**
   * Counts a new flow.
   * @param reason undefined when it stays in its zone
   * @returns a change that is to be told
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

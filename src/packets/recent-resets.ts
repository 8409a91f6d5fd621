/**
 * Flows that were found dead a moment ago: their late packets get another reset without a
 * search. No target takes up a flow that it has refused, unless it is opened anew.
 */
import type { FlowKey } from './flow-packet';

/** Milliseconds for which a flow is noted: its client's copies under way come within that. */
const RETENTION_MS = 3_000;
/** Flows noted at most; the oldest note is dropped beyond that. */
const MAXIMUM_FLOWS = 8_192;

/** Notes of one balancer. */
export class RecentResets {
  /** Times at which flows were found dead, oldest first. */
  private readonly resetTimes = new Map<FlowKey, number>();

  add(flow: FlowKey, now: number): void {
    this.resetTimes.delete(flow);
    this.resetTimes.set(flow, now);
    if (this.resetTimes.size > MAXIMUM_FLOWS) {
      const [oldest] = this.resetTimes.keys();
      this.resetTimes.delete(oldest!);
    }
  }

  has(flow: FlowKey, now: number): boolean {
    const resetAt = this.resetTimes.get(flow);
    return resetAt !== undefined && now - resetAt <= RETENTION_MS;
  }

  forget(flow: FlowKey): void {
    this.resetTimes.delete(flow);
  }

  /** Drops notes that no longer hold. */
  expire(now: number): void {
    for (const [flow, resetAt] of this.resetTimes) {
      if (now - resetAt <= RETENTION_MS) {
        return;
      }
      this.resetTimes.delete(flow);
    }
  }
}

/**
 * Flows that were reset recently: their late packets get another reset without a search. No target
 * accepts a flow that it has refused, unless it is opened again.
 */
import type { FlowKey } from './flow-packet';

/** Time for which a flow is recorded: packets in flight from its client arrive within it. */
const RETENTION_MS = 3_000;
/** Flows recorded at most; beyond that the oldest one is evicted. */
const MAXIMUM_FLOWS = 8_192;

/** Recently reset flows of one balancer. */
export class RecentResets {
  /** Times at which flows were reset, oldest first. */
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

  /** Drops flows whose retention time is over. */
  expire(now: number): void {
    for (const [flow, resetAt] of this.resetTimes) {
      if (now - resetAt <= RETENTION_MS) {
        return;
      }
      this.resetTimes.delete(flow);
    }
  }
}

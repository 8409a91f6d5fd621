/**
 * Flows that were found dead a moment ago: their late packets get another reset without a
 * search. No target takes up a flow that it has refused, unless it is opened anew.
 */
import type { FlowKey } from './flow-packet';

/** Milliseconds for which a flow is noted: its client's copies under way come within that. */
const NOTE_LIFETIME = 3_000;
/** Flows noted at most; the oldest note is dropped beyond that. */
const MAXIMUM_NOTES = 8_192;

/** Notes of one balancer. */
export class ResetNotes {
  /** Times at which flows were found dead, oldest first. */
  private readonly notedAt = new Map<FlowKey, number>();

  add(flow: FlowKey, now: number): void {
    this.notedAt.delete(flow);
    this.notedAt.set(flow, now);
    if (this.notedAt.size > MAXIMUM_NOTES) {
      const [oldest] = this.notedAt.keys();
      this.notedAt.delete(oldest!);
    }
  }

  has(flow: FlowKey, now: number): boolean {
    const notedAt = this.notedAt.get(flow);
    return notedAt !== undefined && now - notedAt <= NOTE_LIFETIME;
  }

  forget(flow: FlowKey): void {
    this.notedAt.delete(flow);
  }

  /** Drops notes that no longer hold. */
  expire(now: number): void {
    for (const [flow, notedAt] of this.notedAt) {
      if (now - notedAt <= NOTE_LIFETIME) {
        return;
      }
      this.notedAt.delete(flow);
    }
  }
}

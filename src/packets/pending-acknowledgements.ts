/**
 * Acknowledgements of a target's deregistration that wait until the store has recorded it.
 *
 * An acknowledged deregistration must hold after every process has been restarted. A store that does
 * not answer must not keep the target waiting, though: it would end without an acknowledgement.
 */
import type { NodeTimers } from './node-timers';

/** A target calls again after a second without an answer. */
const MAXIMUM_DELAY_MS = 500;

/** Pending acknowledgements of one agent. */
export class PendingAcknowledgements {
  private readonly pending = new Set<() => void>();

  constructor(private readonly timers: NodeTimers) {}

  /** Adds an acknowledgement, which is delivered after a limited time in any case. */
  add(acknowledge: () => void): void {
    this.pending.add(acknowledge);
    this.timers.scheduleOnce(MAXIMUM_DELAY_MS, () => this.deliverOnce(acknowledge));
  }

  /** Delivers all pending acknowledgements. */
  deliver(): void {
    [...this.pending].forEach((acknowledge) => this.deliverOnce(acknowledge));
  }

  private deliverOnce(acknowledge: () => void): void {
    if (this.pending.delete(acknowledge)) {
      acknowledge();
    }
  }
}

/**
 * How long a target works on each request, without the time for which the request waits inside the
 * target: one begins at once while a slot is free, and else when an earlier one ends.
 */

/** Requests of one target, by what identifies them. */
export class ServiceTimeTracker<Key> {
  /** When the target began with each request that has a slot, longest ago first. */
  private readonly startedAt = new Map<Key, number>();
  /** Requests that wait for a slot, in their order. */
  private readonly waiting = new Set<Key>();

  /** @param slots requests that the target works on at a time; 0 while unknown */
  constructor(private readonly slots: () => number) {}

  /** The target has got a request. */
  startRequest(key: Key, now: number): void {
    if (this.hasFreeSlot) {
      this.startedAt.set(key, now);
    } else {
      this.waiting.add(key);
    }
  }

  /** A request has ended: the one that has waited longest begins. */
  endRequest(key: Key, now: number): void {
    this.startedAt.delete(key);
    this.waiting.delete(key);
    for (const next of this.waiting) {
      if (!this.hasFreeSlot) {
        return;
      }
      this.waiting.delete(next);
      this.startedAt.set(next, now);
    }
  }

  /** Milliseconds of work on a request; undefined for one that waits, or is not there. */
  getServiceTime(key: Key, now: number): number | undefined {
    const startedAt = this.startedAt.get(key);
    return startedAt === undefined ? undefined : now - startedAt;
  }

  /** Milliseconds of work on the request that has a slot for longest; 0 for none. */
  getLongestServiceTime(now: number): number {
    for (const startedAt of this.startedAt.values()) {
      return now - startedAt;
    }
    return 0;
  }

  clear(): void {
    this.startedAt.clear();
    this.waiting.clear();
  }

  private get hasFreeSlot(): boolean {
    const slots = this.slots();
    return slots === 0 || this.startedAt.size < slots;
  }
}

/**
 * Measures the service time of each request, without the time it is queued inside the target:
 * service begins at once while a slot is free, and otherwise when an earlier request ends.
 */

/** Requests of one target, by key. */
export class ServiceTimeTracker<Key> {
  /** Start of service of each request that has a slot, oldest first. */
  private readonly startedAt = new Map<Key, number>();
  /** Requests queued for a slot, in order. */
  private readonly waiting = new Set<Key>();

  /** @param getSlots number of requests served concurrently; 0 while unknown */
  constructor(private readonly getSlots: () => number) {}

  /** Records a request that was delivered to the target. */
  startRequest(key: Key, now: number): void {
    if (this.hasFreeSlot) {
      this.startedAt.set(key, now);
    } else {
      this.waiting.add(key);
    }
  }

  /** Records the end of a request; the one queued longest takes its slot. */
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

  /** Milliseconds of service so far; undefined for a queued or unknown request. */
  getServiceTime(key: Key, now: number): number | undefined {
    const startedAt = this.startedAt.get(key);
    return startedAt === undefined ? undefined : now - startedAt;
  }

  /** Milliseconds for which the oldest request in service has had its slot; 0 for none. */
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
    const slots = this.getSlots();
    return slots === 0 || this.startedAt.size < slots;
  }
}

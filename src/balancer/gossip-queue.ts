/** Updates piggybacked on the failure detector's messages, each a bounded number of times. */

interface QueuedUpdate<T> {
  readonly update: T;
  sent: number;
}

/** Updates by subject; a newer update of a subject replaces the older one. */
export class GossipQueue<T> {
  private readonly queue = new Map<string, QueuedUpdate<T>>();

  get size(): number {
    return this.queue.size;
  }

  add(subject: string, update: T): void {
    this.queue.set(subject, { update, sent: 0 });
  }

  /**
   * The updates sent least often, each counted as sent once more.
   * @param maximum number of updates returned at most
   * @param maximumTransmissions an update is removed after so many transmissions
   */
  takeBatch(maximum: number, maximumTransmissions: number): T[] {
    if (this.queue.size === 0) {
      return [];
    }
    const ordered = [...this.queue].sort(([, a], [, b]) => a.sent - b.sent).slice(0, maximum);
    for (const [subject, entry] of ordered) {
      entry.sent++;
      if (entry.sent >= maximumTransmissions) {
        this.queue.delete(subject);
      }
    }
    return ordered.map(([, entry]) => entry.update);
  }
}

/** News that is passed on with the failure detector's messages, each a bounded number of times. */

interface QueuedUpdate<T> {
  readonly update: T;
  sent: number;
}

/** Rumours by subject; newer news of a subject replaces older. */
export class GossipQueue<T> {
  private readonly queue = new Map<string, QueuedUpdate<T>>();

  get size(): number {
    return this.queue.size;
  }

  add(subject: string, update: T): void {
    this.queue.set(subject, { update: update, sent: 0 });
  }

  /**
   * The least-sent rumours, counted as sent once more.
   * @param maximum how many at most
   * @param maximumTransmissions a rumour sent so often is dropped
   */
  takeBatch(maximum: number, maximumTransmissions: number): T[] {
    if (this.queue.size === 0) {
      return [];
    }
    const ordered = [...this.queue].sort(([, a], [, b]) => a.sent - b.sent).slice(0, maximum);
    for (const [subject, rumour] of ordered) {
      rumour.sent++;
      if (rumour.sent >= maximumTransmissions) {
        this.queue.delete(subject);
      }
    }
    return ordered.map(([, rumour]) => rumour.update);
  }
}

/** News that is passed on with the failure detector's messages, each a bounded number of times. */

interface Rumour<T> {
  readonly news: T;
  sent: number;
}

/** Rumours by subject; newer news of a subject replaces older. */
export class RumourQueue<T> {
  private readonly rumours = new Map<string, Rumour<T>>();

  get size(): number {
    return this.rumours.size;
  }

  add(subject: string, news: T): void {
    this.rumours.set(subject, { news, sent: 0 });
  }

  /**
   * The least-sent rumours, counted as sent once more.
   * @param maximum how many at most
   * @param transmissions a rumour sent so often is dropped
   */
  take(maximum: number, transmissions: number): T[] {
    if (this.rumours.size === 0) {
      return [];
    }
    const ordered = [...this.rumours].sort(([, a], [, b]) => a.sent - b.sent).slice(0, maximum);
    for (const [subject, rumour] of ordered) {
      rumour.sent++;
      if (rumour.sent >= transmissions) {
        this.rumours.delete(subject);
      }
    }
    return ordered.map(([, rumour]) => rumour.news);
  }
}

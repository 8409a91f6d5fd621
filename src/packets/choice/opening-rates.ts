/** How many new flows of each service this balancer places, in the mean of late. */

/** Milliseconds in which the weight of an opening falls to about a third. */
const DECAY_TIME_MS = 5_000;

interface DecayingCount {
  readonly count: number;
  readonly at: number;
}

/** Times that memory after which nothing is left of an opening, or of thousands. */
const EXPIRY_DECAY_TIMES = 20;

/** The rates of one balancer: of the services that it has placed flows with of late. */
export class OpeningRates {
  private readonly counts = new Map<string, DecayingCount>();

  /** A flow of a service is placed. */
  recordOpening(service: string, now: number): void {
    this.counts.set(service, { count: this.getDecayedCount(service, now) + 1, at: now });
  }

  /** New flows in a millisecond; a mean of the first seconds comes out low. */
  getRate(service: string, now: number): number {
    return this.getDecayedCount(service, now) / DECAY_TIME_MS;
  }

  /** Forgets services without openings of late: those of an earlier routing table among them. */
  expire(now: number): void {
    for (const [service, { at }] of this.counts) {
      if (now - at > DECAY_TIME_MS * EXPIRY_DECAY_TIMES) {
        this.counts.delete(service);
      }
    }
  }

  /** Services with openings of late. */
  get size(): number {
    return this.counts.size;
  }

  private getDecayedCount(service: string, now: number): number {
    const known = this.counts.get(service);
    return known ? known.count * Math.exp((known.at - now) / DECAY_TIME_MS) : 0;
  }
}

/** How many new flows of each service this balancer places, in the mean of late. */

/** Milliseconds in which the weight of an opening falls to about a third. */
const MEMORY = 5_000;

interface FadingCount {
  readonly count: number;
  readonly at: number;
}

/** The rates of one balancer; as many services as its routing table has. */
export class OpeningRates {
  private readonly counts = new Map<string, FadingCount>();

  /** A flow of a service is placed. */
  note(service: string, now: number): void {
    this.counts.set(service, { count: this.countOf(service, now) + 1, at: now });
  }

  /** New flows in a millisecond; a mean of the first seconds comes out low. */
  rate(service: string, now: number): number {
    return this.countOf(service, now) / MEMORY;
  }

  private countOf(service: string, now: number): number {
    const known = this.counts.get(service);
    return known ? known.count * Math.exp((known.at - now) / MEMORY) : 0;
  }
}

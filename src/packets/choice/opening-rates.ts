/** Recent mean rate of new flows that this balancer places, by service. */

/** Time in which the weight of a new flow decays to about a third. */
const DECAY_TIME_MS = 5_000;

interface DecayingCount {
  readonly count: number;
  readonly at: number;
}

/** Decay times after which even thousands of new flows count for nothing. */
const EXPIRY_DECAY_TIMES = 20;

/** Rates of the services with which one balancer has recently placed flows. */
export class OpeningRates {
  private readonly counts = new Map<string, DecayingCount>();

  /** Records a flow placed with a service. */
  recordOpening(service: string, now: number): void {
    this.counts.set(service, { count: this.getDecayedCount(service, now) + 1, at: now });
  }

  /** New flows per millisecond; too low during the first seconds. */
  getRate(service: string, now: number): number {
    return this.getDecayedCount(service, now) / DECAY_TIME_MS;
  }

  /** Drops services without recent flows, such as those of an earlier routing table. */
  expire(now: number): void {
    for (const [service, { at }] of this.counts) {
      if (now - at > DECAY_TIME_MS * EXPIRY_DECAY_TIMES) {
        this.counts.delete(service);
      }
    }
  }

  /** Number of services with recent flows. */
  get size(): number {
    return this.counts.size;
  }

  private getDecayedCount(service: string, now: number): number {
    const known = this.counts.get(service);
    return known ? known.count * Math.exp((known.at - now) / DECAY_TIME_MS) : 0;
  }
}

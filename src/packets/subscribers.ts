/** The balancers that an agent reports to: those that asked for it or sent packets lately. */
import type { Endpoint } from '../environment';

/** Milliseconds for which one subscription holds. */
const SUBSCRIPTION_LIFETIME = 5_000;
const MAXIMUM_SUBSCRIBERS = 2_000;

/** Subscribers of one agent. */
export class Subscribers {
  private readonly seenAt = new Map<Endpoint, number>();

  /** @returns whether the balancer is new here */
  renew(balancer: Endpoint, now: number): boolean {
    const known = this.seenAt.has(balancer);
    if (known || this.seenAt.size < MAXIMUM_SUBSCRIBERS) {
      this.seenAt.set(balancer, now);
    }
    return !known;
  }

  /** Subscribers noted, also those that may be gone. */
  get count(): number {
    return this.seenAt.size;
  }

  /** The present subscribers; drops those that have not been seen for long. */
  present(now: number): Endpoint[] {
    for (const [balancer, seenAt] of this.seenAt) {
      if (now - seenAt > SUBSCRIPTION_LIFETIME) {
        this.seenAt.delete(balancer);
      }
    }
    return [...this.seenAt.keys()];
  }
}

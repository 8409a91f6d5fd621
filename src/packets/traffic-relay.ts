/**
 * A balancer with little processor time hands clients' packets on, as they came, to
 * balancers that have more: passing one on costs far less than routing it, and
 * such a balancer needs no reports of agents. It routes by itself while it knows no such
 * balancer.
 */
import { rendezvousScore } from '../core/hashing';
import type { Endpoint } from '../environment';
import type { FlowKey } from './flow-packet';

/** Processors below which a balancer relays, and from which on it takes what others relay. */
export const ROUTING_CAPACITY = 0.1;
/** Milliseconds without a status after which a balancer is taken to be away. */
const AWAY_AFTER = 1_100;

/** Balancers noted at most. */
const MAXIMUM_BALANCERS = 32;

/** A balancer as it tells of itself. */
export interface BalancerStatus {
  readonly zone: string;
  /** Where it takes clients' packets. */
  readonly packetAddress: Endpoint;
  /** Processors that it may use. */
  readonly capacity: number;
  /** It takes traffic: it is not stopping and can serve any flow. */
  readonly isReady: boolean;
}

interface KnownBalancer {
  readonly status: BalancerStatus;
  readonly heardAt: number;
}

/** The relay of one balancer. */
export class TrafficRelay {
  private readonly balancers = new Map<Endpoint, KnownBalancer>();

  /**
   * @param zone zone of this balancer
   * @param capacity processors that it may use
   */
  constructor(
    private readonly zone: string,
    private readonly capacity: number,
  ) {}

  /** Whether this balancer should relay when it can. */
  get isWanted(): boolean {
    return this.capacity < ROUTING_CAPACITY;
  }

  /** Takes the status of another balancer. */
  learn(balancer: Endpoint, status: BalancerStatus, now: number): void {
    if (this.isWanted && status.capacity >= ROUTING_CAPACITY) {
      this.balancers.set(balancer, { status, heardAt: now });
    }
    if (this.balancers.size > MAXIMUM_BALANCERS) {
      this.forgetOldest();
    }
  }

  /** Balancers that route, also those that may be away: of this zone, or all without them. */
  askedFor(now: number): Endpoint[] {
    const hasOwn = this.present(now).some(([, { status }]) => status.zone === this.zone);
    return [...this.balancers]
      .filter(([, { status }]) => !hasOwn || status.zone === this.zone)
      .map(([address]) => address);
  }

  /** Whether some balancer would take what is relayed. */
  isPossible(now: number): boolean {
    return this.present(now).length > 0;
  }

  /**
   * Where packets of a flow go: to a balancer of this zone, or of another one without it;
   * undefined when this balancer has to route them itself.
   */
  destinationOf(flow: FlowKey, now: number): Endpoint | undefined {
    const present = this.present(now);
    const own = present.filter(([, { status }]) => status.zone === this.zone);
    let best: Endpoint | undefined;
    let bestScore = -1;
    for (const [address, { status }] of own.length > 0 ? own : present) {
      const score = rendezvousScore(flow, String(address));
      if (score > bestScore) {
        bestScore = score;
        best = status.packetAddress;
      }
    }
    return best;
  }

  private present(now: number): [Endpoint, KnownBalancer][] {
    return [...this.balancers].filter(
      ([, { status, heardAt }]) => status.isReady && now - heardAt <= AWAY_AFTER,
    );
  }

  private forgetOldest(): void {
    const oldest = [...this.balancers].reduce((a, b) => (a[1].heardAt <= b[1].heardAt ? a : b));
    this.balancers.delete(oldest[0]);
  }
}

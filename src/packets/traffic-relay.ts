/**
 * A balancer with little processor time hands clients' packets on, as they came, to
 * balancers of its zone that have more: passing one on costs far less than routing it, and
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
    const isUsable = status.zone === this.zone && status.capacity >= ROUTING_CAPACITY;
    if (this.isWanted && isUsable) {
      this.balancers.set(balancer, { status, heardAt: now });
    }
  }

  /** Balancers of the zone that route, also those that may be away just now. */
  get known(): Endpoint[] {
    return [...this.balancers.keys()];
  }

  /** Whether some balancer would take what is relayed. */
  isPossible(now: number): boolean {
    for (const balancer of this.balancers.values()) {
      if (isPresent(balancer, now)) {
        return true;
      }
    }
    return false;
  }

  /** Where packets of a flow go; undefined when this balancer has to route them itself. */
  destinationOf(flow: FlowKey, now: number): Endpoint | undefined {
    let best: Endpoint | undefined;
    let bestScore = -1;
    for (const [address, balancer] of this.balancers) {
      const score = isPresent(balancer, now) ? rendezvousScore(flow, String(address)) : -1;
      if (score > bestScore) {
        bestScore = score;
        best = balancer.status.packetAddress;
      }
    }
    return best;
  }
}

function isPresent({ status, heardAt }: KnownBalancer, now: number): boolean {
  return status.isReady && now - heardAt <= AWAY_AFTER;
}

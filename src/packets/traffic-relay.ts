/**
 * A balancer with little processor time hands clients' packets on, as they came, to
 * balancers that have more: passing one on costs far less than routing it, and
 * such a balancer needs no reports of agents. It routes by itself while it knows no such
 * balancer.
 */
import { computeRendezvousScore } from '../core/hashing';
import type { Endpoint } from '../environment';
import type { FlowKey } from './flow-packet';

/** Processors below which a balancer relays, and from which on it takes what others relay. */
export const ROUTING_CAPACITY = 0.1;
/** Milliseconds without a status after which a balancer is taken to be away. */
const AWAY_AFTER = 1_100;

/** Balancers noted at most. */
const MAXIMUM_BALANCERS = 64;
/** Milliseconds for which a silent balancer still counts as one of its zone. */
const MEMBER_TIME = 15_000;
/** Milliseconds of silence after which another weak balancer stands in for one. */
const STAND_IN_TIME = 2_000;

/** A balancer as it tells of itself. */
export interface BalancerStatus {
  readonly zone: string;
  /** Where it takes clients' packets. */
  readonly packetAddress: Endpoint;
  /** Processors that it may use; 0 for one that relays and has just started. */
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
   * @param self address of this balancer
   * @param zone zone of this balancer
   * @param capacity processors that it may use
   */
  constructor(
    private readonly self: Endpoint,
    private readonly zone: string,
    private readonly capacity: number,
  ) {}

  /** Whether this balancer should relay when it can. */
  get isWanted(): boolean {
    return this.capacity < ROUTING_CAPACITY;
  }

  /** Takes the status of another balancer. */
  learn(balancer: Endpoint, status: BalancerStatus, now: number): void {
    if (this.isWanted) {
      this.balancers.set(balancer, { status, heardAt: now });
    }
    if (this.balancers.size > MAXIMUM_BALANCERS) {
      this.forgetOldest();
    }
  }

  /** Balancers whose status matters, also those that may be away: of this zone, or all. */
  askedFor(now: number): Endpoint[] {
    const hasOwn = this.present(now).some(([, one]) => this.isOfZone(one));
    return [...this.balancers]
      .filter(([, one]) => this.isOfZone(one) || (!hasOwn && isRouting(one)))
      .map(([address]) => address);
  }

  /**
   * Whether this balancer should take traffic to relay it. Routers leave a balancer out that
   * says it is not ready, as long as at least half of its zone is. So as many weak ones as
   * make more than half take traffic: those first that have run for a while, since code that
   * has just started is slow, then those whose addresses are lowest. One that has just started
   * does so only if half of the zone is not ready without it.
   * @param hasRunLong whether this balancer has run for a while
   */
  isNeeded(hasRunLong: boolean, now: number): boolean {
    const zone = [...this.balancers].filter(
      ([, one]) => this.isOfZone(one) && now - one.heardAt <= MEMBER_TIME,
    );
    const routing = this.present(now).filter(([, one]) => this.isOfZone(one)).length;
    const members = zone.length + 1;
    const wanted = hasRunLong ? Math.floor(members / 2) + 1 : Math.ceil(members / 2);
    const before = zone.filter(
      ([address, one]) =>
        isStandIn(one) &&
        now - one.heardAt <= STAND_IN_TIME &&
        (!hasRunLong || address < this.self),
    );
    return routing + before.length < wanted;
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
    const own = present.filter(([, one]) => this.isOfZone(one));
    let best: Endpoint | undefined;
    let bestScore = -1;
    for (const [address, { status }] of own.length > 0 ? own : present) {
      const score = computeRendezvousScore(flow, String(address));
      if (score > bestScore) {
        bestScore = score;
        best = status.packetAddress;
      }
    }
    return best;
  }

  private present(now: number): [Endpoint, KnownBalancer][] {
    return [...this.balancers].filter(
      ([, one]) => isRouting(one) && one.status.isReady && now - one.heardAt <= AWAY_AFTER,
    );
  }

  private isOfZone({ status }: KnownBalancer): boolean {
    return status.zone === this.zone;
  }

  private forgetOldest(): void {
    const oldest = [...this.balancers].reduce((a, b) => (a[1].heardAt <= b[1].heardAt ? a : b));
    this.balancers.delete(oldest[0]);
  }
}

/** Whether a balancer takes what others relay. */
function isRouting({ status }: KnownBalancer): boolean {
  return status.capacity >= ROUTING_CAPACITY;
}

/** Whether a balancer relays, and has run for a while. */
function isStandIn({ status }: KnownBalancer): boolean {
  return status.capacity > 0 && status.capacity < ROUTING_CAPACITY;
}

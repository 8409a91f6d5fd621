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
export const MINIMUM_ROUTING_CAPACITY = 0.1;
/** Milliseconds without a status after which a balancer is taken to be away. */
const STATUS_TIMEOUT_MS = 1_100;

/** Balancers noted at most. */
const MAXIMUM_BALANCERS = 64;
/** Milliseconds for which a silent balancer still counts as one of its zone. */
const MEMBERSHIP_TIMEOUT_MS = 15_000;
/** Milliseconds of silence after which another weak balancer stands in for one. */
const STAND_IN_TIMEOUT_MS = 2_000;

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
  get prefersRelaying(): boolean {
    return this.capacity < MINIMUM_ROUTING_CAPACITY;
  }

  /** Takes the status of another balancer. */
  recordStatus(balancer: Endpoint, status: BalancerStatus, now: number): void {
    if (this.prefersRelaying) {
      this.balancers.set(balancer, { status, heardAt: now });
    }
    if (this.balancers.size > MAXIMUM_BALANCERS) {
      this.evictOldest();
    }
  }

  /** Balancers whose status matters, also those that may be away: of this zone, or all. */
  listBalancersToPoll(now: number): Endpoint[] {
    const hasOwn = this.listAvailable(now).some(([, one]) => this.isInOwnZone(one));
    return [...this.balancers]
      .filter(([, one]) => this.isInOwnZone(one) || (!hasOwn && routesItself(one)))
      .map(([address]) => address);
  }

  /**
   * Whether this balancer should take traffic to relay it. Routers leave a balancer out that
   * says it is not ready, as long as at least half of its zone is. So as many weak ones as
   * make more than half take traffic: those first that have run for a while, since code that
   * has just started is slow, then those whose addresses are lowest. One that has just started
   * does so only if half of the zone is not ready without it.
   * @param isWarmedUp whether this balancer has run for a while
   */
  isNeeded(isWarmedUp: boolean, now: number): boolean {
    const zone = [...this.balancers].filter(
      ([, one]) => this.isInOwnZone(one) && now - one.heardAt <= MEMBERSHIP_TIMEOUT_MS,
    );
    const routing = this.listAvailable(now).filter(([, one]) => this.isInOwnZone(one)).length;
    const members = zone.length + 1;
    const wanted = isWarmedUp ? Math.floor(members / 2) + 1 : Math.ceil(members / 2);
    const before = zone.filter(
      ([address, one]) =>
        isWarmRelay(one) &&
        now - one.heardAt <= STAND_IN_TIMEOUT_MS &&
        (!isWarmedUp || address < this.self),
    );
    return routing + before.length < wanted;
  }

  /** Whether some balancer would take what is relayed. */
  canRelay(now: number): boolean {
    return this.listAvailable(now).length > 0;
  }

  /**
   * Where packets of a flow go: to a balancer of this zone, or of another one without it;
   * undefined when this balancer has to route them itself.
   */
  selectDestination(flow: FlowKey, now: number): Endpoint | undefined {
    const available = this.listAvailable(now);
    const own = available.filter(([, one]) => this.isInOwnZone(one));
    let best: Endpoint | undefined;
    let bestScore = -1;
    for (const [address, { status }] of own.length > 0 ? own : available) {
      const score = computeRendezvousScore(flow, String(address));
      if (score > bestScore) {
        bestScore = score;
        best = status.packetAddress;
      }
    }
    return best;
  }

  private listAvailable(now: number): [Endpoint, KnownBalancer][] {
    return [...this.balancers].filter(
      ([, one]) =>
        routesItself(one) && one.status.isReady && now - one.heardAt <= STATUS_TIMEOUT_MS,
    );
  }

  private isInOwnZone({ status }: KnownBalancer): boolean {
    return status.zone === this.zone;
  }

  private evictOldest(): void {
    const oldest = [...this.balancers].reduce((a, b) => (a[1].heardAt <= b[1].heardAt ? a : b));
    this.balancers.delete(oldest[0]);
  }
}

/** Whether a balancer takes what others relay. */
function routesItself({ status }: KnownBalancer): boolean {
  return status.capacity >= MINIMUM_ROUTING_CAPACITY;
}

/** Whether a balancer relays, and has run for a while. */
function isWarmRelay({ status }: KnownBalancer): boolean {
  return status.capacity > 0 && status.capacity < MINIMUM_ROUTING_CAPACITY;
}

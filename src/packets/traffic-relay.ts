/**
 * Relaying: a balancer with little CPU forwards clients' packets unchanged to balancers with
 * more. Forwarding a packet takes far less CPU than routing it, and needs no reports of agents.
 * Such a balancer routes packets itself while no other balancer is available.
 */
import { computeRendezvousScore } from '../core/hashing';
import type { Endpoint } from '../environment';
import type { FlowKey } from './flow-packet';

/** CPUs below which a balancer relays; one with at least as many routes packets that others relay. */
export const MINIMUM_ROUTING_CAPACITY = 0.1;
/** Time without a status after which a balancer counts as unavailable. */
const STATUS_TIMEOUT_MS = 1_100;

/** Maximum number of balancers kept. */
const MAXIMUM_BALANCERS = 64;
/** Time without a status after which a balancer no longer counts as a member of its zone. */
const MEMBERSHIP_TIMEOUT_MS = 15_000;
/** Time without a status after which another relaying balancer takes the place of one. */
const STAND_IN_TIMEOUT_MS = 2_000;

/** The status that a balancer announces to its peers. */
export interface BalancerStatus {
  readonly zone: string;
  /** Address at which it receives clients' packets. */
  readonly packetAddress: Endpoint;
  /** CPUs that it may use; 0 for one that relays and has just started. */
  readonly capacity: number;
  /** Whether it accepts traffic: it is not stopping and can serve any flow. */
  readonly isReady: boolean;
}

interface KnownBalancer {
  readonly status: BalancerStatus;
  readonly heardAt: number;
}

/** Decides for one balancer whether, and to which balancers, it relays. */
export class TrafficRelay {
  private readonly balancers = new Map<Endpoint, KnownBalancer>();

  /**
   * @param self address of this balancer
   * @param zone zone of this balancer
   * @param capacity CPUs that it may use
   */
  constructor(
    private readonly self: Endpoint,
    private readonly zone: string,
    private readonly capacity: number,
  ) {}

  /** Whether this balancer relays whenever another one is available. */
  get prefersRelaying(): boolean {
    return this.capacity < MINIMUM_ROUTING_CAPACITY;
  }

  /** Records the status of another balancer. */
  recordStatus(balancer: Endpoint, status: BalancerStatus, now: number): void {
    if (this.prefersRelaying) {
      this.balancers.set(balancer, { status, heardAt: now });
    }
    if (this.balancers.size > MAXIMUM_BALANCERS) {
      this.evictOldest();
    }
  }

  /** Lists balancers whose status is needed, also unavailable ones: of this zone, or else of all. */
  listBalancersToPoll(now: number): Endpoint[] {
    const hasOwnZone = this.listAvailable(now).some(([, entry]) => this.isInOwnZone(entry));
    return [...this.balancers]
      .filter(([, entry]) => this.isInOwnZone(entry) || (!hasOwnZone && routesItself(entry)))
      .map(([address]) => address);
  }

  /**
   * Whether this balancer should accept traffic to relay it. Network routers exclude a balancer
   * that is not ready only while at least half of its zone is ready. So as many relaying
   * balancers accept traffic as make more than half: warmed-up ones first, since code is slow
   * just after the start, then those with the lowest addresses. One that is not warmed up
   * accepts traffic only if less than half of the zone is ready without it.
   * @param isWarmedUp whether this balancer has run for its warm-up time
   */
  isNeeded(isWarmedUp: boolean, now: number): boolean {
    const zoneMembers = [...this.balancers].filter(
      ([, entry]) => this.isInOwnZone(entry) && now - entry.heardAt <= MEMBERSHIP_TIMEOUT_MS,
    );
    const routingCount = this.listAvailable(now).filter(([, entry]) =>
      this.isInOwnZone(entry),
    ).length;
    const memberCount = zoneMembers.length + 1;
    const required = isWarmedUp ? Math.floor(memberCount / 2) + 1 : Math.ceil(memberCount / 2);
    const preceding = zoneMembers.filter(
      ([address, entry]) =>
        isWarmRelay(entry) &&
        now - entry.heardAt <= STAND_IN_TIMEOUT_MS &&
        (!isWarmedUp || address < this.self),
    );
    return routingCount + preceding.length < required;
  }

  /** Whether a balancer is available to relay to. */
  canRelay(now: number): boolean {
    return this.listAvailable(now).length > 0;
  }

  /**
   * Selects the packet address to which packets of a flow are relayed: of a balancer in this zone
   * if one is available, else in another; undefined when this balancer must route them itself.
   */
  selectDestination(flow: FlowKey, now: number): Endpoint | undefined {
    const available = this.listAvailable(now);
    const own = available.filter(([, entry]) => this.isInOwnZone(entry));
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
      ([, entry]) =>
        routesItself(entry) && entry.status.isReady && now - entry.heardAt <= STATUS_TIMEOUT_MS,
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

/** Whether a balancer routes packets that others relay. */
function routesItself({ status }: KnownBalancer): boolean {
  return status.capacity >= MINIMUM_ROUTING_CAPACITY;
}

/** Whether a balancer relays and is warmed up. */
function isWarmRelay({ status }: KnownBalancer): boolean {
  return status.capacity > 0 && status.capacity < MINIMUM_ROUTING_CAPACITY;
}

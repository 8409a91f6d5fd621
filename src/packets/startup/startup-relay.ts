/**
 * Selects the balancers to which a starting one forwards clients' packets until it can serve.
 *
 * After a total power loss, balancers with more processor time are up first. Their code is warm
 * while the others begin to read, to receive reports and to place flows, which costs a slow one a
 * quarter of a second of its share. Packets are forwarded unchanged, all of a flow to one balancer.
 */
import { computeRendezvousScore } from '../../core/hashing';
import type { Endpoint } from '../../environment';
import type { FlowKey } from '../flow-packet';
import type { BalancerStatus } from '../traffic-relay';

/**
 * Minimum ratio of another balancer's processor time to the own: packets only go to ever stronger
 * ones, so they cannot loop, and equal ones all start at the same pace.
 */
const MINIMUM_CAPACITY_RATIO = 2;
/**
 * Multiple of its processor time whose share of the cluster's traffic a balancer takes for a
 * moment: balancers are planned for a quarter of their processors at most (docs/CAPACITY.md).
 */
const BURST_CAPACITY_FACTOR = 4;
/** Time after which another balancer's status is outdated; twice its interval. */
const STATUS_LIFETIME_MS = 1_100;
/**
 * Silence after which flows are no longer forwarded to a balancer: in a large cluster a status
 * comes only every few seconds, and no flow may wait longer for one that has died.
 */
const MAXIMUM_SILENCE_MS = 2_000;
const MAXIMUM_BALANCERS = 64;
/** Maximum number of recorded flows; beyond it the oldest is forgotten. */
const MAXIMUM_FLOWS = 4_096;

interface KnownBalancer {
  readonly status: BalancerStatus;
  readonly heardAt: number;
}

/** A balancer by its sender address. */
type Candidate = readonly [Endpoint, KnownBalancer];

/** Relay of one startup. */
export class StartupRelay {
  private readonly balancers = new Map<Endpoint, KnownBalancer>();
  /** Sender address of the balancer to which each flow is forwarded. */
  private readonly flows = new Map<FlowKey, Endpoint>();

  /**
   * @param zone zone of this balancer
   * @param capacity processors that it may use
   */
  constructor(
    private readonly zone: string,
    private readonly capacity: number,
  ) {}

  /** Records another balancer's status. */
  recordStatus(balancer: Endpoint, status: BalancerStatus, now: number): void {
    if (status.capacity < MINIMUM_CAPACITY_RATIO * this.capacity) {
      return;
    }
    this.balancers.delete(balancer);
    this.balancers.set(balancer, { status, heardAt: now });
    if (this.balancers.size > MAXIMUM_BALANCERS) {
      const [oldest] = this.balancers.keys();
      this.balancers.delete(oldest!);
    }
  }

  /** Whether any forwarded flows are recorded. */
  get hasRelayedFlows(): boolean {
    return this.flows.size > 0;
  }

  /** Whether packets of any flow can be forwarded now. */
  canRelay(clusterSize: number, now: number): boolean {
    return this.findAvailable(clusterSize, now).length > 0;
  }

  /**
   * Chooses the address that packets of a flow go to; undefined when no balancer can take them.
   * @param clusterSize known balancers, this one included
   */
  chooseDestination(flow: FlowKey, clusterSize: number, now: number): Endpoint | undefined {
    const existing = this.findDestination(flow, now);
    if (existing !== undefined) {
      return existing;
    }
    const chosen = this.chooseBalancer(flow, clusterSize, now);
    if (chosen === undefined) {
      return undefined;
    }
    const [balancer, { status }] = chosen;
    this.recordFlow(flow, balancer);
    return status.packetAddress;
  }

  /**
   * The address that packets of a flow have been forwarded to; undefined for any other flow, or if
   * that balancer is unresponsive.
   */
  findDestination(flow: FlowKey, now: number): Endpoint | undefined {
    const balancer = this.flows.get(flow);
    const known = balancer === undefined ? undefined : this.balancers.get(balancer);
    const isAlive = known !== undefined && now - known.heardAt <= MAXIMUM_SILENCE_MS;
    return isAlive ? known.status.packetAddress : undefined;
  }

  /** Forgets everything; flows that continue are searched for. */
  clear(): void {
    this.balancers.clear();
    this.flows.clear();
  }

  private chooseBalancer(flow: FlowKey, clusterSize: number, now: number): Candidate | undefined {
    const available = this.findAvailable(clusterSize, now);
    const sameZone = available.filter(([, { status }]) => status.zone === this.zone);
    return chooseByFlow(flow, sameZone.length > 0 ? sameZone : available);
  }

  /** The balancers that take packets, if together they have enough processor time for it. */
  private findAvailable(clusterSize: number, now: number): Candidate[] {
    const available = [...this.balancers].filter(
      ([, { status, heardAt }]) => status.isReady && now - heardAt <= STATUS_LIFETIME_MS,
    );
    const capacity = available.reduce((sum, [, { status }]) => sum + status.capacity, 0);
    return capacity * BURST_CAPACITY_FACTOR >= clusterSize * this.capacity ? available : [];
  }

  private recordFlow(flow: FlowKey, balancer: Endpoint): void {
    this.flows.set(flow, balancer);
    if (this.flows.size > MAXIMUM_FLOWS) {
      const [oldest] = this.flows.keys();
      this.flows.delete(oldest!);
    }
  }
}

function chooseByFlow(flow: FlowKey, candidates: readonly Candidate[]): Candidate | undefined {
  let best: Candidate | undefined;
  let bestScore = -1;
  for (const candidate of candidates) {
    const score = computeRendezvousScore(flow, String(candidate[1].status.packetAddress));
    if (score > bestScore) {
      bestScore = score;
      best = candidate;
    }
  }
  return best;
}

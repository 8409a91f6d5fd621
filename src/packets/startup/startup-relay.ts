/**
 * Where a balancer that starts hands clients' packets on to, until it can serve by itself.
 *
 * After all power is lost, balancers with more processor time are up first. Their code is warm when
 * the others begin to read, to hear agents and to place flows, which costs a slow one a quarter of a
 * second of its share. Packets go on as they came; of each flow all go to the same balancer.
 */
import { computeRendezvousScore } from '../../core/hashing';
import type { Endpoint } from '../../environment';
import type { FlowKey } from '../flow-packet';
import type { BalancerStatus } from '../traffic-relay';

/**
 * Times the own processor time that another balancer must have: what is handed on goes to ever
 * stronger ones, so it cannot go round, and among equals all start at the same pace.
 */
const MINIMUM_CAPACITY_RATIO = 2;
/**
 * Times its own processor time whose share of the cluster's traffic a balancer takes for a moment:
 * balancers are planned for a fourth of their processors at most (docs/CAPACITY.md tells the load).
 */
const BURST_CAPACITY_FACTOR = 4;
/** Milliseconds after which what another balancer has said of itself is too old; twice its interval. */
const STATUS_LIFETIME_MS = 1_100;
/**
 * Milliseconds of silence after which flows no longer go on to a balancer: in a large cluster one
 * tells of itself every few seconds only, and no flow is to wait longer for one that has died.
 */
const MAXIMUM_SILENCE_MS = 2_000;
const MAXIMUM_BALANCERS = 64;
/** Flows whose balancer is remembered; the oldest is forgotten beyond that. */
const MAXIMUM_FLOWS = 4_096;

interface KnownBalancer {
  readonly status: BalancerStatus;
  readonly heardAt: number;
}

/** A balancer by the address that it speaks from. */
type Candidate = readonly [Endpoint, KnownBalancer];

/** The relay of one start. */
export class StartupRelay {
  private readonly balancers = new Map<Endpoint, KnownBalancer>();
  /** The balancers, by the address that they speak from, that flows were handed on to. */
  private readonly flows = new Map<FlowKey, Endpoint>();

  /**
   * @param zone zone of this balancer
   * @param capacity processors that it may use
   */
  constructor(
    private readonly zone: string,
    private readonly capacity: number,
  ) {}

  /** Takes what another balancer says of itself. */
  learn(balancer: Endpoint, status: BalancerStatus, now: number): void {
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

  /** Whether flows are noted that were handed on. */
  get hasRelayedFlows(): boolean {
    return this.flows.size > 0;
  }

  /** Whether packets of any flow can be handed on now. */
  canRelay(clusterSize: number, now: number): boolean {
    return this.findAvailable(clusterSize, now).length > 0;
  }

  /**
   * Chooses where packets of a flow go; undefined when nobody can take them.
   * @param clusterSize balancers known, this one included
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
   * Where the packets of a flow have gone so far; undefined for a flow that was not handed on, or
   * to a balancer that has fallen silent.
   */
  findDestination(flow: FlowKey, now: number): Endpoint | undefined {
    const balancer = this.flows.get(flow);
    const known = balancer === undefined ? undefined : this.balancers.get(balancer);
    const isAlive = known !== undefined && now - known.heardAt <= MAXIMUM_SILENCE_MS;
    return isAlive ? known.status.packetAddress : undefined;
  }

  /** Forgets everything: flows that go on are searched for. */
  clear(): void {
    this.balancers.clear();
    this.flows.clear();
  }

  private chooseBalancer(flow: FlowKey, clusterSize: number, now: number): Candidate | undefined {
    const available = this.findAvailable(clusterSize, now);
    const sameZone = available.filter(([, { status }]) => status.zone === this.zone);
    return chooseByFlow(flow, sameZone.length > 0 ? sameZone : available);
  }

  /** The balancers that take packets, if together they have processor time enough for it. */
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

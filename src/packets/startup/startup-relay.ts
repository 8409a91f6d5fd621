/**
 * Where a balancer that starts hands clients' packets on to, until it can serve by itself.
 *
 * After all power is lost, balancers with more processor time are up first. Their code is warm when
 * the others begin to read, to hear agents and to place flows, which costs a slow one a quarter of a
 * second of its share. Packets go on as they came; of each flow all go to the same balancer.
 */
import { rendezvousScore } from '../../core/hashing';
import type { Endpoint } from '../../environment';
import type { FlowKey } from '../flow-packet';
import type { BalancerStatus } from '../traffic-relay';

/**
 * Times the own processor time that another balancer must have: what is handed on goes to ever
 * stronger ones, so it cannot go round, and among equals all start at the same pace.
 */
const ADVANTAGE = 2;
/**
 * Times its own processor time whose share of the cluster's traffic a balancer takes for a moment:
 * balancers are planned for a fourth of their processors at most (docs/CAPACITY.md tells the load).
 */
const SPARE_CAPACITY = 4;
/** Milliseconds after which what another balancer has said of itself is too old; twice its interval. */
const STATUS_LIFETIME = 1_100;
const MAXIMUM_BALANCERS = 64;
/** Flows whose balancer is remembered; the oldest is forgotten beyond that. */
const MAXIMUM_FLOWS = 4_096;

interface KnownBalancer {
  readonly status: BalancerStatus;
  readonly heardAt: number;
}

/** The relay of one start. */
export class StartupRelay {
  private readonly balancers = new Map<Endpoint, KnownBalancer>();
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
    if (status.capacity < ADVANTAGE * this.capacity) {
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
  get hasFlows(): boolean {
    return this.flows.size > 0;
  }

  /** Whether packets of any flow can be handed on now. */
  isPossible(clusterSize: number, now: number): boolean {
    return this.findPresent(clusterSize, now).length > 0;
  }

  /**
   * Chooses where packets of a flow go; undefined when nobody can take them.
   * @param clusterSize balancers known, this one included
   */
  choose(flow: FlowKey, clusterSize: number, now: number): Endpoint | undefined {
    const known = this.flows.get(flow);
    if (known !== undefined) {
      return known;
    }
    const chosen = this.chooseAnew(flow, clusterSize, now);
    if (chosen !== undefined) {
      this.note(flow, chosen);
    }
    return chosen;
  }

  /** Where the packets of a flow have gone so far; undefined for a flow that was not handed on. */
  find(flow: FlowKey): Endpoint | undefined {
    return this.flows.get(flow);
  }

  /** Forgets everything: flows that go on are searched for. */
  clear(): void {
    this.balancers.clear();
    this.flows.clear();
  }

  private chooseAnew(flow: FlowKey, clusterSize: number, now: number): Endpoint | undefined {
    const present = this.findPresent(clusterSize, now);
    const own = present.filter(({ zone }) => zone === this.zone);
    return chooseByFlow(flow, own.length > 0 ? own : present);
  }

  /** The balancers that take packets, if together they have processor time enough for it. */
  private findPresent(clusterSize: number, now: number): BalancerStatus[] {
    const present = [...this.balancers.values()]
      .filter(({ status, heardAt }) => status.isReady && now - heardAt <= STATUS_LIFETIME)
      .map(({ status }) => status);
    const capacity = present.reduce((sum, one) => sum + one.capacity, 0);
    return capacity * SPARE_CAPACITY >= clusterSize * this.capacity ? present : [];
  }

  private note(flow: FlowKey, balancer: Endpoint): void {
    this.flows.set(flow, balancer);
    if (this.flows.size > MAXIMUM_FLOWS) {
      const [oldest] = this.flows.keys();
      this.flows.delete(oldest!);
    }
  }
}

function chooseByFlow(flow: FlowKey, among: readonly BalancerStatus[]): Endpoint | undefined {
  let best: Endpoint | undefined;
  let bestScore = -1;
  for (const { packetAddress } of among) {
    const score = rendezvousScore(flow, String(packetAddress));
    if (score > bestScore) {
      bestScore = score;
      best = packetAddress;
    }
  }
  return best;
}

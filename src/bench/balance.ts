/**
 * Balance benchmark over hours of virtual time: flows of Pareto-distributed length arrive
 * steadily or in bursts while a target drains and returns; compares baselines and an oracle.
 */
import { chooseTarget, type PlacementCandidate } from '../core/placement';
import { packEndpoint } from '../core/endpoint';
import type { Endpoint } from '../environment';
import { hostsAnyFlow, createRoutingFactory, type Design } from '../simulation/baselines';
import { SeededRandom } from '../simulation/seeded-random';
import { BalanceCluster, type BenchAgent, type BenchShape } from './balance-cluster';

const BALANCER_COUNT = 3;
const MEAN_FLOW_SECONDS = 3_600;
const PARETO_SHAPE = 1.5;
const CONCURRENT_FLOWS = 900;
const WARM_UP_HOURS = 1;
const BURST_INTERVAL_SECONDS = 600;
const BURST_FLOWS = 60;
const SECOND_MS = 1_000;
const STEP_SECONDS = 1;
/** Transit time of a placed datagram, about one zone's delay. */
const IN_FLIGHT_MS = 5.2;

/** Placement designs that are compared. */
export const BALANCE_DESIGNS = ['hash', 'hash-and-table', 'fewest', 'hallhold', 'oracle'] as const;
export type BalanceDesign = (typeof BALANCE_DESIGNS)[number];

/** Arrival pattern of flows. */
export type ArrivalPattern = 'steady' | 'bursts';

/** Result of one design; imbalance is the largest over the mean of flows per share. */
export interface BalanceResult {
  readonly design: BalanceDesign;
  readonly pattern: ArrivalPattern;
  readonly mean: number;
  readonly p99: number;
  readonly flowsOpened: number;
  /** Flows whose last datagram reached another target than their first one. */
  readonly flowsMoved: number;
}

/** Options of one run. */
export interface BalanceOptions {
  readonly targets: number;
  /** Hours of virtual time, after one hour of warm-up. */
  readonly hours: number;
  readonly seed: number;
}

/** Runs every design on both patterns. */
export function benchBalance(
  options: BalanceOptions,
  reportProgress: (line: string) => void,
): BalanceResult[] {
  const patterns: readonly ArrivalPattern[] = ['steady', 'bursts'];
  return patterns.flatMap((pattern) =>
    BALANCE_DESIGNS.map((design) => {
      reportProgress(`${pattern}, ${design}`);
      return new BalanceRun(options, design, pattern).execute();
    }),
  );
}

class BalanceRun {
  private readonly cluster: BalanceCluster;
  private readonly samples: number[] = [];
  /** Separate random stream, so that every design gets the same arrivals and lengths. */
  private readonly arrivals: SeededRandom;
  /** The oracle's placements whose first datagram is in flight. */
  private inFlight: { readonly endpoint: Endpoint; readonly until: number }[] = [];
  private opened = 0;
  private moved = 0;

  constructor(
    private readonly options: BalanceOptions,
    private readonly design: BalanceDesign,
    private readonly pattern: ArrivalPattern,
  ) {
    this.cluster = new BalanceCluster(this.createShape(), options.seed);
    this.arrivals = new SeededRandom(options.seed + 1);
  }

  execute(): BalanceResult {
    this.cluster.start();
    this.cluster.runFor(10);
    const end = (WARM_UP_HOURS + this.options.hours) * 3_600;
    this.scheduleArrivals();
    for (let second = 0; second < end; second += STEP_SECONDS) {
      this.cluster.runFor(STEP_SECONDS);
      this.changeShareIfDue(second, end);
      if (second > WARM_UP_HOURS * 3_600) {
        this.samples.push(this.computeImbalance());
      }
    }
    const sorted = [...this.samples].sort((a, b) => a - b);
    return {
      design: this.design,
      pattern: this.pattern,
      mean: sorted.reduce((sum, value) => sum + value, 0) / sorted.length,
      p99: sorted[Math.floor(sorted.length * 0.99)]!,
      flowsOpened: this.opened,
      flowsMoved: this.moved,
    };
  }

  private createShape(): BenchShape {
    const baseline: Design =
      this.design === 'hash' || this.design === 'hash-and-table' ? this.design : 'hallhold';
    const routing = createRoutingFactory(baseline);
    const place = this.createPlacement();
    return {
      balancers: BALANCER_COUNT,
      targets: this.options.targets,
      services: 1,
      shareOf: (number) => 1 + (number % 2),
      hostsAnyFlow: hostsAnyFlow(baseline),
      ...(routing ? { routing } : {}),
      ...(place ? { place } : {}),
    };
  }

  private createPlacement(): BenchShape['place'] {
    if (this.design === 'fewest') {
      return (candidates, _owners, tieBreak) => chooseTarget(candidates, 1, tieBreak);
    }
    if (this.design === 'oracle') {
      return (candidates, _owners, tieBreak) => this.chooseAsOracle(candidates, tieBreak);
    }
    return undefined;
  }

  /** Places by exact flow counts, including placements in flight. */
  private chooseAsOracle(
    candidates: readonly PlacementCandidate[],
    tieBreak: number,
  ): PlacementCandidate | undefined {
    const chosen = chooseTarget(
      candidates.map((one) => this.toExactCandidate(one)),
      1,
      tieBreak,
    );
    if (chosen) {
      this.inFlight.push({
        endpoint: chosen.address,
        until: this.cluster.clock.now + IN_FLIGHT_MS,
      });
    }
    return chosen;
  }

  private countInFlight(agent: BenchAgent): number {
    const { now } = this.cluster.clock;
    this.inFlight = this.inFlight.filter((one) => one.until > now);
    return this.inFlight.filter((one) => one.endpoint === agent.endpoint).length;
  }

  private toExactCandidate(candidate: PlacementCandidate): PlacementCandidate {
    const agent = this.cluster.agents.find((one) => one.endpoint === candidate.address)!;
    const reportedFlows = agent.node.statistics.flows + this.countInFlight(agent);
    return { ...candidate, reportedFlows, placedSince: 0, reportedLoad: 0, warmth: 1 };
  }

  private scheduleArrivals(): void {
    const burstRate = this.pattern === 'bursts' ? BURST_FLOWS / BURST_INTERVAL_SECONDS : 0;
    const steadyRate = Math.max(0, CONCURRENT_FLOWS / MEAN_FLOW_SECONDS - burstRate);
    const arrive = (): void => {
      this.openFlow();
      this.cluster.clock.schedule(this.arrivals.exponential(SECOND_MS / steadyRate), arrive);
    };
    this.cluster.clock.schedule(0, arrive);
    if (this.pattern === 'bursts') {
      const burst = (): void => {
        Array.from({ length: BURST_FLOWS }, () => this.openFlow());
        this.cluster.clock.schedule(BURST_INTERVAL_SECONDS * SECOND_MS, burst);
      };
      this.cluster.clock.schedule(BURST_INTERVAL_SECONDS * SECOND_MS, burst);
    }
  }

  private openFlow(): void {
    this.opened++;
    const caller = packEndpoint('172.16.0.0', 0) + this.opened;
    this.cluster.sendDatagram('service-0', caller);
    const scale = (MEAN_FLOW_SECONDS * (PARETO_SHAPE - 1)) / PARETO_SHAPE;
    const length = scale / (1 - this.arrivals.next()) ** (1 / PARETO_SHAPE);
    this.cluster.clock.schedule(length * SECOND_MS, () => this.endFlow(caller));
  }

  /** Sends a last datagram to find the flow's current target, then ends the flow there. */
  private endFlow(caller: Endpoint): void {
    const began = this.cluster.deliveredAt.get(caller);
    this.cluster.sendDatagram('service-0', caller);
    this.cluster.clock.schedule(SECOND_MS, () => {
      const now = this.cluster.deliveredAt.get(caller);
      this.moved += began !== undefined && now !== began ? 1 : 0;
      this.cluster.endFlow(caller);
      if (began && now !== began) {
        this.cluster.deliveredAt.set(caller, began);
        this.cluster.endFlow(caller);
      }
    });
  }

  /** A target drains at one third of the measured time and returns at two thirds. */
  private changeShareIfDue(second: number, end: number): void {
    const measured = end - WARM_UP_HOURS * 3_600;
    const drainAt = WARM_UP_HOURS * 3_600 + Math.floor(measured / 3);
    const returnAt = WARM_UP_HOURS * 3_600 + Math.floor((2 * measured) / 3);
    if (second === drainAt) {
      this.cluster.changeTable((row, index) => (index === 0 ? { ...row, share: 0 } : row));
    } else if (second === returnAt) {
      this.cluster.changeTable((row, index) => (index === 0 ? { ...row, share: 1 } : row));
    }
  }

  private computeImbalance(): number {
    const { rows } = this.cluster.tables[0]!;
    const loads = rows
      .filter((row) => row.share > 0)
      .map((row) => {
        const agent = this.cluster.agents.find((one) => one.endpoint === row.address)!;
        return { flows: agent.node.statistics.flows, share: row.share };
      });
    const flows = loads.reduce((sum, one) => sum + one.flows, 0);
    const shares = loads.reduce((sum, one) => sum + one.share, 0);
    return Math.max(...loads.map((one) => one.flows / one.share)) / (flows / shares);
  }
}

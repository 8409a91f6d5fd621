/**
 * Zone locality of one balancer: distances of zones, the cost of placing a flow in another zone,
 * the order of agents, and counters of flows that spill over (docs/design/locality.md).
 */
import type { Endpoint, Environment } from '../../environment';
import { Events } from '../../logging/events';
import type { AgentDirectory, AgentEntry } from '../agent-directory';
import { CANDIDATE_COUNT, orderCandidates } from '../flow-candidates';
import type { FlowKey } from '../flow-packet';
import type { DistanceReplyMessage } from '../packet-messages';
import type { SearchOrder } from '../search-order';
import { orderForPlacement, orderForSearch } from './candidate-order';
import { DistanceProbes, type SendProbe } from './distance-probes';
import { ServiceFlowBytes } from './service-flow-bytes';
import { classifyPlacement, orderSecondChoice, SpillReason, type SpillReasonValue } from './spill';
import { SpillMonitor } from './spill-monitor';
import { ConstantCosts, PenalizedCosts, MeasuredCosts, type TransferCosts } from './transfer-costs';
import { ZoneDistances } from './zone-distances';

/** Settings of locality. */
export interface LocalitySettings {
  readonly zone: string;
  /** When false, the order has a fixed share of other zones, all at the same cost. */
  readonly locality: boolean;
  /** Cost of a megabyte between zones, in milliseconds of waiting. */
  readonly transferCost: number;
}

/** Counters of placed flows, by zone and reason. */
export interface SpillCounters {
  flowsPlacedAtHome: number;
  flowsSpilledForWait: number;
  flowsSpilledWithoutTarget: number;
  flowsSpilledHomeUnknown: number;
}

/** Statistics of locality. */
export interface LocalityFigures {
  /** Zones with a measured round trip, including the home zone. */
  readonly zonesMeasured: number;
  /** Round trip to the farthest zone measured, in milliseconds. */
  readonly largestZoneDistance: number;
}

/** Zone locality of one balancer. */
export class Locality {
  private readonly distances: ZoneDistances;
  private readonly probes: DistanceProbes;
  private readonly costs: TransferCosts;
  private readonly spillMonitor = new SpillMonitor();

  constructor(
    private readonly settings: LocalitySettings,
    private readonly environment: Environment,
    private readonly directory: AgentDirectory,
    sendProbe: SendProbe,
  ) {
    const { transferCost, zone } = settings;
    this.distances = new ZoneDistances(zone);
    this.probes = new DistanceProbes(directory, this.distances, sendProbe);
    this.costs = this.isEnabled ? this.createCosts(transferCost) : new ConstantCosts(zone);
  }

  /** Probes the zones that are due; to be called every `INITIAL_PROBE_INTERVAL_MS`. */
  sendDueProbes(): void {
    if (this.isEnabled) {
      this.probes.sendDueProbes(this.environment.now());
    }
  }

  /** Handles an agent's reply to a probe. */
  handleProbeReply(from: Endpoint, reply: DistanceReplyMessage): void {
    this.probes.handleReply(from, reply, this.environment.now());
  }

  /** Cost of placing a flow at an agent, in milliseconds of waiting in the home zone. */
  computeCost(entry: AgentEntry, now: number): number {
    return this.costs.computeCost(entry, now);
  }

  /**
   * Fraction of the other balancers that compete for the same agents: those of one zone, as long
   * as flows stay in their zones.
   */
  get competingShare(): number {
    return this.isEnabled ? 1 / Math.max(1, this.distances.zonesMeasured) : 1;
  }

  /** All agents in the order in which a new flow is offered to them. */
  orderForPlacement(flow: FlowKey, agents: readonly AgentEntry[]): AgentEntry[] {
    const { zone } = this.settings;
    return this.isEnabled
      ? orderForPlacement(flow, agents, zone, (other) => this.distances.getDistance(other))
      : orderCandidates(flow, agents, zone);
  }

  /** All agents in the order in which a flow's holder is searched for. */
  orderForSearch(flow: FlowKey, agents: readonly AgentEntry[]): SearchOrder<AgentEntry> {
    if (this.isEnabled) {
      return orderForSearch(flow, agents);
    }
    return {
      agents: orderCandidates(flow, agents, this.settings.zone),
      likelyCount: CANDIDATE_COUNT,
    };
  }

  /** The order of a second choice before a flow leaves the zone; undefined when none is needed. */
  orderSecondChoice(chosen: AgentEntry, ordered: readonly AgentEntry[]): AgentEntry[] | undefined {
    return this.isEnabled ? orderSecondChoice(chosen, ordered, this.settings.zone) : undefined;
  }

  /**
   * Records a placed flow.
   * @param candidates the agents at which it could have been placed
   * @returns why it left the zone; undefined when it did not
   */
  recordPlacement(
    chosen: AgentEntry,
    candidates: readonly AgentEntry[],
    counters: SpillCounters,
  ): SpillReasonValue | undefined {
    const now = this.environment.now();
    const isHeard = (entry: AgentEntry): boolean => this.directory.isHeard(entry, now);
    const placement = classifyPlacement(chosen, candidates, this.settings.zone, isHeard);
    const reason = placement.kind === 'spilled' ? placement.reason : undefined;
    countPlacement(reason, counters);
    const change = this.spillMonitor.recordFlow(chosen.service, reason, now);
    if (change) {
      this.environment.report(Events.zoneSpillChanged, { ...change });
    }
    return reason;
  }

  get figures(): LocalityFigures {
    const { largestDistance, zonesMeasured } = this.distances;
    return { zonesMeasured, largestZoneDistance: largestDistance };
  }

  private createCosts(transferCost: number): TransferCosts {
    const flowBytes = new ServiceFlowBytes(this.directory);
    const { zone } = this.settings;
    const measured = new MeasuredCosts(zone, transferCost, this.distances, flowBytes);
    return new PenalizedCosts(measured, this.directory);
  }

  private get isEnabled(): boolean {
    return this.settings.locality;
  }
}

function countPlacement(reason: SpillReasonValue | undefined, counters: SpillCounters): void {
  switch (reason) {
    case undefined:
      counters.flowsPlacedAtHome++;
      return;
    case SpillReason.wait:
      counters.flowsSpilledForWait++;
      return;
    case SpillReason.noTarget:
      counters.flowsSpilledWithoutTarget++;
      return;
    case SpillReason.homeUnknown:
      counters.flowsSpilledHomeUnknown++;
  }
}

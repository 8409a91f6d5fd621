/**
 * Cost of placing a flow in another zone, in milliseconds of waiting: the forward-path delay of all
 * that its client sends until it has the answer, and the cost of the bytes between zones.
 */
import type { AgentDirectory, AgentEntry } from '../agent-directory';
import { DEFAULT_ANSWER_TIME_MS } from '../choice/service-statistics';
import type { ServiceFlowBytes } from './service-flow-bytes';
import { DEFAULT_DISTANCE_MS, type ZoneDistances } from './zone-distances';

/** Round trips of the handshake; those of request and answer are added. */
const HANDSHAKE_ROUND_TRIPS = 1;
/** Bytes that a target sends before waiting for an acknowledgement: 16 packets of 1,200 bytes. */
const INITIAL_WINDOW_BYTES = 16 * 1_200;
const BYTES_PER_MEGABYTE = 1_000_000;
/**
 * Fraction of a round trip that is longer for a flow in another zone: a client's packets pass
 * through its balancer to the agent, while the target's go directly to the client.
 */
const FORWARD_PATH_SHARE = 0.5;
/**
 * Minimum cost of another zone as a fraction of the answer time. Targets whose expected waits
 * differ by less count as equal and are chosen at random, so two near zones would exchange flows.
 */
const MINIMUM_COST_SHARE = 0.3;
/** Cost of any other zone as a fraction of the answer time, with locality disabled. */
const CONSTANT_COST_SHARE = 0.15;

function getAnswerTime({ report }: AgentEntry): number {
  return report?.answerTime || DEFAULT_ANSWER_TIME_MS;
}

/** Transfer costs as seen by one balancer. */
export interface TransferCosts {
  /**
   * Cost of placing a flow at an agent, in milliseconds of waiting in the home zone; 0 within the
   * home zone, except for a penalized agent ({@link PenalizedCosts}).
   */
  computeCost(entry: AgentEntry, now: number): number;
}

/** The same fraction of the answer time for all other zones. */
export class ConstantCosts implements TransferCosts {
  /** @param home the balancer's zone */
  constructor(private readonly home: string) {}

  computeCost(entry: AgentEntry): number {
    return entry.zone === this.home ? 0 : CONSTANT_COST_SHARE * getAnswerTime(entry);
  }
}

/** Costs by distance and bytes. */
export class MeasuredCosts implements TransferCosts {
  /**
   * @param home the balancer's zone
   * @param transferCost cost of a megabyte between zones, in milliseconds of waiting
   */
  constructor(
    private readonly home: string,
    private readonly transferCost: number,
    private readonly distances: ZoneDistances,
    private readonly flowBytes: ServiceFlowBytes,
  ) {}

  computeCost(entry: AgentEntry, now: number): number {
    const { zone } = entry;
    return zone === this.home
      ? 0
      : this.computeCostAt(this.distances.getDistance(zone), entry, now);
  }

  /** Cost in the farthest zone, or in a zone at the default distance if that is larger. */
  computeLargestCost(entry: AgentEntry, now: number): number {
    return this.computeCostAt(
      Math.max(this.distances.largestDistance, DEFAULT_DISTANCE_MS),
      entry,
      now,
    );
  }

  private computeCostAt(distance: number, entry: AgentEntry, now: number): number {
    const bytes = this.flowBytes.getMeanBytes(entry.service, now);
    const roundTrips = HANDSHAKE_ROUND_TRIPS + Math.max(1, Math.ceil(bytes / INITIAL_WINDOW_BYTES));
    const pathDelay = distance * FORWARD_PATH_SHARE * roundTrips;
    const cost = pathDelay + (bytes / BYTES_PER_MEGABYTE) * this.transferCost;
    return Math.max(cost, MINIMUM_COST_SHARE * getAnswerTime(entry));
  }
}

/**
 * Measured costs, plus the cost of the farthest zone for an agent that is unresponsive or so
 * recently added that other balancers may not know it, and a fraction of that for an agent whose
 * requests partly fail. So the cost of other zones never outweighs such a fault at home.
 */
export class PenalizedCosts implements TransferCosts {
  constructor(
    private readonly costs: MeasuredCosts,
    private readonly directory: AgentDirectory,
  ) {}

  computeCost(entry: AgentEntry, now: number): number {
    const cost = this.costs.computeCost(entry, now);
    const penalty = this.computePenalty(entry, now);
    return penalty === 0 ? cost : cost + penalty * this.costs.computeLargestCost(entry, now);
  }

  /** Penalty as a fraction of the largest cost, 0 to 1. */
  private computePenalty(entry: AgentEntry, now: number): number {
    if (!this.directory.isHeard(entry, now) || this.directory.isRecentlyAdded(entry, now)) {
      return 1;
    }
    return (entry.report?.failurePercent ?? 0) / 100;
  }
}

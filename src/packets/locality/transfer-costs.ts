/**
 * What it costs to place a flow in another zone, in milliseconds of waiting: the way there of all
 * that its client sends before it has the answer, and what the bytes between zones are worth.
 */
import type { AgentDirectory, AgentEntry } from '../agent-directory';
import { DEFAULT_ANSWER_TIME_MS } from '../choice/service-statistics';
import type { ServiceFlowBytes } from './service-flow-bytes';
import { DEFAULT_DISTANCE_MS, type ZoneDistances } from './zone-distances';

/** Round trips of a flow without data: the handshake. Those of request and answer come on top. */
const HANDSHAKE_ROUND_TRIPS = 1;
/** Bytes that a target sends before it waits for an acknowledgement: 16 packets of 1,200 bytes. */
const INITIAL_WINDOW_BYTES = 16 * 1_200;
const BYTES_PER_MEGABYTE = 1_000_000;
/**
 * Part of a round trip that is longer for a flow in another zone: what a client sends
 * goes by way of its balancer to the agent; what the target sends goes straight to the client.
 */
const FORWARD_PATH_SHARE = 0.5;
/**
 * Part of an answer's time that another zone costs at least. Targets whose expected waits differ by
 * less count as equal and are told apart at random; two near zones would exchange flows by that.
 */
const MINIMUM_COST_SHARE = 0.3;
/** Part of an answer's time that another zone costs, however far, where locality is switched off. */
const CONSTANT_COST_SHARE = 0.15;

function getAnswerTime({ report }: AgentEntry): number {
  return report?.answerTime || DEFAULT_ANSWER_TIME_MS;
}

/** Costs of one balancer. */
export interface TransferCosts {
  /**
   * Milliseconds of waiting at home that a flow at an agent is worth; 0 within the home zone, but
   * for an agent in doubt ({@link PenalizedCosts}).
   */
  computeCost(entry: AgentEntry, now: number): number;
}

/** The same share of an answer for all other zones. */
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
   * @param transferCost milliseconds of waiting that a megabyte between zones is worth
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

  /** As much as the farthest zone would cost, a zone not measured yet included. */
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
 * Measured costs, and as much as the farthest zone would cost on top for an agent that is silent, or
 * so new that other balancers may not know it, and a part of it where a part of the requests
 * fails. However dear the way to other zones is, it thus never outweighs such a doubt at home.
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

  /** From 0 for none to 1. */
  private computePenalty(entry: AgentEntry, now: number): number {
    if (!this.directory.isHeard(entry, now) || this.directory.isSettling(entry, now)) {
      return 1;
    }
    return (entry.report?.failurePercent ?? 0) / 100;
  }
}

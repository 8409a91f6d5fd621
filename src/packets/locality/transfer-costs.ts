/**
 * What it costs to place a flow in another zone, in milliseconds of waiting: the way there of all
 * that its client sends before it has the answer, and what the bytes between zones are worth.
 */
import type { AgentDirectory, AgentEntry } from '../agent-directory';
import { DEFAULT_ANSWER_TIME_MS } from '../choice/service-statistics';
import type { FlowTraffic } from './flow-traffic';
import { DEFAULT_DISTANCE, type ZoneDistances } from './zone-distances';

/** Round trips of a flow without data: the handshake. Those of request and answer come on top. */
const HANDSHAKE_TRIPS = 1;
/** Bytes that a target sends before it waits for an acknowledgement: 16 packets of 1,200 bytes. */
const WINDOW_BYTES = 16 * 1_200;
const MEGABYTE = 1_000_000;
/**
 * Part of a round trip that is longer for a flow in another zone: what a client sends
 * goes by way of its balancer to the agent; what the target sends goes straight to the client.
 */
const WAY_THERE = 0.5;
/**
 * Part of an answer's time that another zone costs at least. Targets whose expected waits differ by
 * less count as equal and are told apart at random; two near zones would exchange flows by that.
 */
const SPILL_MARGIN = 0.3;
/** Part of an answer's time that another zone costs, however far, where locality is switched off. */
const CONSTANT_COST = 0.15;

function answerTimeOf({ report }: AgentEntry): number {
  return report?.answerTime || DEFAULT_ANSWER_TIME_MS;
}

/** Costs of one balancer. */
export interface TransferCosts {
  /**
   * Milliseconds of waiting at home that a flow at an agent is worth; 0 within the home zone, but
   * for an agent in doubt ({@link CostsWithDoubt}).
   */
  costOf(entry: AgentEntry, now: number): number;
}

/** The same share of an answer for all other zones. */
export class ConstantCosts implements TransferCosts {
  /** @param home the balancer's zone */
  constructor(private readonly home: string) {}

  costOf(entry: AgentEntry): number {
    return entry.zone === this.home ? 0 : CONSTANT_COST * answerTimeOf(entry);
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
    private readonly traffic: FlowTraffic,
  ) {}

  costOf(entry: AgentEntry, now: number): number {
    const { zone } = entry;
    return zone === this.home ? 0 : this.costAt(this.distances.distanceOf(zone), entry, now);
  }

  /** As much as the farthest zone would cost, a zone not measured yet included. */
  largestCostOf(entry: AgentEntry, now: number): number {
    return this.costAt(Math.max(this.distances.largest, DEFAULT_DISTANCE), entry, now);
  }

  private costAt(distance: number, entry: AgentEntry, now: number): number {
    const bytes = this.traffic.bytesOf(entry.service, now);
    const trips = HANDSHAKE_TRIPS + Math.max(1, Math.ceil(bytes / WINDOW_BYTES));
    const way = distance * WAY_THERE * trips;
    const cost = way + (bytes / MEGABYTE) * this.transferCost;
    return Math.max(cost, SPILL_MARGIN * answerTimeOf(entry));
  }
}

/**
 * Measured costs, and as much as the farthest zone would cost on top for an agent that is silent, or
 * so new that other balancers may not know it, and a part of it where a part of the requests
 * fails. However dear the way to other zones is, it thus never outweighs such a doubt at home.
 */
export class CostsWithDoubt implements TransferCosts {
  constructor(
    private readonly costs: MeasuredCosts,
    private readonly directory: AgentDirectory,
  ) {}

  costOf(entry: AgentEntry, now: number): number {
    const cost = this.costs.costOf(entry, now);
    const doubt = this.doubtOf(entry, now);
    return doubt === 0 ? cost : cost + doubt * this.costs.largestCostOf(entry, now);
  }

  /** From 0 for none to 1. */
  private doubtOf(entry: AgentEntry, now: number): number {
    if (!this.directory.isHeard(entry, now) || this.directory.isSettling(entry, now)) {
      return 1;
    }
    return (entry.report?.failurePercent ?? 0) / 100;
  }
}

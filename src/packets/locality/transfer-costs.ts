/**
 * What it costs to place a flow in another zone, in milliseconds of waiting: the way there of all
 * that its client sends before it has the answer, and what the bytes between zones are worth.
 */
import type { AgentEntry } from '../agent-directory';
import type { FlowTraffic } from './flow-traffic';
import type { ZoneDistances } from './zone-distances';

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
/** Milliseconds of an answer assumed of a target that has not told it. */
const DEFAULT_ANSWER_TIME = 50;
/** Part of an answer's time that another zone costs, however far, where locality is switched off. */
const CONSTANT_COST = 0.15;

function answerTimeOf({ report }: AgentEntry): number {
  return report?.answerTime || DEFAULT_ANSWER_TIME;
}

/** Costs of one balancer. */
export interface TransferCosts {
  /** Milliseconds of waiting at home that a flow at an agent is worth; 0 within the home zone. */
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
    const { service, zone } = entry;
    if (zone === this.home) {
      return 0;
    }
    const bytes = this.traffic.bytesOf(service, now);
    const trips = HANDSHAKE_TRIPS + Math.max(1, Math.ceil(bytes / WINDOW_BYTES));
    const way = this.distances.distanceOf(zone) * WAY_THERE * trips;
    const cost = way + (bytes / MEGABYTE) * this.transferCost;
    return Math.max(cost, SPILL_MARGIN * answerTimeOf(entry));
  }
}

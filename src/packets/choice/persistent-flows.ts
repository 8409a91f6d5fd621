/**
 * Estimates how long the later requests of a persistent flow wait at a target. Such a flow cannot
 * be moved, and between requests it does not show in the target's queue: while many of them open,
 * all targets look idle. So targets are compared by open flows relative to their capacity.
 */
import type { AgentEntry } from '../agent-directory';
import { computeWaterLevel } from './water-filling';
import { getSlots, estimateLongTermAnswerTime, type ServiceStatistics } from './service-statistics';

/**
 * Minimum utilization assumed of a service. Flows that open before any request are spread by it.
 * Below it nothing waits, so a target keeps its share of new flows whatever clients have left open
 * there.
 */
const MINIMUM_UTILIZATION = 0.1;
/** Mean flows per target below which their number says little about utilization. */
const PRIOR_FLOWS = 10;
/** Utilization beyond which the wait rises linearly: an overloaded target has no steady state. */
const MAXIMUM_STEADY_UTILIZATION = 0.9;

/** Parameters of the placement of a persistent flow. */
export interface PersistentFlowContext {
  /** Expected number of requests of the flow; 1 for one that ends with its first. */
  readonly requestsPerFlow: number;
  /** Number of other balancers that place flows among the same targets. */
  readonly competitors: number;
}

/** One target with its flows relative to its capacity. */
interface PersistentLoad {
  readonly entry: AgentEntry;
  /** Requests served per millisecond. */
  readonly capacity: number;
  /** Reported flows per unit of capacity. */
  readonly level: number;
  /** Flows opened there by this balancer since the report, per unit of capacity. */
  readonly ownLevel: number;
}

/** Total wait of the later requests of a flow in milliseconds, by agent. */
export type LaterWaits = ReadonlyMap<AgentEntry, number>;

const NO_WAITS: LaterWaits = new Map();

/**
 * Estimates the wait of a flow's later requests at each candidate; empty where it has one request.
 * Computed for mean capacity: by their own, fast targets would be filled until they are no faster.
 */
export function estimateLaterWaits(
  candidates: readonly AgentEntry[],
  statistics: ServiceStatistics,
  { requestsPerFlow, competitors }: PersistentFlowContext,
): LaterWaits {
  if (requestsPerFlow <= 1) {
    return NO_WAITS;
  }
  const loads = candidates.map((entry) => computeLoad(entry, statistics));
  const opened = loads.reduce((sum, { capacity, ownLevel }) => sum + capacity * ownLevel, 0);
  const waterLevel = computeWaterLevel(
    loads.map(({ level, capacity }) => ({ level, width: capacity })),
    opened * competitors,
  );
  const levels = loads.map(({ level, ownLevel }) => Math.max(level, waterLevel) + ownLevel);
  const mean = computeMeanLevel(loads, levels);
  const total = loads.reduce((sum, { capacity }) => sum + capacity, 0);
  const priorLevel = (PRIOR_FLOWS * loads.length) / total;
  const utilization = Math.max(MINIMUM_UTILIZATION, statistics.utilization);
  return new Map(
    loads.map(({ entry, capacity }, index) => {
      const level = levels[index]! + 1 / capacity;
      const wait =
        (estimateQueueLength((utilization * (level + priorLevel)) / (mean + priorLevel)) *
          loads.length) /
        total;
      return [entry, (requestsPerFlow - 1) * wait];
    }),
  );
}

/** Mean number of requests ahead of a new one at a target of some utilization (M/M/1 queue). */
export function estimateQueueLength(utilization: number): number {
  const steady = Math.min(utilization, MAXIMUM_STEADY_UTILIZATION);
  const slope = 1 / (1 - MAXIMUM_STEADY_UTILIZATION) ** 2;
  return steady / (1 - steady) + Math.max(0, utilization - MAXIMUM_STEADY_UTILIZATION) * slope;
}

function computeLoad(entry: AgentEntry, statistics: ServiceStatistics): PersistentLoad {
  const { report, recentFlows } = entry;
  const slots = getSlots(entry);
  const capacity = slots / estimateLongTermAnswerTime(entry, statistics);
  // Flows whose first request waits for a slot are not yet counted as open.
  const waiting = Math.max(0, (report?.busyRequests ?? 0) - slots);
  const flows = (report?.openFlows ?? 0) + waiting;
  return { entry, capacity, level: flows / capacity, ownLevel: recentFlows.length / capacity };
}

/** The level at which all candidates are equally loaded, one more flow at each included. */
function computeMeanLevel(loads: readonly PersistentLoad[], levels: readonly number[]): number {
  let flows = 0;
  let capacity = 0;
  loads.forEach((load, index) => {
    flows += levels[index]! * load.capacity + 1;
    capacity += load.capacity;
  });
  return capacity > 0 ? flows / capacity : 1;
}

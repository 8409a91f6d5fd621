/**
 * How long the later requests of a flow wait at a target. A flow that is kept for several requests
 * cannot be moved, and between them it leaves no trace in a target's queue: by their queues all targets
 * look idle while many such flows open. So it goes by the flows that a target has, as a share of
 * what the target can do.
 */
import type { AgentEntry } from '../agent-directory';
import { computeWaterLevel } from './water-filling';
import { getSlots, estimateLongTermAnswerTime, type ServiceStatistics } from './service-statistics';

/**
 * Part of its time for which a service is taken to be busy at least. Flows that open before any request
 * are spread by it; and below it nobody waits, so that a target keeps its part of new flows whatever
 * clients have left open there.
 */
const MINIMUM_UTILIZATION = 0.1;
/** Flows of a target, in the mean, below which their number says little of its use. */
const PRIOR_FLOWS = 10;
/** Use beyond which the wait is taken to rise evenly: a target that is overloaded has no steady one. */
const MAXIMUM_STEADY_UTILIZATION = 0.9;

/** What decides between targets for a flow that stays. */
export interface PersistentFlowContext {
  /** Requests that the flow is expected to carry; 1 for one that ends with its first. */
  readonly requestsPerFlow: number;
  /** Other balancers that place flows among the same targets. */
  readonly competitors: number;
}

/** One target with the flows that it has for what it can do. */
interface PersistentLoad {
  readonly entry: AgentEntry;
  /** Requests that it answers in a millisecond. */
  readonly capacity: number;
  /** Flows that its report shows, for each unit of its capacity. */
  readonly level: number;
  /** Flows that this balancer has opened there since, for each unit of its capacity. */
  readonly own: number;
}

/** Milliseconds for which the later requests of a flow wait, all together, by agent. */
export type LaterWaits = ReadonlyMap<AgentEntry, number>;

const NO_WAITS: LaterWaits = new Map();

/**
 * What the later requests of a flow wait at each candidate; nothing where it has one request. The wait is that
 * at a target of mean capacity: by its own, quick targets would be filled until they are no quicker.
 */
export function estimateLaterWaits(
  candidates: readonly AgentEntry[],
  statistics: ServiceStatistics,
  { requestsPerFlow, competitors: competitors }: PersistentFlowContext,
): LaterWaits {
  if (requestsPerFlow <= 1) {
    return NO_WAITS;
  }
  const loads = candidates.map((entry) => computeLoad(entry, statistics));
  const opened = loads.reduce((sum, { capacity, own }) => sum + capacity * own, 0);
  const waterLevel = computeWaterLevel(
    loads.map(({ level, capacity }) => ({ level, width: capacity })),
    opened * competitors,
  );
  const levels = loads.map(({ level, own }) => Math.max(level, waterLevel) + own);
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

/** Requests that wait in the mean before one at a target that is busy for a part of its time. */
export function estimateQueueLength(utilization: number): number {
  const steady = Math.min(utilization, MAXIMUM_STEADY_UTILIZATION);
  const slope = 1 / (1 - MAXIMUM_STEADY_UTILIZATION) ** 2;
  return steady / (1 - steady) + Math.max(0, utilization - MAXIMUM_STEADY_UTILIZATION) * slope;
}

function computeLoad(entry: AgentEntry, statistics: ServiceStatistics): PersistentLoad {
  const { report, recentFlows } = entry;
  const slots = getSlots(entry);
  const capacity = slots / estimateLongTermAnswerTime(entry, statistics);
  // Flows whose first request waits for a slot are not yet known to be open.
  const waiting = Math.max(0, (report?.busyRequests ?? 0) - slots);
  const flows = (report?.openFlows ?? 0) + waiting;
  return { entry, capacity, level: flows / capacity, own: recentFlows.length / capacity };
}

/** The level at which all candidates would be equally loaded, one more flow included. */
function computeMeanLevel(loads: readonly PersistentLoad[], levels: readonly number[]): number {
  let flows = 0;
  let capacity = 0;
  loads.forEach((load, index) => {
    flows += levels[index]! * load.capacity + 1;
    capacity += load.capacity;
  });
  return capacity > 0 ? flows / capacity : 1;
}

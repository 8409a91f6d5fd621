/**
 * How long the later requests of a flow wait at a target. A flow that is kept for several requests
 * cannot be moved, and between them it leaves no trace in a target's queue: by their queues all targets
 * look idle while many such flows open. So it goes by the flows that a target has, as a share of
 * what the target can do.
 */
import type { AgentEntry } from '../agent-directory';
import { fillUp } from './filling';
import { slotsOf, sureAnswerTimeOf, type ServiceOutlook } from './service-outlook';

/**
 * Part of its time for which a service is taken to be busy at least. Flows that open before any request
 * are spread by it; and below it nobody waits, so that a target keeps its part of new flows whatever
 * clients have left open there.
 */
const LEAST_USE = 0.1;
/** Flows of a target, in the mean, below which their number says little of its use. */
const FEW_FLOWS = 10;
/** Use beyond which the wait is taken to rise evenly: a target that is overloaded has no steady one. */
const HIGHEST_USE = 0.9;

/** What decides between targets for a flow that stays. */
export interface KeptFlowContext {
  /** Requests that the flow is expected to carry; 1 for one that ends with its first. */
  readonly requestsPerFlow: number;
  /** Other balancers that place flows among the same targets. */
  readonly rivals: number;
}

/** One target with the flows that it has for what it can do. */
interface KeptLoad {
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
export function measureLaterWaits(
  candidates: readonly AgentEntry[],
  outlook: ServiceOutlook,
  { requestsPerFlow, rivals }: KeptFlowContext,
): LaterWaits {
  if (requestsPerFlow <= 1) {
    return NO_WAITS;
  }
  const loads = candidates.map((entry) => loadOf(entry, outlook));
  const opened = loads.reduce((sum, { capacity, own }) => sum + capacity * own, 0);
  const filled = fillUp(
    loads.map(({ level, capacity }) => ({ level, width: capacity })),
    opened * rivals,
  );
  const levels = loads.map(({ level, own }) => Math.max(level, filled) + own);
  const mean = meanLevelOf(loads, levels);
  const total = loads.reduce((sum, { capacity }) => sum + capacity, 0);
  const few = (FEW_FLOWS * loads.length) / total;
  const use = Math.max(LEAST_USE, outlook.use);
  return new Map(
    loads.map(({ entry, capacity }, index) => {
      const level = levels[index]! + 1 / capacity;
      const wait = (measureWait((use * (level + few)) / (mean + few)) * loads.length) / total;
      return [entry, (requestsPerFlow - 1) * wait];
    }),
  );
}

/** Requests that wait in the mean before one at a target that is busy for a part of its time. */
export function measureWait(use: number): number {
  const steady = Math.min(use, HIGHEST_USE);
  const slope = 1 / (1 - HIGHEST_USE) ** 2;
  return steady / (1 - steady) + Math.max(0, use - HIGHEST_USE) * slope;
}

function loadOf(entry: AgentEntry, outlook: ServiceOutlook): KeptLoad {
  const { report, recentFlows } = entry;
  const slots = slotsOf(entry);
  const capacity = slots / sureAnswerTimeOf(entry, outlook);
  // Flows whose first request waits for a slot are not yet known to be open.
  const waiting = Math.max(0, (report?.busyRequests ?? 0) - slots);
  const flows = (report?.openFlows ?? 0) + waiting;
  return { entry, capacity, level: flows / capacity, own: recentFlows.length / capacity };
}

/** The level at which all candidates would be equally loaded, one more flow included. */
function meanLevelOf(loads: readonly KeptLoad[], levels: readonly number[]): number {
  let flows = 0;
  let capacity = 0;
  loads.forEach((load, index) => {
    flows += levels[index]! * load.capacity + 1;
    capacity += load.capacity;
  });
  return capacity > 0 ? flows / capacity : 1;
}

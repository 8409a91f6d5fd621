/** The capacity bench: unit costs, hollow clusters of several sizes, fault storms. */
import { setFlagsFromString } from 'node:v8';
import { measureCluster, type ClusterFigures } from './capacity-cluster';
import { runStorm, STORMS, type StormFigures, type StormName } from './capacity-storms';
import { measureUnitCosts, type UnitCosts } from './capacity-unit-costs';
import { PLANNED } from './hollow-cluster';

/** Under half of the machines' memory. */
const HEAP_LIMIT_FLAG = '--max-old-space-size=9000';

/** What to run. */
export interface CapacityOrder {
  /** Numbers of balancers; agents and services follow in the planned proportion. */
  readonly sizes: readonly number[];
  readonly storms: readonly StormName[];
  /** Balancers of the clusters that storms meet. */
  readonly stormSize: number;
}

/** Sizes that take a few minutes. */
export const DEFAULT_ORDER: CapacityOrder = {
  sizes: [50, 100, 200, 400],
  storms: STORMS,
  stormSize: 50,
};

/** Everything up to the planned size; takes hours. */
export const FULL_ORDER: CapacityOrder = {
  sizes: [50, 200, 400, 800, PLANNED.balancers],
  storms: STORMS,
  stormSize: PLANNED.balancers,
};

/** The report; the shape of the JSON line. */
export interface CapacityReport {
  readonly unitCosts: UnitCosts;
  readonly cluster: ClusterFigures;
  readonly storms: readonly StormFigures[];
}

/** Runs the bench. */
export function benchCapacity(
  order: CapacityOrder,
  progress: (line: string) => void,
): CapacityReport {
  setFlagsFromString(HEAP_LIMIT_FLAG);
  const unitCosts = measureUnitCosts(progress);
  const cluster = measureCluster(order.sizes, progress);
  const storms = order.storms.map((storm) => {
    progress(`storm ${storm} on ${order.stormSize} balancers`);
    return runStorm(storm, order.stormSize);
  });
  return { unitCosts, cluster, storms };
}

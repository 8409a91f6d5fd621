/** Control traffic, processor time and spreading of tables against the number of nodes. */
import { bytesInUse } from './collect-garbage';
import { HollowCluster, plannedShape } from './hollow-cluster';
import { fitLine, type Fit } from './fit';

const SETTLE_SECONDS = 12;
const SAMPLE_SECONDS = 10;
const TABLE_CHANGES = 5;
const TABLE_STEP = 0.05;
const TABLE_GIVE_UP = 20;

/** What one size gave. */
export interface SizeFigures {
  readonly balancers: number;
  readonly agents: number;
  readonly services: number;
  /** Mean bytes sent and received by a node in a second. */
  readonly controlBytesPerNode: number;
  /** Most bytes sent and received by one node in one second. */
  readonly controlBytesLargest: number;
  /** Processor time of a node for control in a second, in microseconds; simulator included. */
  readonly controlMicrosecondsPerNode: number;
  /** Longest seconds until a changed table was in force at every balancer. */
  readonly tableSecondsBalancers: number;
  /** The same for the agents of its service. */
  readonly tableSecondsAgents: number;
  /** Heap of the whole cluster, in bytes a node. */
  readonly heapBytesPerNode: number;
}

/** All sizes with fitted slopes against the number of balancers. */
export interface ClusterFigures {
  readonly sizes: readonly SizeFigures[];
  readonly controlBytesPerNode: Fit;
  readonly controlMicrosecondsPerNode: Fit;
  readonly tableSecondsBalancers: Fit;
}

/** Measures each size. */
export function measureCluster(
  sizes: readonly number[],
  progress: (line: string) => void,
): ClusterFigures {
  const figures = sizes.map((size) => {
    progress(`hollow cluster of ${size} balancers`);
    return measureSize(size);
  });
  const against = (read: (one: SizeFigures) => number): Fit =>
    fitLine(figures.map((one) => ({ x: one.balancers, y: read(one) })));
  return {
    sizes: figures,
    controlBytesPerNode: against((one) => one.controlBytesPerNode),
    controlMicrosecondsPerNode: against((one) => one.controlMicrosecondsPerNode),
    tableSecondsBalancers: against((one) => one.tableSecondsBalancers),
  };
}

function measureSize(size: number): SizeFigures {
  const before = bytesInUse();
  const cluster = new HollowCluster(plannedShape(size), size);
  cluster.start();
  cluster.run(SETTLE_SECONDS);
  const heap = bytesInUse() - before;
  const startedAt = process.cpuUsage();
  const samples = cluster.sampleTraffic(SAMPLE_SECONDS);
  const used = process.cpuUsage(startedAt);
  const microseconds = used.user + used.system;
  const spread = Array.from({ length: TABLE_CHANGES }, () => measureTableChange(cluster));
  return {
    balancers: size,
    agents: cluster.agents.length,
    services: cluster.tables.length,
    controlBytesPerNode: samples.reduce((sum, one) => sum + one.mean, 0) / samples.length,
    controlBytesLargest: Math.max(...samples.map((one) => one.largest)),
    controlMicrosecondsPerNode: microseconds / SAMPLE_SECONDS / cluster.nodeCount,
    tableSecondsBalancers: Math.max(...spread.map((one) => one.balancers)),
    tableSecondsAgents: Math.max(...spread.map((one) => one.agents)),
    heapBytesPerNode: heap / cluster.nodeCount,
  };
}

/** Seconds until a changed table is in force at all balancers, and at its agents. */
export function measureTableChange(cluster: HollowCluster): { balancers: number; agents: number } {
  const table = cluster.changeTable();
  const startedAt = cluster.clock.now;
  const elapsed = (): number => (cluster.clock.now - startedAt) / 1_000;
  let balancers: number | undefined;
  let agents: number | undefined;
  while ((balancers === undefined || agents === undefined) && elapsed() < TABLE_GIVE_UP) {
    cluster.run(TABLE_STEP);
    balancers ??= cluster.balancersBehind(table) === 0 ? elapsed() : undefined;
    agents ??= cluster.agentsBehind(table) === 0 ? elapsed() : undefined;
  }
  return { balancers: balancers ?? Infinity, agents: agents ?? Infinity };
}

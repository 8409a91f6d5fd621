/** Fault storms on a hollow cluster: peak control bytes, time to settle, flows that moved. */
import { packEndpoint } from '../core/endpoint';
import type { Endpoint } from '../environment';
import type { NetworkCut } from '../simulation/simulated-network';
import {
  HollowCluster,
  plannedShape,
  type HollowAgent,
  type HollowBalancer,
} from './hollow-cluster';

const SETTLE_SECONDS = 12;
const CUT_SECONDS = 120;
const WATCH_SECONDS = 60;
const FLOWS_PER_SERVICE = 8;
/** Part of all machines that stand in one rack. */
const RACK_PART = 1 / 40;
/** A day of restarts, pressed into so many seconds. */
const ROLLING_SECONDS = 180;
const PROBE_SECONDS = 1;
const PROBE_ROUNDS = 3;

/** Names of the storms. */
export const STORMS = ['rack', 'zone', 'region', 'rolling'] as const;
export type StormName = (typeof STORMS)[number];

/** What one storm did. */
export interface StormFigures {
  readonly storm: StormName;
  readonly balancers: number;
  readonly nodesTouched: number;
  /** Highest mean over all nodes of bytes sent and received in a second. */
  readonly peakMeanBytes: number;
  /** Most bytes one node sent and received in one second. */
  readonly peakLargestBytes: number;
  /** Seconds after the storm's end until every bucket had one owner again. */
  readonly settleSeconds: number;
  readonly flows: number;
  /** Flows whose host was gone or restarted. */
  readonly flowsLostWithHost: number;
  /** Flows whose host lived on, but whose next datagrams reached another or none. */
  readonly flowsBroken: number;
}

interface TrackedFlow {
  readonly service: string;
  readonly caller: Endpoint;
  readonly host: HollowAgent;
  readonly process: HollowAgent['process'];
}

/** Runs one storm on a fresh cluster. */
export function runStorm(storm: StormName, balancers: number): StormFigures {
  const cluster = new HollowCluster(plannedShape(balancers), balancers);
  cluster.start();
  cluster.run(SETTLE_SECONDS);
  const flows = openFlows(cluster);
  const run = new StormRun(cluster);
  const nodesTouched = STORM_ACTIONS[storm](run);
  const settleSeconds = run.settle();
  const lost = flows.filter((flow) => flow.process !== flow.host.process || flow.process.isDead);
  const survivors = flows.filter((flow) => !lost.includes(flow));
  return {
    storm,
    balancers,
    nodesTouched,
    peakMeanBytes: run.peakMean,
    peakLargestBytes: run.peakLargest,
    settleSeconds,
    flows: flows.length,
    flowsLostWithHost: lost.length,
    flowsBroken: countAstray(cluster, survivors),
  };
}

class StormRun {
  peakMean = 0;
  peakLargest = 0;

  constructor(readonly cluster: HollowCluster) {}

  watch(seconds: number): void {
    for (const sample of this.cluster.sampleTraffic(seconds)) {
      this.peakMean = Math.max(this.peakMean, sample.mean);
      this.peakLargest = Math.max(this.peakLargest, sample.largest);
    }
  }

  /** Runs on until all buckets have one owner; returns the seconds it took. */
  settle(): number {
    for (let second = 1; second <= WATCH_SECONDS; second++) {
      this.watch(1);
      if (this.cluster.bucketsUnowned() === 0) {
        return second;
      }
    }
    return Infinity;
  }

  /** Cuts everything in `inside` off from the rest for two minutes. */
  cutOff(inside: readonly string[]): number {
    const outside = this.cluster.zones.filter((zone) => !inside.includes(zone));
    const cuts: NetworkCut[] = inside.flatMap((from) =>
      outside.flatMap((to) => [
        { from, to },
        { from: to, to: from },
      ]),
    );
    cuts.forEach((cut) => this.cluster.network.cut(cut));
    this.watch(CUT_SECONDS);
    cuts.forEach((cut) => this.cluster.network.heal(cut));
    return this.nodes().filter((node) => inside.includes(node.zone)).length;
  }

  nodes(): (HollowBalancer | HollowAgent)[] {
    return [...this.cluster.balancers, ...this.cluster.agents];
  }
}

/** A rack dies and comes back empty after 30 s. */
function failRack(run: StormRun): number {
  const zone = run.cluster.zones[0]!;
  const inZone = run.nodes().filter((node) => node.zone === zone);
  const size = Math.ceil(run.nodes().length * RACK_PART);
  // Evenly picked, so that balancers and agents stand in the rack as in the whole.
  const step = inZone.length / size;
  const rack = Array.from({ length: size }, (_, index) => inZone[Math.floor(index * step)]!);
  rack.forEach((node) => run.cluster.kill(node));
  run.watch(30);
  rack.forEach((node) => run.cluster.restart(node));
  return rack.length;
}

/** Every node restarts once, evenly spread. */
function restartAll(run: StormRun): number {
  const nodes = run.nodes();
  const perSecond = Math.ceil(nodes.length / ROLLING_SECONDS);
  for (let start = 0; start < nodes.length; start += perSecond) {
    nodes.slice(start, start + perSecond).forEach((node) => run.cluster.restart(node));
    run.watch(1);
  }
  return nodes.length;
}

const STORM_ACTIONS: Readonly<Record<StormName, (run: StormRun) => number>> = {
  rack: failRack,
  zone: (run) => run.cutOff([run.cluster.zones[0]!]),
  region: (run) => run.cutOff(run.cluster.zones.filter((zone) => run.cluster.regionOf(zone) === 0)),
  rolling: restartAll,
};

function openFlows(cluster: HollowCluster): TrackedFlow[] {
  const opened: { service: string; caller: Endpoint }[] = [];
  cluster.tables.forEach(({ service }, index) => {
    for (let number = 0; number < FLOWS_PER_SERVICE; number++) {
      const caller = packEndpoint(`172.16.${index >> 8}.${index & 255}`, 1_000 + number);
      cluster.sendDatagram(service, caller);
      opened.push({ service, caller });
    }
  });
  cluster.run(PROBE_SECONDS);
  return opened.flatMap((flow) => {
    const host = cluster.deliveredAt.get(flow.caller);
    return host ? [{ ...flow, host, process: host.process }] : [];
  });
}

/** Flows of which some datagram through a random balancer did not reach their host. */
function countAstray(cluster: HollowCluster, flows: readonly TrackedFlow[]): number {
  const astray = new Set<TrackedFlow>();
  for (let round = 0; round < PROBE_ROUNDS; round++) {
    cluster.deliveredAt.clear();
    flows.forEach(({ service, caller }) => cluster.sendDatagram(service, caller));
    cluster.run(PROBE_SECONDS);
    for (const flow of flows) {
      if (cluster.deliveredAt.get(flow.caller) !== flow.host) {
        astray.add(flow);
      }
    }
  }
  return astray.size;
}

/**
 * The store's return from a copy against real processes, over the adapter: a table written after it is
 * in force within the three seconds in which the deployments ask for it, wherever the store's revision
 * stands and however the waiting call ends. Without eras, version 6 was never in force in the first case.
 */
import { setTimeout as pause } from 'node:timers/promises';
import test, { type ExecutionContext } from 'ava';
import {
  createPorts,
  PacketClient,
  PacketCluster,
  PacketTarget,
  waitFor,
} from './support/packet-cluster';

const FIRST_ROUTE = ['198.18.0.1', 8_443] as const;
const ADDED_ROUTE = ['198.18.0.2', 8_443] as const;
const APPLY_TIME_MS = 3_000;
/** Milliseconds after its start by which a balancer of a small cluster reads for itself. */
const READING_DELAY_MS = 3_500;
const RETRY_INTERVAL_MS = 100;

type RouteAddress = readonly [string, number];

function createConfiguration(version: number, routes: readonly RouteAddress[]): unknown {
  return {
    version,
    routes: routes.map(([host, port]) => ({
      name: `r${host}`,
      host,
      'path-prefix': `/${port}/`,
      service: 'map',
    })),
    services: [],
    limits: {},
  };
}

interface ClusterHarness {
  readonly cluster: PacketCluster;
  readonly balancer: string;
  readonly client: PacketClient;
}

/** One balancer that reads for itself, an agent with its target, and a client of the later route. */
async function createClusterHarness(t: ExecutionContext, net: number): Promise<ClusterHarness> {
  const base = 23_000 + net * 10;
  const cluster = new PacketCluster(createPorts(base));
  await cluster.start();
  cluster.store.advance(100);
  cluster.store.put('config', 'main', createConfiguration(5, [FIRST_ROUTE]));
  const balancer = `127.${net}.1.1`;
  const agent = `127.${net}.2.1`;
  cluster.spawn('agent', agent, 'map');
  cluster.spawn('balancer', balancer);
  const target = await PacketTarget.start(agent, cluster.ports, 'map');
  const client = await PacketClient.start(`127.${net}.9.1`, 40_001, ADDED_ROUTE, cluster.ports);
  t.teardown(async () => {
    client.stop();
    target.stop();
    await cluster.stop();
  });
  await waitFor(async () => (await target.beat()) === 200);
  await cluster.whenReady(balancer);
  await pause(READING_DELAY_MS);
  return { cluster, balancer, client };
}

/** Whether the later route is served in time. */
async function isServedInTime(
  { client, balancer }: ClusterHarness,
  begin: number,
): Promise<boolean> {
  while (Date.now() - begin < APPLY_TIME_MS) {
    await pause(RETRY_INTERVAL_MS);
    client.received.length = 0;
    if (await client.open(balancer)) {
      return Date.now() - begin < APPLY_TIME_MS;
    }
  }
  return false;
}

for (const [index, { passed, away }] of [
  { passed: true, away: 700 },
  { passed: true, away: 0 },
  { passed: false, away: 700 },
  { passed: false, away: 0 },
].entries()) {
  const where = passed ? 'past the old revisions' : 'below the old revisions';
  test(`a table of after the return is served in time: away ${away} ms, ${where}`, async (t) => {
    const scene = await createClusterHarness(t, 50 + index);
    const { store } = scene.cluster;
    const copy = store.copy();
    store.advance(20);
    store.put('config', 'main', createConfiguration(5, [FIRST_ROUTE]));
    await pause(500);
    if (away > 0) {
      store.spoiler = (call) => (call.socket.resetAndDestroy(), true);
      await pause(away);
    }
    store.returnFrom(copy);
    store.put('config', 'main', createConfiguration(5, [FIRST_ROUTE]));
    store.put('config', 'main', createConfiguration(6, [FIRST_ROUTE, ADDED_ROUTE]));
    store.advance(passed ? 60 : 0);
    store.spoiler = undefined;
    t.true(await isServedInTime(scene, Date.now()));
  });
}

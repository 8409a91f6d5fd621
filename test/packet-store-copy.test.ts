/**
 * Restore of the store from a backup against real processes, over the adapter: a table written after
 * it is active within the required three seconds, whatever the store's revision is and however the
 * waiting call ends. Without eras, version 6 never became active in the first case.
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
/** Time after its start by which a balancer of a small cluster reads for itself. */
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

/** Starts a balancer that reads for itself, an agent with its target, a client of the later route. */
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
  await waitFor(async () => (await target.sendHeartbeat()) === 200);
  await cluster.waitUntilReady(balancer);
  await pause(READING_DELAY_MS);
  return { cluster, balancer, client };
}

/** Resolves to whether the later route is served in time. */
async function isServedInTime(
  { client, balancer }: ClusterHarness,
  begin: number,
): Promise<boolean> {
  while (Date.now() - begin < APPLY_TIME_MS) {
    await pause(RETRY_INTERVAL_MS);
    client.received.length = 0;
    if (await client.openFlow(balancer)) {
      return Date.now() - begin < APPLY_TIME_MS;
    }
  }
  return false;
}

for (const [index, { isPastOldRevision, outageMs }] of [
  { isPastOldRevision: true, outageMs: 700 },
  { isPastOldRevision: true, outageMs: 0 },
  { isPastOldRevision: false, outageMs: 700 },
  { isPastOldRevision: false, outageMs: 0 },
].entries()) {
  const where = isPastOldRevision ? 'past the old revisions' : 'below the old revisions';
  test(`a table written after a restore is served in time: outage ${outageMs} ms, ${where}`, async (t) => {
    const harness = await createClusterHarness(t, 50 + index);
    const { store } = harness.cluster;
    const backup = store.createBackup();
    store.advance(20);
    store.put('config', 'main', createConfiguration(5, [FIRST_ROUTE]));
    await pause(500);
    if (outageMs > 0) {
      store.faultInjector = (call) => (call.socket.resetAndDestroy(), true);
      await pause(outageMs);
    }
    store.restoreFrom(backup);
    store.put('config', 'main', createConfiguration(5, [FIRST_ROUTE]));
    store.put('config', 'main', createConfiguration(6, [FIRST_ROUTE, ADDED_ROUTE]));
    store.advance(isPastOldRevision ? 60 : 0);
    store.faultInjector = undefined;
    t.true(await isServedInTime(harness, Date.now()));
  });
}

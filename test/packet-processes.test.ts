/** Processes of the packet interface under kills, stops, reload signals and invalid settings. */
import { appendFileSync, writeFileSync } from 'node:fs';
import test, { type ExecutionContext } from 'ava';
import { createSocket } from 'node:dgram';
import {
  createPorts,
  encodePacket,
  PacketClient,
  PacketCluster,
  PacketTarget,
  waitFor,
} from './support/packet-cluster';

/** Each second logs 100 lines of about 200 bytes, so that the 64 KB buffer of the pipe fills up. */
const LOG_FLOOD_SECONDS = 5;
const ROUTE = ['198.18.0.1', 8_443] as const;
const CONFIGURATION = {
  version: 3,
  routes: [{ name: 'r', host: ROUTE[0], 'path-prefix': `/${ROUTE[1]}/`, service: 'map' }],
  services: [],
  limits: {},
};

interface Harness {
  readonly cluster: PacketCluster;
  readonly targets: readonly PacketTarget[];
  readonly client: PacketClient;
  readonly balancers: readonly string[];
  readonly agents: readonly string[];
}

/** Two balancers, two agents with their targets, one client. `net` separates the tests' addresses. */
async function createHarness(t: ExecutionContext, net: number): Promise<Harness> {
  const base = 21_000 + net * 10;
  const cluster = new PacketCluster(createPorts(base));
  await cluster.start();
  cluster.store.put('config', 'main', CONFIGURATION);
  const balancers = [`127.${net}.1.1`, `127.${net}.1.2`];
  const agents = [`127.${net}.2.1`, `127.${net}.2.2`];
  agents.forEach((machine) => cluster.spawn('agent', machine, 'map'));
  balancers.forEach((machine) => cluster.spawn('balancer', machine));
  const targets = await Promise.all(
    agents.map((machine) => PacketTarget.start(machine, cluster.ports, 'map')),
  );
  const client = await PacketClient.start(`127.${net}.9.1`, 40_001, ROUTE, cluster.ports);
  t.teardown(async () => {
    client.stop();
    targets.forEach((target) => target.stop());
    await cluster.stop();
  });
  await Promise.all(
    targets.map((target) => waitFor(async () => (await target.sendHeartbeat()) === 200)),
  );
  await Promise.all(balancers.map((machine) => cluster.waitUntilReady(machine)));
  return { cluster, targets, client, balancers, agents };
}

test('a flow continues through another balancer and after a restart of its agent', async (t) => {
  const { cluster, targets, client, balancers, agents } = await createHarness(t, 31);
  t.true(await client.openFlow(balancers[0]!));
  t.is(await client.sendRequest(balancers[0]!, 'one'), 'answer to one');
  t.is(await client.sendRequest(balancers[1]!, 'two'), 'answer to two');
  const holder = targets.findIndex(({ flows }) => flows.size > 0);
  const process = cluster.processes[holder]!;
  process.child.kill('SIGKILL');
  await process.exit;
  cluster.spawn('agent', agents[holder]!, 'map');
  t.is(await client.sendRequest(balancers[0]!, 'three'), 'answer to three');
  const requestsRun = targets.flatMap(({ requests }) => requests);
  t.deepEqual([...new Set(requestsRun)].sort(), ['one', 'three', 'two']);
  t.is(targets.filter(({ requests }) => requests.length > 0).length, 1);
});

test('a flow that no target holds is reset at once', async (t) => {
  const { client, balancers } = await createHarness(t, 32);
  t.is(await client.sendRequest(balancers[0]!, 'lost'), 'reset');
});

test('a draining target is acknowledged and gets no new flow', async (t) => {
  const { targets, client, balancers } = await createHarness(t, 33);
  t.is(await targets[0]!.drain(), 200);
  t.true(await client.openFlow(balancers[0]!));
  t.is(targets[0]!.flows.size, 0);
  t.is(targets[1]!.flows.size, 1);
});

test('a planned stop reports not ready first, continues to serve, and exits with status 0', async (t) => {
  const { cluster, client, balancers } = await createHarness(t, 34);
  t.true(await client.openFlow(balancers[0]!));
  const stopping = cluster.processes[2]!;
  stopping.child.kill('SIGTERM');
  await waitFor(async () => (await cluster.fetchReadiness(balancers[0]!)) === 503);
  t.is(await client.sendRequest(balancers[0]!, 'late'), 'answer to late');
  t.is(await stopping.exit, 0);
});

test('a reload signal with valid or invalid settings does not end the process', async (t) => {
  const { cluster, client, balancers } = await createHarness(t, 35);
  const balancer = cluster.processes[2]!;
  balancer.child.kill('SIGHUP');
  writeFileSync(balancer.settingsPath, '{"name":');
  balancer.child.kill('SIGHUP');
  appendFileSync(balancer.settingsPath, 'x');
  t.true(await client.openFlow(balancers[0]!));
  t.is(await client.sendRequest(balancers[0]!, 'still here'), 'answer to still here');
  t.is(balancer.child.exitCode, null);
});

test('packets are forwarded while nothing reads the log output', async (t) => {
  const { cluster, client, balancers } = await createHarness(t, 36);
  t.true(await client.openFlow(balancers[0]!));
  // The output is never read, and packets without a route log more lines than the pipe buffers.
  const socket = createSocket('udp4');
  t.teardown(() => socket.close());
  for (let round = 0; round < LOG_FLOOD_SECONDS; round++) {
    for (let index = 0; index < 100; index++) {
      const source = ['127.36.9.2', 1_000 + index] as const;
      const packet = encodePacket(source, ['198.18.0.9', 1], 128, 1, 1);
      socket.send(packet, cluster.ports.packets, balancers[0]!);
    }
    t.is(await client.sendRequest(balancers[0]!, `n${round}`), `answer to n${round}`);
    await new Promise((done) => setTimeout(done, 1_000));
  }
  const stopping = cluster.processes[2]!;
  stopping.child.kill('SIGTERM');
  t.is(await stopping.exit, 0);
});

test('invalid settings end the start with exit status 1', async (t) => {
  const cluster = new PacketCluster({
    frames: 1,
    packets: 1,
    outbound: 1,
    application: 1,
    ready: 1,
    control: 1,
  });
  await cluster.start();
  t.teardown(() => cluster.stop());
  const running = cluster.spawn('agent', '127.37.0.1');
  t.is(await running.exit, 1);
});

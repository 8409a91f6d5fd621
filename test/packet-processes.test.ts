/** The processes of the packet interface, killed, stopped and misled from outside. */
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

/** Seconds of strays: 100 lines of about 200 bytes in each, against a pipe of 64 KB. */
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

/** Two balancers, two agents with their targets, one client. `net` keeps tests apart. */
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

test('a flow goes on over another balancer and over the restart of its agent', async (t) => {
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
  const ran = targets.flatMap(({ requests }) => requests);
  t.deepEqual([...new Set(ran)].sort(), ['one', 'three', 'two']);
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

test('a planned stop says not ready first, serves on, and ends well', async (t) => {
  const { cluster, client, balancers } = await createHarness(t, 34);
  t.true(await client.openFlow(balancers[0]!));
  const stopping = cluster.processes[2]!;
  stopping.child.kill('SIGTERM');
  await waitFor(async () => (await cluster.fetchReadiness(balancers[0]!)) === 503);
  t.is(await client.sendRequest(balancers[0]!, 'late'), 'answer to late');
  t.is(await stopping.exit, 0);
});

test('a signal to reload, with good or broken settings, ends nothing', async (t) => {
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

test('a reader that does not read the log does not stop the packets', async (t) => {
  const { cluster, client, balancers } = await createHarness(t, 36);
  t.true(await client.openFlow(balancers[0]!));
  // Nobody reads the output. Packets without a route make more lines than a pipe holds.
  const socket = createSocket('udp4');
  t.teardown(() => socket.close());
  for (let round = 0; round < LOG_FLOOD_SECONDS; round++) {
    for (let index = 0; index < 100; index++) {
      const source = ['127.36.9.2', 1_000 + index] as const;
      const stray = encodePacket(source, ['198.18.0.9', 1], 128, 1, 1);
      socket.send(stray, cluster.ports.packets, balancers[0]!);
    }
    t.is(await client.sendRequest(balancers[0]!, `n${round}`), `answer to n${round}`);
    await new Promise((done) => setTimeout(done, 1_000));
  }
  const stopping = cluster.processes[2]!;
  stopping.child.kill('SIGTERM');
  t.is(await stopping.exit, 0);
});

test('wrong settings end a start with a numbered error', async (t) => {
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

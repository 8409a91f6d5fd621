/**
 * Guards against resets of open flows, and against new flows, of a target that has deregistered and
 * serves on while real processes are stopped and killed (see deregistered-target.test.ts and
 * deregistration-memory.test.ts).
 */
import test, { type ExecutionContext } from 'ava';
import {
  createPorts,
  PacketClient,
  PacketCluster,
  PacketTarget,
  waitFor,
  type ClusterProcess,
} from './support/packet-cluster';

const NET = 38;
const PORTS = createPorts(21_380);
const ROUTE = ['198.18.0.1', 8_443] as const;
const CONFIGURATION = {
  version: 3,
  routes: [{ name: 'r', host: ROUTE[0], 'path-prefix': `/${ROUTE[1]}/`, service: 'map' }],
  services: [],
  limits: {},
};
const BALANCERS = [`127.${NET}.1.1`, `127.${NET}.1.2`] as const;
const AGENTS = [`127.${NET}.2.1`, `127.${NET}.2.2`] as const;
const LATER_FLOWS = 12;

interface Deployment {
  readonly cluster: PacketCluster;
  readonly targets: readonly PacketTarget[];
}

async function startDeployment(t: ExecutionContext): Promise<Deployment> {
  const cluster = new PacketCluster(PORTS);
  await cluster.start();
  cluster.store.put('config', 'main', CONFIGURATION);
  spawnAll(cluster);
  const targets = await Promise.all(
    AGENTS.map((machine) => PacketTarget.start(machine, PORTS, 'map')),
  );
  t.teardown(async () => {
    targets.forEach((target) => target.stop());
    await cluster.stop();
  });
  for (const target of targets) {
    await waitFor(async () => (await target.sendHeartbeat()) === 200);
  }
  await Promise.all(BALANCERS.map((machine) => cluster.waitUntilReady(machine)));
  return { cluster, targets };
}

function spawnAll(cluster: PacketCluster): ClusterProcess[] {
  const agents = AGENTS.map((machine) => cluster.spawn('agent', machine, 'map'));
  return [...agents, ...BALANCERS.map((machine) => cluster.spawn('balancer', machine))];
}

async function openFlow(t: ExecutionContext, number: number): Promise<PacketClient> {
  const machine = `127.${NET}.9.${number}`;
  const client = await PacketClient.start(machine, 40_000 + number, ROUTE, PORTS);
  t.teardown(() => client.stop());
  t.true(await client.openFlow(BALANCERS[number % 2]!));
  return client;
}

test('a deregistered target keeps its flows and gets no new ones through stops and kills', async (t) => {
  const { cluster, targets } = await startDeployment(t);
  const clients = [];
  for (let number = 1; number <= 8; number++) {
    clients.push(await openFlow(t, number));
  }
  const leaving = targets.findIndex(({ flows }) => flows.size > 1);
  const target = targets[leaving]!;
  t.is(await target.deregister(), 200);
  const { openings } = target;

  const stopped = cluster.processes[leaving]!;
  stopped.child.kill('SIGTERM');
  const answers = clients.map((client) => client.sendRequest(BALANCERS[0], 'during the stop'));
  t.is(await stopped.exit, 0);
  cluster.spawn('agent', AGENTS[leaving]!, 'map');
  t.deepEqual([...new Set(await Promise.all(answers))], ['answer to during the stop']);

  cluster.processes.forEach(({ child }) => child.kill('SIGKILL'));
  await Promise.all(cluster.processes.map(({ exit }) => exit));
  spawnAll(cluster);
  await Promise.all(BALANCERS.map((machine) => cluster.waitUntilReady(machine)));
  const other = targets[1 - leaving]!;
  await waitFor(async () => (await other.sendHeartbeat()) === 200);
  const later = clients.map((client) => client.sendRequest(BALANCERS[1], 'after the kills'));
  for (let number = 21; number < 21 + LATER_FLOWS; number++) {
    await openFlow(t, number);
  }
  t.deepEqual([...new Set(await Promise.all(later))], ['answer to after the kills']);
  t.is(target.openings, openings, 'no new flow');
});

/**
 * Guards against resets of open flows whose route has lost their service, when all balancers, or all
 * processes, are gone at once (see balancers-lost-together.test.ts), with real processes.
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

const NET = 39;
const PORTS = createPorts(21_420);
const ROUTE = ['198.18.0.1', 8_443] as const;
const BALANCERS = [`127.${NET}.1.1`, `127.${NET}.1.2`] as const;
const MAP_AGENTS = [`127.${NET}.2.1`, `127.${NET}.2.2`] as const;
const TILE_AGENTS = [`127.${NET}.3.1`, `127.${NET}.3.2`] as const;
const FLOWS = 8;

function createConfiguration(version: number, service: string): object {
  return {
    version,
    routes: [{ name: 'r', host: ROUTE[0], 'path-prefix': `/${ROUTE[1]}/`, service }],
    services: [],
    limits: {},
  };
}

interface Deployment {
  readonly cluster: PacketCluster;
  readonly mapTargets: readonly PacketTarget[];
  readonly tileTargets: readonly PacketTarget[];
}

async function startDeployment(t: ExecutionContext): Promise<Deployment> {
  const cluster = new PacketCluster(PORTS);
  await cluster.start();
  cluster.store.put('config', 'main', createConfiguration(3, 'map'));
  spawnAgents(cluster);
  spawnBalancers(cluster);
  const mapTargets = await startTargets(MAP_AGENTS, 'map');
  const tileTargets = await startTargets(TILE_AGENTS, 'tiles');
  t.teardown(async () => {
    [...mapTargets, ...tileTargets].forEach((target) => target.stop());
    await cluster.stop();
  });
  await acceptHeartbeats([...mapTargets, ...tileTargets]);
  await Promise.all(BALANCERS.map((machine) => cluster.waitUntilReady(machine)));
  return { cluster, mapTargets, tileTargets };
}

function startTargets(machines: readonly string[], service: string): Promise<PacketTarget[]> {
  return Promise.all(machines.map((machine) => PacketTarget.start(machine, PORTS, service)));
}

async function acceptHeartbeats(targets: readonly PacketTarget[]): Promise<void> {
  for (const target of targets) {
    await waitFor(async () => (await target.sendHeartbeat()) === 200);
  }
}

function spawnAgents(cluster: PacketCluster): ClusterProcess[] {
  return [
    ...MAP_AGENTS.map((machine) => cluster.spawn('agent', machine, 'map')),
    ...TILE_AGENTS.map((machine) => cluster.spawn('agent', machine, 'tiles')),
  ];
}

function spawnBalancers(cluster: PacketCluster): ClusterProcess[] {
  return BALANCERS.map((machine) => cluster.spawn('balancer', machine));
}

async function endAll(processes: readonly ClusterProcess[], signal: NodeJS.Signals): Promise<void> {
  processes.forEach(({ child }) => child.kill(signal));
  await Promise.all(processes.map(({ exit }) => exit));
}

async function openFlow(t: ExecutionContext, number: number): Promise<PacketClient> {
  const machine = `127.${NET}.9.${number}`;
  const client = await PacketClient.start(machine, 40_000 + number, ROUTE, PORTS);
  t.teardown(() => client.stop());
  t.true(await client.openFlow(BALANCERS[number % 2]!));
  return client;
}

async function checkAnswers(
  t: ExecutionContext,
  clients: readonly PacketClient[],
  request: string,
): Promise<void> {
  const answers = clients.map((client, index) =>
    client.sendRequest(BALANCERS[index % 2]!, request),
  );
  t.deepEqual([...new Set(await Promise.all(answers))], [`answer to ${request}`]);
}

test('flows of a route that has lost their service go on when all balancers, then all processes end', async (t) => {
  const { cluster, mapTargets, tileTargets } = await startDeployment(t);
  const clients = [];
  for (let number = 1; number <= FLOWS; number++) {
    clients.push(await openFlow(t, number));
  }
  const openings = mapTargets.reduce((sum, target) => sum + target.openings, 0);
  cluster.store.put('config', 'main', createConfiguration(8, 'tiles'));

  const agents = cluster.processes.slice(0, MAP_AGENTS.length + TILE_AGENTS.length);
  let balancers = cluster.processes.slice(agents.length);
  for (const signal of ['SIGKILL', 'SIGTERM'] as const) {
    await endAll(balancers, signal);
    balancers = spawnBalancers(cluster);
    await Promise.all(BALANCERS.map((machine) => cluster.waitUntilReady(machine)));
    await checkAnswers(t, clients, `after ${signal} of the balancers`);
  }

  await endAll([...agents, ...balancers], 'SIGKILL');
  spawnAgents(cluster);
  spawnBalancers(cluster);
  await Promise.all(BALANCERS.map((machine) => cluster.waitUntilReady(machine)));
  await acceptHeartbeats([...mapTargets, ...tileTargets]);
  await checkAnswers(t, clients, 'after SIGKILL of all');
  await openFlow(t, FLOWS + 1);
  t.is(
    mapTargets.reduce((sum, target) => sum + target.openings, 0),
    openings,
    'no new flow at the former service',
  );
});

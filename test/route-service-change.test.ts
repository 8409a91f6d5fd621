/**
 * Guards against resets of open flows when a version of the routing table moves their route to another
 * service, or takes one of its services away.
 *
 * Services were checked for every packet, by the latest version alone: the holder refused the packets of
 * its own flows, and searches asked only the agents of the route's present services.
 */
import test from 'ava';
import { FormerServices } from '../src/packets/former-services';
import type { Route, RoutingTable } from '../src/packets/routing-table';
import {
  PacketSimulation,
  type PacketSimulationAgent,
  type PacketSimulationBalancer,
} from '../src/simulation/packets/packet-simulation';
import {
  MAP_DESTINATION,
  startModelDeployment,
  TILE_DESTINATION,
} from '../src/simulation/packets/random-faults';
import { countDone, countMapOpenings, MOVED, ORIGINAL, type Routes } from './support/moved-route';
import { NO_VIOLATIONS } from './support/violations';

const FLOWS = 24;
const REQUESTS = 40;
const REQUEST_PAUSE_MS = 200;
const RESTART_MS = 600;
const FLOW_LIFETIME_MS = 60_000;
/** Shorter than the time in which a table must be active. */
const LATE_TABLE_MS = 2_500;
const LONG_FLOW_REQUESTS = 400;

const BOTH_SERVICES: Routes = new Map([
  [MAP_DESTINATION, ['map', 'tiles']],
  [TILE_DESTINATION, ['tiles']],
]);
/** Starts a deployment with open flows of the map route. */
function startWorld(seed: number, routes = ORIGINAL): PacketSimulation {
  const world = new PacketSimulation(seed);
  startModelDeployment(world);
  world.configure(2, routes);
  world.runFor(2_000);
  for (let flow = 0; flow < FLOWS; flow++) {
    world.openFlow(MAP_DESTINATION, REQUESTS, REQUEST_PAUSE_MS);
  }
  world.runFor(1_000);
  return world;
}

function restartBalancersInTurn(world: PacketSimulation): void {
  for (const balancer of world.balancers) {
    world.startBalancer(balancer);
    world.runFor(700);
  }
}

function restartAgents(world: PacketSimulation): void {
  world.agents.forEach((agent) => world.restartAgent(agent, RESTART_MS));
}

/** What happens around a version that moves the route of the open flows. */
const DISRUPTIONS: Readonly<Record<string, (world: PacketSimulation) => void>> = {
  undisturbed: () => undefined,
  'the agents restart after it': (world) => {
    world.runFor(1_500);
    restartAgents(world);
  },
  'the agents restart as it comes': restartAgents,
  'the balancers restart in turn after it': (world) => {
    world.runFor(1_500);
    restartBalancersInTurn(world);
  },
  'one balancer is killed and another comes': (world) => {
    world.runFor(1_500);
    world.balancers[0]!.process.kill();
    world.addBalancer('north');
  },
};

for (const [how, disrupt] of Object.entries(DISRUPTIONS)) {
  for (const [what, before, after] of [
    ['moved to another service', ORIGINAL, MOVED],
    ['that loses one of two services', BOTH_SERVICES, MOVED],
  ] as const) {
    test(`open flows of a route ${what} go on where they are; ${how}`, (t) => {
      const world = startWorld(401, before);
      world.configure(3, after);
      disrupt(world);
      world.runFor(20_000);
      t.deepEqual(world.violations, NO_VIOLATIONS);
      t.is(countDone(world), FLOWS);
    });
  }
}

test('open flows outlive a move there and back, and weights of 0', (t) => {
  const world = startWorld(402);
  world.configure(3, MOVED);
  world.runFor(2_000);
  world.configure(4, ORIGINAL);
  world.runFor(2_000);
  world.store.writeRouting({
    version: 5,
    idleTimeout: 60_000,
    profiles: [],
    routes: [
      {
        name: 'map',
        destination: MAP_DESTINATION,
        services: [
          { service: 'map', weight: 0 },
          { service: 'tiles', weight: 1 },
        ],
      },
    ],
  });
  world.runFor(18_000);
  t.deepEqual(world.violations, NO_VIOLATIONS);
  t.is(countDone(world), FLOWS);
});

test('new flows go by the latest version alone', (t) => {
  const world = startWorld(403);
  world.configure(3, MOVED);
  world.runFor(1_500);
  const before = countMapOpenings(world);
  for (let flow = 0; flow < FLOWS; flow++) {
    world.openFlow(MAP_DESTINATION, 2, 50);
  }
  world.runFor(3_000);
  t.is(countMapOpenings(world), before);
  t.deepEqual(world.violations, NO_VIOLATIONS);
});

test('an opening packet that is retransmitted after the change goes by the latest version', (t) => {
  const world = startWorld(404);
  const maps = world.agents.filter(({ service }) => service === 'map');
  maps.forEach(({ target }) => target.stall(1_500));
  const late = Array.from({ length: 6 }, () => world.openFlow(MAP_DESTINATION, 2, 50));
  world.runFor(150);
  world.configure(3, MOVED);
  world.runFor(60);
  const before = countMapOpenings(world);
  world.runFor(5_000);
  t.is(countMapOpenings(world), before);
  t.true(late.every(({ state }) => state === 'done'));
});

test('flows of a dropped route are still reset', (t) => {
  const world = startWorld(405);
  world.configure(3, new Map([[TILE_DESTINATION, ['tiles']]]));
  world.runFor(2_000);
  t.is(world.clients.filter(({ state }) => state === 'reset').length, FLOWS);
});

test('a flow whose target has ended is reset, also where its service was taken away', (t) => {
  const world = startWorld(406);
  world.configure(3, MOVED);
  world.runFor(1_500);
  const ended = world.agents.find(
    ({ service, target }) => service === 'map' && target.flows.size > 0,
  ) as PacketSimulationAgent;
  const held = ended.target.flows.size;
  world.deregister(ended);
  ended.target.alive = false;
  world.runFor(1_000);
  t.is(world.clients.filter(({ state }) => state === 'reset').length, held);
});

test('flows that a balancer placed by the earlier table, before it had the new one, live to their end', (t) => {
  const world = new PacketSimulation(407);
  world.coldTime = 0;
  startModelDeployment(world);
  const [late, ...others] = world.balancers as [
    PacketSimulationBalancer,
    ...PacketSimulationBalancer[],
  ];
  const cuts = others.flatMap(({ name }) => [
    { from: name, to: late.name },
    { from: late.name, to: name },
  ]);
  world.store.refusedProcesses.add(late.name);
  cuts.forEach((cut) => world.network.cut(cut));
  world.configure(3, MOVED);
  world.runFor(LATE_TABLE_MS);
  const clients = Array.from({ length: FLOWS }, () =>
    world.openFlow(MAP_DESTINATION, LONG_FLOW_REQUESTS, REQUEST_PAUSE_MS),
  );
  world.runFor(300);
  world.store.refusedProcesses.delete(late.name);
  cuts.forEach((cut) => world.network.heal(cut));
  const moved = clients.filter((client) => world.findHolder(client)?.service === 'map');
  t.true(moved.length > 0);
  world.runFor(FLOW_LIFETIME_MS - 1_000);
  late.process.kill();
  world.runFor(1_500);
  t.deepEqual(world.violations, NO_VIOLATIONS);
  t.deepEqual([...new Set(moved.map(({ state }) => state))], ['open']);
});

const LIFETIME_MS = 60_000;
const ROUTE: Route = {
  name: 'r',
  destination: 7,
  services: [
    { service: 'a', weight: 1 },
    { service: 'b', weight: 1 },
  ],
};

function createTable(...services: readonly string[]): RoutingTable {
  const route = { ...ROUTE, services: services.map((service) => ({ service, weight: 1 })) };
  return {
    version: 1,
    idleTimeout: 1,
    profiles: [],
    routes: services.length > 0 ? [route] : [],
  };
}

test('a service that a route has lost is kept for the lifetime of its flows', (t) => {
  const former = new FormerServices(LIFETIME_MS);
  const table = createTable('b');
  const [route] = table.routes as [Route];
  former.recordChange([ROUTE], table, 1_000);
  t.deepEqual(former.listHolders(route, 1_000), ['b', 'a']);
  t.deepEqual(former.listHolders(route, 61_000), ['b']);
  t.deepEqual(former.listAnnounced(31_000), [{ destination: 7, service: 'a', remaining: 29_000 }]);
  former.expire(61_000);
  t.deepEqual(former.listAnnounced(0), []);
});

test('a service that a route names again, or a dropped route, is no former one', (t) => {
  const former = new FormerServices(LIFETIME_MS);
  former.recordChange([ROUTE], createTable('b'), 0);
  former.recordChange(createTable('b').routes, createTable('b', 'a'), 10);
  t.deepEqual(former.listAnnounced(10), []);
  former.recordChange([ROUTE], createTable('b'), 20);
  former.recordChange(createTable('b').routes, createTable(), 30);
  t.deepEqual(former.listAnnounced(30), []);
});

test('announced former services are merged; none is kept longer than flows live', (t) => {
  const former = new FormerServices(LIFETIME_MS);
  const announced = { destination: 7, service: 'a', remaining: 5_000 };
  former.merge([announced, { ...announced, service: 'c', remaining: 1e12 }], 0);
  former.merge([{ ...announced, remaining: 3_000 }], 0);
  t.deepEqual(former.listAnnounced(0), [
    { destination: 7, service: 'c', remaining: LIFETIME_MS - 1_000 },
    { ...announced, remaining: 4_000 },
  ]);
  former.recordChange([], createTable('b'), 0);
  t.is(former.listAnnounced(0).length, 2, 'what peers announce before the first table is kept');
});

test('balancers that announce a former service to each other do not prolong it', (t) => {
  const TRANSFER_MS = 400;
  const balancers = [new FormerServices(LIFETIME_MS), new FormerServices(LIFETIME_MS)] as const;
  balancers[0].recordChange([ROUTE], createTable('b'), 0);
  let now = 0;
  for (let round = 0; now < LIFETIME_MS; round++) {
    const announced = balancers[round % 2]!.listAnnounced(now);
    now += TRANSFER_MS;
    balancers[(round + 1) % 2]!.merge(announced, now);
  }
  const [route] = createTable('b').routes as [Route];
  balancers.forEach((one) => t.deepEqual(one.listHolders(route, LIFETIME_MS), ['b']));
});

test('announcements and memory are bounded', (t) => {
  const former = new FormerServices(LIFETIME_MS);
  const announced = Array.from({ length: 5_000 }, (_, destination) => ({
    destination,
    service: 'a',
    remaining: 1_000 + destination,
  }));
  former.merge(announced, 0);
  t.is(former.listAnnounced(0).length, 64);
  t.is(former.listAnnounced(0)[0]!.destination, 4_999);
  const evicted = { ...ROUTE, destination: 5 };
  t.deepEqual(former.listHolders(evicted, 0), ['a', 'b']);
});

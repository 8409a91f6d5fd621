/** Balancers with little CPU, which relay packets, and flows unknown to a balancer. */
import test from 'ava';
import {
  MODEL_ROUTES,
  openModelFlows,
  startModelDeployment,
} from '../src/simulation/packets/random-faults';
import { PacketSimulation } from '../src/simulation/packets/packet-simulation';
import { TrafficRelay } from '../src/packets/traffic-relay';

const RELAYING_CAPACITY = 0.03;

/** Starts two routing balancers and three relaying ones in one zone. */
function startMixedWorld(): PacketSimulation {
  const world = new PacketSimulation(9);
  world.configure(1, MODEL_ROUTES);
  world.addBalancer('north');
  world.addBalancer('north');
  for (let index = 0; index < 3; index++) {
    world.addBalancer('north', RELAYING_CAPACITY);
  }
  for (const service of ['map', 'map', 'map', 'tiles']) {
    world.addAgent(service, 'north');
  }
  world.runFor(9_000);
  return world;
}

function countOpen(world: PacketSimulation): number {
  return world.clients.filter(({ state }) => state === 'open').length;
}

test('only a balancer with little CPU relays, to available ones with enough CPU, its own zone first', (t) => {
  const status = { zone: 'north', packetAddress: 11, capacity: 0.5, isReady: true };
  const relay = new TrafficRelay(50, 'north', RELAYING_CAPACITY);
  relay.recordStatus(1, status, 0);
  relay.recordStatus(2, { ...status, zone: 'south', packetAddress: 12 }, 1_000);
  relay.recordStatus(3, { ...status, capacity: RELAYING_CAPACITY }, 0);
  t.deepEqual(relay.listBalancersToPoll(0), [1, 3]);
  t.is(relay.selectDestination('f', 1_000), 11);
  t.is(relay.selectDestination('f', 1_200), 12);
  relay.recordStatus(1, { ...status, isReady: false }, 1_200);
  t.is(relay.selectDestination('f', 1_200), 12);
  t.deepEqual(relay.listBalancersToPoll(1_200), [1, 2, 3]);
  t.false(relay.canRelay(2_200));
  const routing = new TrafficRelay(50, 'north', 1);
  routing.recordStatus(1, status, 0);
  t.is(routing.selectDestination('f', 0), undefined);
});

test('as many relaying balancers accept traffic as make more than half of the zone ready', (t) => {
  const routing = { zone: 'north', packetAddress: 11, capacity: 0.5, isReady: true };
  const relaying = { ...routing, capacity: RELAYING_CAPACITY, isReady: false };
  const relay = new TrafficRelay(50, 'north', RELAYING_CAPACITY);
  relay.recordStatus(1, routing, 0);
  relay.recordStatus(2, routing, 0);
  t.false(relay.isNeeded(true, 0));
  relay.recordStatus(60, relaying, 0);
  t.true(relay.isNeeded(true, 0));
  relay.recordStatus(40, relaying, 0);
  t.false(relay.isNeeded(true, 0));
  relay.recordStatus(2, { ...routing, isReady: false }, 0);
  t.true(relay.isNeeded(true, 0));
  relay.recordStatus(1, routing, 3_000);
  relay.recordStatus(2, routing, 3_000);
  t.true(relay.isNeeded(true, 3_000));
});

test('a just started relaying balancer accepts traffic only while less than half of the zone is ready', (t) => {
  const routing = { zone: 'north', packetAddress: 11, capacity: 0.5, isReady: true };
  const relaying = { ...routing, capacity: RELAYING_CAPACITY, isReady: false };
  const relay = new TrafficRelay(50, 'north', RELAYING_CAPACITY);
  relay.recordStatus(1, routing, 0);
  relay.recordStatus(2, routing, 0);
  relay.recordStatus(60, { ...relaying, capacity: 0 }, 0);
  t.true(relay.isNeeded(true, 0));
  t.false(relay.isNeeded(false, 0));
  relay.recordStatus(2, { ...routing, isReady: false }, 0);
  t.true(relay.isNeeded(false, 0));
  relay.recordStatus(60, relaying, 0);
  t.false(relay.isNeeded(false, 0));
});

test('a relaying balancer switches to another balancer, and routes by itself when none is left', (t) => {
  const world = startMixedWorld();
  const [first, second, relaying] = world.balancers;
  t.is(world.balancers.filter(({ node }) => node.isReady).length, 3);
  t.true(relaying!.node.isReady);
  openModelFlows(world, 40, 60, 200);
  world.runFor(1_000);
  t.is(countOpen(world), 40);
  t.true(relaying!.node.figures.packetsRelayed > 20);
  t.is(relaying!.node.figures.agentsHeard, 0);
  t.is(relaying!.node.router.counters.packetsReceived, 0);
  first!.process.kill();
  world.runFor(3_000);
  t.is(countOpen(world), 40);
  second!.process.kill();
  world.runFor(4_000);
  t.true(relaying!.node.figures.agentsHeard > 0);
  t.true(relaying!.node.router.counters.packetsReceived > 0);
  const countAnswers = (): number => world.clients.reduce((sum, { answers }) => sum + answers, 0);
  const before = countAnswers();
  world.runFor(2_000);
  t.true(countAnswers() - before > 200, `${countAnswers() - before} answers in two seconds`);
  t.deepEqual(world.violations.flowsReset, []);
  t.deepEqual(world.violations.doubled, []);
});

test('flows unknown to a balancer are found without offers to other targets', (t) => {
  const world = new PacketSimulation(10);
  startModelDeployment(world, 2);
  openModelFlows(world, 40, 100, 200);
  world.runFor(1_000);
  const countRejected = (): number =>
    world.agents.reduce((sum, { node }) => sum + node.counters.packetsReturned, 0);
  const before = countRejected();
  world.balancers[0]!.process.kill();
  world.runFor(3_000);
  t.is(countOpen(world), 40);
  t.is(countRejected() - before, 0);
  t.true(world.balancers[1]!.node.router.counters.searchesStarted > 10);
});

test('a search reaches other agents when one does not respond', (t) => {
  const world = new PacketSimulation(11);
  startModelDeployment(world, 2);
  openModelFlows(world, 60, 100, 200);
  world.runFor(1_000);
  const [killed, searching] = world.balancers;
  const [holder, unresponsive] = world.agents;
  const clients = world.clients.filter((client) => world.findHolder(client) === holder);
  t.true(clients.length > 5);
  // The holder's agent restarts without its flow table, and another agent gets no frames.
  holder!.process.kill();
  world.startAgent(holder!);
  world.network.cut({ from: searching!.name, to: unresponsive!.name });
  killed!.process.kill();
  world.runFor(4_000);
  const before = clients.map(({ answers }) => answers);
  world.runFor(2_000);
  const unanswered = clients.filter(({ answers }, index) => answers === before[index]).length;
  t.is(unanswered, 0);
  t.deepEqual(world.violations.flowsReset, []);
});

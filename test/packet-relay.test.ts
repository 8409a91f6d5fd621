/** Balancers with little processor time, and flows that a balancer has never seen. */
import test from 'ava';
import {
  MODEL_ROUTES,
  openModelFlows,
  startModelDeployment,
} from '../src/simulation/packets/random-faults';
import { PacketWorld } from '../src/simulation/packets/packet-world';
import { TrafficRelay } from '../src/packets/traffic-relay';

const WEAK = 0.03;

/** Two strong balancers and three weak ones in one zone. */
function startMixedWorld(): PacketWorld {
  const world = new PacketWorld(9);
  world.configure(1, MODEL_ROUTES);
  world.addBalancer('north');
  world.addBalancer('north');
  for (let index = 0; index < 3; index++) {
    world.addBalancer('north', WEAK);
  }
  for (const service of ['map', 'map', 'map', 'tiles']) {
    world.addAgent(service, 'north');
  }
  world.runFor(9_000);
  return world;
}

function countOpen(world: PacketWorld): number {
  return world.clients.filter(({ state }) => state === 'open').length;
}

test('only a weak balancer relays, to present and strong ones of its zone', (t) => {
  const status = { zone: 'north', packetAddress: 11, capacity: 0.5, isReady: true };
  const relay = new TrafficRelay(50, 'north', WEAK);
  relay.recordStatus(1, status, 0);
  relay.recordStatus(2, { ...status, zone: 'south', packetAddress: 12 }, 1_000);
  relay.recordStatus(3, { ...status, capacity: WEAK }, 0);
  t.deepEqual(relay.listBalancersToPoll(0), [1, 3]);
  t.is(relay.selectDestination('f', 1_000), 11);
  t.is(relay.selectDestination('f', 1_200), 12);
  relay.recordStatus(1, { ...status, isReady: false }, 1_200);
  t.is(relay.selectDestination('f', 1_200), 12);
  t.deepEqual(relay.listBalancersToPoll(1_200), [1, 2, 3]);
  t.false(relay.canRelay(2_200));
  const strong = new TrafficRelay(50, 'north', 1);
  strong.recordStatus(1, status, 0);
  t.is(strong.selectDestination('f', 0), undefined);
});

test('as many weak balancers take traffic as make more than half of the zone', (t) => {
  const strong = { zone: 'north', packetAddress: 11, capacity: 0.5, isReady: true };
  const weak = { ...strong, capacity: WEAK, isReady: false };
  const relay = new TrafficRelay(50, 'north', WEAK);
  relay.recordStatus(1, strong, 0);
  relay.recordStatus(2, strong, 0);
  t.false(relay.isNeeded(true, 0));
  relay.recordStatus(60, weak, 0);
  t.true(relay.isNeeded(true, 0));
  relay.recordStatus(40, weak, 0);
  t.false(relay.isNeeded(true, 0));
  relay.recordStatus(2, { ...strong, isReady: false }, 0);
  t.true(relay.isNeeded(true, 0));
  relay.recordStatus(1, strong, 3_000);
  relay.recordStatus(2, strong, 3_000);
  t.true(relay.isNeeded(true, 3_000));
});

test('a weak balancer that has just started stands in only for a zone below half', (t) => {
  const strong = { zone: 'north', packetAddress: 11, capacity: 0.5, isReady: true };
  const weak = { ...strong, capacity: WEAK, isReady: false };
  const relay = new TrafficRelay(50, 'north', WEAK);
  relay.recordStatus(1, strong, 0);
  relay.recordStatus(2, strong, 0);
  relay.recordStatus(60, { ...weak, capacity: 0 }, 0);
  t.true(relay.isNeeded(true, 0));
  t.false(relay.isNeeded(false, 0));
  relay.recordStatus(2, { ...strong, isReady: false }, 0);
  t.true(relay.isNeeded(false, 0));
  relay.recordStatus(60, weak, 0);
  t.false(relay.isNeeded(false, 0));
});

test('a weak balancer relays, follows a change, and routes by itself at the end', (t) => {
  const world = startMixedWorld();
  const [first, second, weak] = world.balancers;
  t.is(world.balancers.filter(({ node }) => node.isReady).length, 3);
  t.true(weak!.node.isReady);
  openModelFlows(world, 40, 60, 200);
  world.runFor(1_000);
  t.is(countOpen(world), 40);
  t.true(weak!.node.figures.packetsRelayed > 20);
  t.is(weak!.node.figures.agentsHeard, 0);
  t.is(weak!.node.router.counters.packetsReceived, 0);
  first!.process.kill();
  world.runFor(3_000);
  t.is(countOpen(world), 40);
  second!.process.kill();
  world.runFor(4_000);
  t.true(weak!.node.figures.agentsHeard > 0);
  t.true(weak!.node.router.counters.packetsReceived > 0);
  const answered = (): number => world.clients.reduce((sum, { answers }) => sum + answers, 0);
  const before = answered();
  world.runFor(2_000);
  t.true(answered() - before > 200, `${answered() - before} answers in two seconds`);
  t.deepEqual(world.violations.flowsReset, []);
  t.deepEqual(world.violations.doubled, []);
});

test('flows that a balancer has never seen are found without touching other targets', (t) => {
  const world = new PacketWorld(10);
  startModelDeployment(world, 2);
  openModelFlows(world, 40, 100, 200);
  world.runFor(1_000);
  const returned = (): number =>
    world.agents.reduce((sum, { node }) => sum + node.counters.packetsReturned, 0);
  const before = returned();
  world.balancers[0]!.process.kill();
  world.runFor(3_000);
  t.is(countOpen(world), 40);
  t.is(returned() - before, 0);
  t.true(world.balancers[1]!.node.router.counters.searchesStarted > 10);
});

test('a search goes on to other agents when one neither takes nor refuses', (t) => {
  const world = new PacketWorld(11);
  startModelDeployment(world, 2);
  openModelFlows(world, 60, 100, 200);
  world.runFor(1_000);
  const [lost, searching] = world.balancers;
  const [holder, mute] = world.agents;
  const clients = world.clients.filter((client) => world.holderOf(client) === holder);
  t.true(clients.length > 5);
  // The holder's agent forgets who it holds, and another agent gets no frames.
  holder!.process.kill();
  world.startAgent(holder!);
  world.network.cut({ from: searching!.name, to: mute!.name });
  lost!.process.kill();
  world.runFor(4_000);
  const before = clients.map(({ answers }) => answers);
  world.runFor(2_000);
  const stuck = clients.filter(({ answers }, index) => answers === before[index]).length;
  t.is(stuck, 0);
  t.deepEqual(world.violations.flowsReset, []);
});

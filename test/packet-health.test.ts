/** Targets that are down or fail: their health at the agent, and where new flows are placed. */
import test from 'ava';
import { TargetHealth } from '../src/packets/target-health';
import {
  MAP_DESTINATION,
  openModelFlows,
  startModelDeployment,
} from '../src/simulation/packets/random-faults';
import { PacketSimulation } from '../src/simulation/packets/packet-simulation';

const OPENING_RETRANSMISSION_MS = 200;

test('a target that answers no opening packet is down, and is tried at intervals', (t) => {
  const health = new TargetHealth();
  health.recordOpening(0);
  health.recordOpening(100);
  health.recordTick();
  t.false(health.isDown(450));
  health.recordTick();
  t.true(health.isDown(450));
  t.true(health.isProbeDue(450));
  t.is(health.computeFailureShare(450), 1);
  health.recordActivity();
  t.false(health.isDown(451));
  t.is(health.computeFailureShare(451), 0);
});

test('a pause of the agent does not count as an unresponsive target', (t) => {
  const health = new TargetHealth();
  health.recordOpening(0);
  health.recordOpening(10);
  // After a freeze of 4 s the answers are still in the socket when the first timer fires.
  health.recordTick();
  t.false(health.isDown(4_000));
});

test('failures count by their share and decay with time', (t) => {
  const health = new TargetHealth();
  health.recordOutcome(false, 0);
  t.true(health.computeFailureShare(0) < 0.3);
  for (let request = 0; request < 20; request++) {
    health.recordOutcome(false, 10);
  }
  t.true(health.computeFailureShare(10) > 0.8);
  t.true(health.computeFailureShare(20_000) < 0.05);
});

function startWorld(seed = 5): PacketSimulation {
  const world = new PacketSimulation(seed);
  startModelDeployment(world);
  return world;
}

/** Opens a flow of one request every 40 ms and returns those whose answer took long. */
function countSlowFlows(world: PacketSimulation, flows: number): number {
  const clients = [];
  for (let index = 0; index < flows; index++) {
    clients.push(world.openFlow(MAP_DESTINATION, 1, 0));
    world.runFor(40);
  }
  world.runFor(2_000);
  return clients.filter(
    ({ startedAt, answeredAt: [at] }) =>
      at === undefined || at - startedAt >= OPENING_RETRANSMISSION_MS,
  ).length;
}

test('an unresponsive target gets no new flows', (t) => {
  const world = startWorld();
  openModelFlows(world, 40, 100);
  world.runFor(2_000);
  world.agents[0]!.target.alive = false;
  const slow = countSlowFlows(world, 100);
  t.true(slow <= 12, `${slow} of 100 flows had to be opened twice`);
});

/** With half of these seeds no balancer sends another opening packet to the unresponsive target. */
for (let seed = 1; seed <= 12; seed++) {
  test(`clients of an unresponsive target are reset soon, not at their deadline (${seed})`, (t) => {
    const world = startWorld(seed);
    openModelFlows(world, 40, 100, 100);
    world.runFor(2_000);
    const unresponsive = world.agents[0]!;
    const clients = world.clients.filter((client) => world.findHolder(client) === unresponsive);
    t.true(clients.length > 3);
    unresponsive.target.alive = false;
    countSlowFlows(world, 40);
    t.true(clients.every(({ state }) => state === 'reset'));
  });
}

test('timed-out requests do not mark a target as down that sends packets meanwhile', (t) => {
  const health = new TargetHealth();
  health.recordTimeout(2_000);
  health.recordActivity();
  health.recordTimeout(2_200);
  t.false(health.isDown(2_200));
  health.recordTimeout(2_300);
  // The answers may still be in the socket of an agent that was frozen.
  health.recordTick();
  t.false(health.isDown(2_300));
  health.recordTick();
  t.true(health.isDown(2_550));
});

test('old silence does not count: a target that gets no opening packets cannot answer any', (t) => {
  const health = new TargetHealth();
  health.recordOpening(1_000);
  t.is(health.computeFailureShare(1_100), 0, 'it may still answer');
  t.is(health.computeFailureShare(2_000), 1);
  t.is(health.computeFailureShare(10_900), 1);
  t.is(health.computeFailureShare(11_100), 0);
  health.recordOpening(12_000);
  t.is(health.computeFailureShare(12_200), 1, 'it is still unresponsive');
});

test('a target whose answers fail gets few new flows', (t) => {
  const world = startWorld();
  const failing = world.agents[0]!;
  failing.target.isFailing = true;
  for (let index = 0; index < 100; index++) {
    world.openFlow(MAP_DESTINATION, 1, 0);
    world.runFor(40);
  }
  const ran = failing.target.requestsRun;
  t.true(ran <= 12, `${ran} of 100 requests were served by the failing target`);
});

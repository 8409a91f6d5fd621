/** Agents that have seen all flows of their targets open say at once that a flow is dead. */
import test from 'ava';
import {
  PacketMessageType,
  SearchPhase,
  type FlowKnowledgeValue,
  type SearchMessage,
} from '../src/packets/packet-messages';
import { TargetLifecycle, type TargetHeartbeat } from '../src/packets/target-lifecycle';
import { PacketWorld } from '../src/simulation/packets/packet-world';
import { openModelFlows, startModelDeployment } from '../src/simulation/packets/random-faults';
import { createReport } from './support/reports';
import { RouterHarness } from './support/router-harness';

const INTERVAL = 770;
const COLD_TIME = 2_000;
const SURE = 4;

function heartbeat(sequence: number, coldLeft: number, incarnation = 'i'): TargetHeartbeat {
  return { incarnation, service: 'map', slots: 1, draining: false, coldLeft, sequence };
}

function createTarget(first: TargetHeartbeat): TargetLifecycle {
  const target = new TargetLifecycle('map', INTERVAL, 0);
  target.setColdTime(COLD_TIME);
  target.applyHeartbeat(first, 10_000);
  return target;
}

test('an agent knows its target from its start by the first heartbeat of a young one', (t) => {
  t.true(createTarget(heartbeat(1, COLD_TIME)).isKnownFromStart);
  t.true(createTarget(heartbeat(4, COLD_TIME - 400)).isKnownFromStart);
  t.false(createTarget(heartbeat(2, COLD_TIME - 800)).isKnownFromStart, 'an agent was there');
  t.false(createTarget(heartbeat(90, COLD_TIME)).isKnownFromStart, 'cold, but no start');
  t.false(createTarget(heartbeat(90, 0)).isKnownFromStart);
  const unknown = new TargetLifecycle('map', INTERVAL, 0);
  unknown.applyHeartbeat(heartbeat(1, COLD_TIME), 10_000);
  t.false(unknown.isKnownFromStart, 'nobody has told how long targets are cold');
});

test('a successor is known from its start, one that a late heartbeat hid for a while is not', (t) => {
  const target = createTarget(heartbeat(90, 0));
  target.applyHeartbeat(heartbeat(1, COLD_TIME, 'j'), 12_000);
  t.true(target.isKnownFromStart);
  target.applyHeartbeat(heartbeat(50, 0, 'k'), 12_100);
  t.is(target.incarnation, 'j');
  target.applyHeartbeat(heartbeat(51, 0, 'k'), 12_900);
  t.is(target.incarnation, 'k');
  t.false(target.isKnownFromStart);
});

/** A router whose agents know all flows of their targets, as `knowing` says of each. */
function createHarness(knowing: readonly FlowKnowledgeValue[]): RouterHarness {
  const harness = new RouterHarness(knowing.map(() => SURE));
  harness.agents.forEach((agent, index) => {
    const report = { frameVersion: SURE, flowKnowledge: knowing[index]!, sequence: 2 };
    harness.directory.recordReport(agent, createReport(report), harness.now);
  });
  return harness;
}

function searchesOf(harness: RouterHarness): SearchMessage[] {
  return harness.sent
    .map(({ message }) => message)
    .filter((message) => message.type === PacketMessageType.search);
}

function answerNone(harness: RouterHarness, { agents, payload, searchId }: SearchMessage): void {
  harness.router.handleNoneHolds({ type: PacketMessageType.noneHolds, agents, payload, searchId });
}

test('one pass through agents that know their flows ends in a reset', (t) => {
  const harness = createHarness(new Array<FlowKnowledgeValue>(40).fill(1));
  harness.router.route(harness.createData(7));
  const [first] = searchesOf(harness);
  t.is(first!.phase, SearchPhase.conclusive);
  t.is(first!.agents.length, 10);
  answerNone(harness, first!);
  const rest = searchesOf(harness).slice(1);
  t.deepEqual(
    rest.map(({ phase, agents }) => [phase, agents.length]),
    [
      [SearchPhase.conclusive, 25],
      [SearchPhase.conclusive, 5],
    ],
  );
  rest.forEach((search) => answerNone(harness, search));
  t.deepEqual(harness.resets, [7]);
  t.is(searchesOf(harness).length, 3);
});

test('agents that do not know their flows are asked and offered the packet as before', (t) => {
  const harness = createHarness([1, 1, 0, 1]);
  harness.router.route(harness.createData(7));
  const [first] = searchesOf(harness);
  t.is(first!.phase, SearchPhase.query);
  t.is(first!.agents.length, 4);
});

function startWorld(seed: number, mapTargets: number): PacketWorld {
  const world = new PacketWorld(seed);
  startModelDeployment(world);
  for (let index = 0; index < mapTargets; index++) {
    world.addAgent('map', 'north');
  }
  world.runFor(4_000);
  return world;
}

function countReturned(world: PacketWorld): number {
  return world.agents.reduce((sum, { node }) => sum + node.counters.packetsReturned, 0);
}

test('after a loss of all power dead flows are told so without touching targets', (t) => {
  const world = startWorld(31, 30);
  openModelFlows(world, 60, 400, 100);
  world.runFor(1_000);
  const open = world.clients.filter(({ state }) => state === 'open');
  world.losePower(500);
  world.runFor(1_600);
  t.true(countReturned(world) <= 5, `${countReturned(world)} packets returned by targets`);
  t.is(open.filter(({ state }) => state === 'reset').length, open.length);
});

test('a flow opened before its agent restarted is found, and never reset', (t) => {
  const world = startWorld(32, 10);
  openModelFlows(world, 40, 60, 150);
  world.runFor(1_000);
  for (const agent of world.agents) {
    world.startAgent(agent);
    world.runFor(100);
  }
  world.balancers.forEach((balancer) => world.startBalancer(balancer));
  world.runFor(20_000);
  t.deepEqual(world.violations.flowsReset, []);
  t.true(world.clients.every(({ state }) => state === 'done'));
});

test('an agent that began long after its target does not know its flows, however young it is', (t) => {
  for (const [gap, isKnown] of [
    [200, true],
    [400, false],
  ] as const) {
    const agentStartedAt = 10_000;
    const target = new TargetLifecycle('map', 1_100, agentStartedAt);
    target.setColdTime(2_000);
    const now = agentStartedAt + 100;
    const coldLeft = 2_000 - (gap + 100);
    const state = { service: 'map', slots: 5, draining: false };
    target.applyHeartbeat({ incarnation: 'a', ...state, coldLeft, sequence: 2 }, now);
    t.is(target.isKnownFromStart, isKnown, `${gap} ms`);
  }
});

/** Conclusive searches: agents that know all flows of their targets need not offer them a packet. */
import test from 'ava';
import {
  PacketMessageType,
  SearchPhase,
  type FlowKnowledgeValue,
  type SearchMessage,
} from '../src/packets/packet-messages';
import { TargetLifecycle, type TargetHeartbeat } from '../src/packets/target-lifecycle';
import { PacketSimulation } from '../src/simulation/packets/packet-simulation';
import { openModelFlows, startModelDeployment } from '../src/simulation/packets/random-faults';
import { createReport } from './support/reports';
import { RouterHarness } from './support/router-harness';

const HEARTBEAT_INTERVAL_MS = 770;
const COLD_TIME_MS = 2_000;
const CONCLUSIVE_VERSION = 4;

function createHeartbeat(sequence: number, coldLeft: number, incarnation = 'i'): TargetHeartbeat {
  return { incarnation, service: 'map', slots: 1, draining: false, coldLeft, sequence };
}

function createTarget(first: TargetHeartbeat): TargetLifecycle {
  const target = new TargetLifecycle('map', HEARTBEAT_INTERVAL_MS, 0);
  target.setColdTime(COLD_TIME_MS);
  target.applyHeartbeat(first, 10_000);
  return target;
}

test('an early heartbeat of a cold target shows that its agent knows it from its start', (t) => {
  t.true(createTarget(createHeartbeat(1, COLD_TIME_MS)).isKnownFromStart);
  t.true(createTarget(createHeartbeat(4, COLD_TIME_MS - 400)).isKnownFromStart);
  t.false(
    createTarget(createHeartbeat(2, COLD_TIME_MS - 800)).isKnownFromStart,
    'an earlier agent got its heartbeats',
  );
  t.false(
    createTarget(createHeartbeat(90, COLD_TIME_MS)).isKnownFromStart,
    'cold, but not just started',
  );
  t.false(createTarget(createHeartbeat(90, 0)).isKnownFromStart);
  const unknown = new TargetLifecycle('map', HEARTBEAT_INTERVAL_MS, 0);
  unknown.applyHeartbeat(createHeartbeat(1, COLD_TIME_MS), 10_000);
  t.false(unknown.isKnownFromStart, 'the cold time is unknown');
});

test('a replacing incarnation is known from its start, unless its first heartbeats were missed', (t) => {
  const target = createTarget(createHeartbeat(90, 0));
  target.applyHeartbeat(createHeartbeat(1, COLD_TIME_MS, 'j'), 12_000);
  t.true(target.isKnownFromStart);
  target.applyHeartbeat(createHeartbeat(50, 0, 'k'), 12_100);
  t.is(target.incarnation, 'j');
  target.applyHeartbeat(createHeartbeat(51, 0, 'k'), 12_900);
  t.is(target.incarnation, 'k');
  t.false(target.isKnownFromStart);
});

/** Creates a router whose agents report the given knowledge of their targets' flows. */
function createHarness(knowledge: readonly FlowKnowledgeValue[]): RouterHarness {
  const harness = new RouterHarness(knowledge.map(() => CONCLUSIVE_VERSION));
  harness.agents.forEach((agent, index) => {
    const report = {
      frameVersion: CONCLUSIVE_VERSION,
      flowKnowledge: knowledge[index]!,
      sequence: 2,
    };
    harness.directory.recordReport(agent, createReport(report), harness.now);
  });
  return harness;
}

function findSearches(harness: RouterHarness): SearchMessage[] {
  return harness.sent
    .map(({ message }) => message)
    .filter((message) => message.type === PacketMessageType.search);
}

function answerNone(harness: RouterHarness, { agents, payload, searchId }: SearchMessage): void {
  harness.router.handleNoneHolds({ type: PacketMessageType.noneHolds, agents, payload, searchId });
}

test('one pass through agents that know all flows of their targets ends in a reset', (t) => {
  const harness = createHarness(new Array<FlowKnowledgeValue>(40).fill(1));
  harness.router.route(harness.createData(7));
  const [first] = findSearches(harness);
  t.is(first!.phase, SearchPhase.conclusive);
  t.is(first!.agents.length, 10);
  answerNone(harness, first!);
  const rest = findSearches(harness).slice(1);
  t.deepEqual(
    rest.map(({ phase, agents }) => [phase, agents.length]),
    [
      [SearchPhase.conclusive, 25],
      [SearchPhase.conclusive, 5],
    ],
  );
  rest.forEach((search) => answerNone(harness, search));
  t.deepEqual(harness.resets, [7]);
  t.is(findSearches(harness).length, 3);
});

test('a single agent without knowledge of all flows makes the search a query', (t) => {
  const harness = createHarness([1, 1, 0, 1]);
  harness.router.route(harness.createData(7));
  const [first] = findSearches(harness);
  t.is(first!.phase, SearchPhase.query);
  t.is(first!.agents.length, 4);
});

function startWorld(seed: number, mapTargets: number): PacketSimulation {
  const world = new PacketSimulation(seed);
  startModelDeployment(world);
  for (let index = 0; index < mapTargets; index++) {
    world.addAgent('map', 'north');
  }
  world.runFor(4_000);
  return world;
}

function countRejected(world: PacketSimulation): number {
  return world.agents.reduce((sum, { node }) => sum + node.counters.packetsReturned, 0);
}

test('after a power loss of all machines, dead flows are reset with hardly any offers to targets', (t) => {
  const world = startWorld(31, 30);
  openModelFlows(world, 60, 400, 100);
  world.runFor(1_000);
  const open = world.clients.filter(({ state }) => state === 'open');
  world.restartAll(500);
  world.runFor(1_600);
  t.true(countRejected(world) <= 5, `${countRejected(world)} packets rejected by targets`);
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

test('an agent started long after its target does not know all of its flows, even if the target is cold', (t) => {
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

test('a target that started well before its agent is not known from its start, however young it says it is', (t) => {
  const AGENT_BORN = 1_764_800_000_000;
  const isKnown = (born: number | undefined): boolean => {
    const target = new TargetLifecycle('map', HEARTBEAT_INTERVAL_MS, 0, AGENT_BORN);
    target.setColdTime(2_000);
    const heartbeat = {
      incarnation: 'i',
      service: 'map',
      slots: 1,
      draining: false,
      coldLeft: 1_980,
      sequence: 1,
    };
    target.applyHeartbeat(born === undefined ? heartbeat : { ...heartbeat, born }, 900);
    return target.isKnownFromStart;
  };
  t.true(isKnown(AGENT_BORN + 400));
  t.true(isKnown(AGENT_BORN - 300));
  t.false(isKnown(AGENT_BORN - 301), 'another agent may have run before');
  t.false(isKnown(undefined), 'nothing shows that the heartbeat is not late');
});

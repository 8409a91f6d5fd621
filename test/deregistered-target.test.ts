/**
 * Guards against resets of open flows of a target that has deregistered and serves on.
 *
 * Some targets announce their shutdown first and end many seconds later. An agent that took the
 * announcement for the end removed its registry entry at a planned stop, and balancers dropped it, so
 * that searches no longer asked the holder of these flows.
 */
import test from 'ava';
import { Events, type EventKind } from '../src/logging/events';
import { AgentDirectory } from '../src/packets/agent-directory';
import { FlowKnowledge, TargetState } from '../src/packets/packet-messages';
import {
  PacketSimulation,
  type PacketSimulationAgent,
} from '../src/simulation/packets/packet-simulation';
import { MAP_DESTINATION, startModelDeployment } from '../src/simulation/packets/random-faults';
import { createReport } from './support/reports';
import { NO_VIOLATIONS } from './support/violations';

const FLOWS = 24;
const REQUESTS = 40;
const REQUEST_PAUSE_MS = 200;
/** A planned stop and the start after it. */
const RESTART_MS = 600;

interface DeregisteredTarget {
  readonly world: PacketSimulation;
  readonly agent: PacketSimulationAgent;
  readonly events: EventKind[];
  /** Number of flows that the target held when it deregistered. */
  readonly held: number;
}

/** Starts a deployment with open flows and deregisters a target that holds some of them. */
function startDeregisteredTarget(
  seed: number,
  prepare: (world: PacketSimulation) => void = () => undefined,
): DeregisteredTarget {
  const events: EventKind[] = [];
  const world = new PacketSimulation(seed, (_process, event) => events.push(event));
  startModelDeployment(world);
  for (let flow = 0; flow < FLOWS; flow++) {
    world.openFlow(MAP_DESTINATION, REQUESTS, REQUEST_PAUSE_MS);
  }
  world.runFor(1_000);
  prepare(world);
  const agent = world.agents[0]!;
  const held = agent.target.flows.size;
  world.deregister(agent);
  world.runFor(300);
  return { world, agent, events, held };
}

function countStates(world: PacketSimulation): Record<string, number> {
  const counts: Record<string, number> = {};
  world.clients.forEach(({ state }) => (counts[state] = (counts[state] ?? 0) + 1));
  return counts;
}

/** Restarts all balancers, so that every open flow has to be searched for. */
function restartBalancers(world: PacketSimulation): void {
  world.balancers.forEach((balancer) => world.startBalancer(balancer));
}

test('open flows of a deregistered target survive a planned restart of its agent', (t) => {
  const { world, agent, held } = startDeregisteredTarget(201);
  t.true(held > 3);
  world.restartAgent(agent, RESTART_MS);
  world.runFor(20_000);
  t.deepEqual(world.violations, NO_VIOLATIONS);
  t.deepEqual(countStates(world), { done: FLOWS });
});

test('they survive restarts of the agent and of all balancers, in turn and at once', (t) => {
  const { world, agent } = startDeregisteredTarget(202);
  world.restartAgent(agent, RESTART_MS);
  world.runFor(1_500);
  restartBalancers(world);
  world.runFor(1_500);
  world.restartAgent(agent, RESTART_MS);
  restartBalancers(world);
  world.runFor(25_000);
  t.deepEqual(world.violations, NO_VIOLATIONS);
  t.deepEqual(countStates(world), { done: FLOWS });
});

test('they survive the loss of its registry entry by a restore of the store', (t) => {
  const { world, agent } = startDeregisteredTarget(203);
  const backup = world.store.createBackup();
  const agents = backup.agents.filter(({ name }) => name !== String(agent.address));
  world.store.restoreFrom({ ...backup, agents });
  world.runFor(2_000);
  t.true(world.store.agents.items.has(String(agent.address)), 'it is registered again');
  restartBalancers(world);
  world.runFor(20_000);
  t.deepEqual(world.violations, NO_VIOLATIONS);
  t.deepEqual(countStates(world), { done: FLOWS });
});

test('they survive the removal of its registry entry by a balancer that is cut off from it', (t) => {
  const { world, agent } = startDeregisteredTarget(204);
  world.store.removeAgentEntry(String(agent.address));
  world.runFor(100);
  world.balancers[0]!.process.kill();
  world.runFor(4_000);
  t.true(world.store.agents.items.has(String(agent.address)), 'it is registered again');
  world.runFor(16_000);
  t.deepEqual(world.violations, NO_VIOLATIONS);
  t.deepEqual(countStates(world), { done: FLOWS });
});

test('a late announcement of an earlier target does not unregister the agent of the present one', (t) => {
  const { world, agent } = startDeregisteredTarget(205);
  const earlier = agent.target;
  world.startTarget(agent);
  world.runFor(8_000);
  const flows = Array.from({ length: 12 }, () => world.openFlow(MAP_DESTINATION, 20, 200));
  world.runFor(500);
  agent.heartbeats = false;
  world.startAgent(agent);
  world.sendDeregistration(agent, earlier);
  world.restartAgent(agent, RESTART_MS);
  world.runFor(2_000);
  agent.heartbeats = true;
  world.runFor(15_000);
  t.deepEqual(world.violations, NO_VIOLATIONS);
  t.true(flows.every(({ state }) => state === 'done'));
});

test('its flows are reset within 300 ms once it has ended and its agent stops', (t) => {
  const { world, agent, held, events } = startDeregisteredTarget(206);
  agent.target.alive = false;
  world.runFor(20);
  agent.node.beginStop(() => agent.process.kill());
  world.runFor(50);
  t.false(world.store.agents.items.has(String(agent.address)));
  t.true(events.includes(Events.agentUnregistered));
  world.runFor(REQUEST_PAUSE_MS + 50);
  t.is(countStates(world)['reset'], held);
});

test('its flows are reset within a second once it has ended, while its agent runs on', (t) => {
  const { world, agent, held } = startDeregisteredTarget(207);
  agent.target.alive = false;
  world.runFor(1_000);
  t.is(countStates(world)['reset'], held);
  t.false(world.store.agents.items.has(String(agent.address)));
});

test('its flows are reset within a second if it ends while its agent restarts', (t) => {
  const { world, agent, held } = startDeregisteredTarget(208);
  world.restartAgent(agent, RESTART_MS);
  world.runFor(100);
  agent.target.alive = false;
  world.runFor(RESTART_MS + 1_000);
  t.is(countStates(world)['reset'], held);
});

test('a new target beside the same agent gets flows as soon as it sends a heartbeat', (t) => {
  const { world, agent } = startDeregisteredTarget(209);
  world.restartAgent(agent, RESTART_MS);
  world.runFor(RESTART_MS + 50);
  world.startTarget(agent);
  const before = agent.openings.length;
  for (let flow = 0; flow < FLOWS; flow++) {
    world.openFlow(MAP_DESTINATION, 2, 50);
    world.runFor(20);
  }
  t.true(agent.openings.length > before);
  t.true(world.store.agents.items.has(String(agent.address)));
});

test('entries of targets that have ended do not stay in the registry', (t) => {
  const { world, agent } = startDeregisteredTarget(210);
  for (let release = 0; release < 20; release++) {
    agent.target.alive = false;
    world.restartAgent(agent, RESTART_MS);
    world.runFor(100);
    t.false(world.store.agents.items.has(String(agent.address)));
    world.runFor(RESTART_MS);
    world.startTarget(agent);
    world.runFor(4_000);
    t.true(world.store.agents.items.has(String(agent.address)));
    world.deregister(agent);
    world.runFor(1_000);
  }
  world.deregister(agent);
  agent.process.kill();
  agent.target.alive = false;
  world.runFor(15_000);
  t.false(world.store.agents.items.has(String(agent.address)), 'nor does that of a lost machine');
});

const AGENT = { address: 1, service: 'map', zone: 'north' };

/** A directory with one registered agent whose target has deregistered. */
function createDirectory(frameVersion: number, flowKnowledge: 0 | 2): AgentDirectory {
  const directory = new AgentDirectory();
  directory.upsert(AGENT, 5, 0);
  const report = createReport({
    state: TargetState.gone,
    openFlows: 4,
    frameVersion,
    flowKnowledge,
  });
  directory.recordReport(AGENT.address, report, 10);
  return directory;
}

test('an unregistered agent that reports stays known until it reports that its target has ended', (t) => {
  const serving = createDirectory(7, FlowKnowledge.partial);
  serving.markUnregistered(AGENT.address, 20);
  t.truthy(serving.find(AGENT.address));
  const ended = createDirectory(7, FlowKnowledge.noTarget);
  ended.markUnregistered(AGENT.address, 20);
  t.is(ended.find(AGENT.address), undefined);
});

test('an agent of an earlier version, which reports no end, is dropped with its entry', (t) => {
  const directory = createDirectory(6, FlowKnowledge.partial);
  directory.markUnregistered(AGENT.address, 20);
  t.is(directory.find(AGENT.address), undefined);
});

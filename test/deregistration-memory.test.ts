/**
 * Guards against new flows at a target whose deregistration was acknowledged and then forgotten.
 *
 * The acknowledgement binds after its giver has ended. Kept in memory alone, it was lost when the agent
 * and the balancers were killed together, or replaced one after the other, while the target served on.
 */
import test from 'ava';
import { Ok } from 'ts-results';
import { AgentObjects, readAgent } from '../platform/agent-objects';
import { ObjectApi } from '../platform/object-api';
import { packEndpoint, parseEndpoint } from '../src/core/endpoint';
import { AgentDirectory } from '../src/packets/agent-directory';
import { AgentRegistration, type AgentListing } from '../src/packets/agent-registration';
import { acceptsNewFlows } from '../src/packets/agent-selection';
import { NodeTimers } from '../src/packets/node-timers';
import { ListingState, TargetState, type AgentRecord } from '../src/packets/packet-messages';
import { decodeSnapshotText, encodeSnapshotText } from '../src/packets/peer-snapshot';
import type { TargetIncarnation } from '../src/packets/target-incarnation';
import {
  PacketSimulation,
  type PacketSimulationAgent,
} from '../src/simulation/packets/packet-simulation';
import { MAP_DESTINATION, startModelDeployment } from '../src/simulation/packets/random-faults';
import { SeededRandom } from '../src/simulation/seeded-random';
import { SimulatedProcess } from '../src/simulation/simulated-process';
import { VirtualClock } from '../src/simulation/virtual-clock';
import { awaitAnswer } from './support/answers';
import { ObjectApiStandin } from './support/object-api-standin';
import { createReport } from './support/reports';
import { NO_VIOLATIONS } from './support/violations';

const FLOWS = 12;
const OUTAGE_MS = 600;
const OPENING_INTERVAL_MS = 50;

interface DeregisteredTarget {
  readonly world: PacketSimulation;
  readonly agent: PacketSimulationAgent;
}

/** Starts a deployment with open flows, one of whose targets deregisters and serves on. */
function startDeregisteredTarget(seed: number, balancers = 3): DeregisteredTarget {
  const world = new PacketSimulation(seed);
  startModelDeployment(world, balancers);
  for (let flow = 0; flow < FLOWS; flow++) {
    world.openFlow(MAP_DESTINATION, 60, 200);
  }
  world.runFor(4_000);
  const agent = world.agents[0]!;
  world.deregister(agent);
  world.runFor(300);
  return { world, agent };
}

/** Kills all agents and balancers, whose targets keep running, and starts them again. */
function restartAllProcesses(world: PacketSimulation): void {
  [...world.balancers, ...world.agents].forEach(({ process }) => process.kill());
  world.runFor(OUTAGE_MS);
  world.balancers.forEach((balancer) => world.startBalancer(balancer));
  world.agents.forEach((agent) => world.startAgent(agent));
}

/** Opens flows for a time in milliseconds. */
function openFlowsFor(world: PacketSimulation, milliseconds: number): void {
  for (let elapsed = 0; elapsed < milliseconds; elapsed += OPENING_INTERVAL_MS) {
    world.openFlow(MAP_DESTINATION, 1, 50);
    world.runFor(OPENING_INTERVAL_MS);
  }
}

/** Whether every balancer would place new flows at an agent's target. */
function isAccepted({ world, agent }: DeregisteredTarget): boolean {
  return world.balancers.every(({ node }) => {
    const entry = node.directory.find(agent.address);
    return entry !== undefined && acceptsNewFlows(entry);
  });
}

/** Counts the openings that reach an agent's target while flows are opened. */
function countOpenings({ world, agent }: DeregisteredTarget, milliseconds: number): number {
  const before = agent.openings.length;
  openFlowsFor(world, milliseconds);
  return agent.openings.length - before;
}

test('it is remembered after all processes were killed at once', (t) => {
  const { world, agent } = startDeregisteredTarget(301);
  restartAllProcesses(world);
  world.runFor(1_000);
  t.is(countOpenings({ world, agent }, 4_000), 0);
  world.runFor(15_000);
  t.deepEqual(world.violations, NO_VIOLATIONS);
});

test('it is remembered when they are killed at the moment of the acknowledgement', (t) => {
  const { world, agent } = startDeregisteredTarget(302);
  const second = world.agents[1]!;
  world.deregister(second);
  while (second.target.acknowledgedAt === undefined) {
    world.runFor(0.1);
  }
  restartAllProcesses(world);
  world.runFor(1_000);
  t.is(countOpenings({ world, agent: second }, 4_000), 0);
  t.is(countOpenings({ world, agent }, 1_000), 0);
  t.deepEqual(world.violations, NO_VIOLATIONS);
});

test('it is remembered after the agent and then all balancers were restarted', (t) => {
  const { world, agent } = startDeregisteredTarget(303);
  world.restartAgent(agent, OUTAGE_MS);
  world.runFor(1_500);
  for (const balancer of world.balancers) {
    world.startBalancer(balancer);
    world.runFor(800);
  }
  t.is(countOpenings({ world, agent }, 4_000), 0);
  t.deepEqual(world.violations, NO_VIOLATIONS);
});

test('it is recorded again after the store was restored from a copy without it', (t) => {
  const world = new PacketSimulation(304);
  startModelDeployment(world);
  world.runFor(2_000);
  const backup = world.store.createBackup();
  const agent = world.agents[0]!;
  world.deregister(agent);
  world.runFor(1_000);
  world.store.restoreFrom(backup);
  world.runFor(4_000);
  restartAllProcesses(world);
  world.runFor(1_000);
  t.is(countOpenings({ world, agent }, 4_000), 0);
  t.deepEqual(world.violations, NO_VIOLATIONS);
});

test('it is recorded again after its entry was removed', (t) => {
  const { world, agent } = startDeregisteredTarget(305);
  world.runFor(4_000);
  world.store.removeAgentEntry(String(agent.address));
  world.runFor(5_000);
  restartAllProcesses(world);
  world.runFor(1_000);
  t.is(countOpenings({ world, agent }, 4_000), 0);
});

test('a late heartbeat of the deregistered target does not bring it back after a restart', (t) => {
  const { world, agent } = startDeregisteredTarget(306);
  restartAllProcesses(world);
  world.runFor(1_000);
  world.sendLateHeartbeat(agent);
  t.is(countOpenings({ world, agent }, 4_000), 0);
  t.deepEqual(world.violations, NO_VIOLATIONS);
});

for (const [how, isSameId] of [
  ['with another name', false],
  ['under the same name', true],
] as const) {
  test(`a target that starts ${how} beside a restarted agent gets flows with its first heartbeat`, (t) => {
    const { world, agent } = startDeregisteredTarget(307);
    restartAllProcesses(world);
    world.runFor(700);
    const { id } = agent.target.identity;
    world.startTarget(agent, 'map', isSameId ? id : undefined);
    world.runFor(50);
    t.true(isAccepted({ world, agent }));
    t.true(countOpenings({ world, agent }, 4_000) > 0);
    const entry = world.store.agents.items.get(String(agent.address));
    t.is(entry?.item.deregistered, undefined, 'the entry does not name the earlier target');
    restartAllProcesses(world);
    world.runFor(1_000);
    t.true(countOpenings({ world, agent }, 2_000) > 0, 'nor is it kept out by a restart');
    t.deepEqual(world.violations, NO_VIOLATIONS);
  });
}

test('a successor gets flows if the agent restarts between the deregistration and its start', (t) => {
  const { world, agent } = startDeregisteredTarget(308);
  agent.target.alive = false;
  world.restartAgent(agent, OUTAGE_MS);
  world.runFor(OUTAGE_MS + 100);
  world.startTarget(agent);
  // Its entry was removed with the earlier target's end: only the seeds know of the agent at once.
  world.runFor(1_500);
  t.true(isAccepted({ world, agent }));
  t.true(countOpenings({ world, agent }, 4_000) > 0);
});

test('a late announcement of an earlier target keeps its successor out until a heartbeat only', (t) => {
  const { world, agent } = startDeregisteredTarget(309);
  const earlier = agent.target;
  world.startTarget(agent);
  world.runFor(3_000);
  world.startAgent(agent);
  world.sendDeregistration(agent, earlier);
  world.runFor(2_000);
  t.true(countOpenings({ world, agent }, 1_000) > 0);
  t.is(world.store.agents.items.get(String(agent.address))?.item.deregistered, undefined);
});

test('an acknowledgement does not wait for a store that is away, and is recorded afterwards', (t) => {
  const world = new PacketSimulation(310);
  startModelDeployment(world);
  world.runFor(2_000);
  const agent = world.agents[0]!;
  world.store.isDown = true;
  const before = world.clock.now;
  world.deregister(agent);
  world.runFor(600);
  t.true(agent.target.acknowledgedAt! - before <= 500);
  world.store.isDown = false;
  world.runFor(5_000);
  restartAllProcesses(world);
  world.runFor(1_000);
  t.is(countOpenings({ world, agent }, 3_000), 0);
});

test('a target that drains, deregisters and ends costs no write of its deregistration', (t) => {
  const world = new PacketSimulation(311);
  startModelDeployment(world);
  world.runFor(4_000);
  const agent = world.agents[0]!;
  world.drain(agent);
  world.runFor(3_000);
  const { registrations } = agent.node.figures;
  world.deregister(agent);
  agent.target.alive = false;
  world.runFor(50);
  t.truthy(agent.target.acknowledgedAt);
  agent.node.beginStop(() => agent.process.kill());
  world.runFor(1_000);
  t.is(agent.node.figures.registrations - registrations, 1, 'the removal of its entry');
});

const AGENT: AgentRecord = {
  address: packEndpoint('10.0.0.1', 7_000),
  service: 'map',
  zone: 'north',
};
const TARGET: TargetIncarnation = { incarnation: 'i-7', born: 1_764_800_000_123 };
const DEREGISTERED_AGENT: AgentRecord = { ...AGENT, deregistered: TARGET };

test('a balancer that knows only the registry sends no new flow to a deregistered target', (t) => {
  const directory = new AgentDirectory();
  const listed = directory.upsert(DEREGISTERED_AGENT, 5, 0);
  t.false(acceptsNewFlows(listed));
  t.true(directory.mayHoldFlows(listed));
  const restarted = createReport({ state: TargetState.unknown });
  t.false(acceptsNewFlows(directory.recordReport(AGENT.address, restarted, 10)!));
  const successor = createReport({ sequence: 2 });
  t.true(acceptsNewFlows(directory.recordReport(AGENT.address, successor, 20)!));
  directory.upsert(DEREGISTERED_AGENT, 5, 30);
  t.true(acceptsNewFlows(directory.find(AGENT.address)!), 'the agent knows better than the entry');
});

test('a snapshot names deregistered targets; one of an earlier version names none', (t) => {
  const agents = [
    { ...DEREGISTERED_AGENT, revision: 4 },
    { ...AGENT, address: AGENT.address + 1, revision: 5 },
  ];
  const position = { viewComplete: true, registryRevision: 6, storeEra: 2 };
  const text = encodeSnapshotText({ routingTable: undefined, agents, ...position });
  t.deepEqual(decodeSnapshotText(text).unwrap().agents, agents);
  const earlier = { ...(JSON.parse(text) as object), deregistrations: undefined };
  const [agent] = decodeSnapshotText(JSON.stringify(earlier)).unwrap().agents;
  t.deepEqual(agent, { ...AGENT, revision: 4 });
});

test('the stored entry keeps a deregistered target until it is replaced', async (t) => {
  const standin = new ObjectApiStandin();
  const api = new ObjectApi(parseEndpoint(await standin.start()).unwrap());
  t.teardown(() => (api.close(), standin.stop()));
  const registry = new AgentObjects(api);
  const register = (agent: AgentRecord): Promise<AgentRecord> =>
    awaitAnswer<AgentRecord>((answer) => registry.register(agent, answer)).then((result) =>
      result.unwrap(),
    );
  const replace = (agent: AgentRecord): Promise<unknown> =>
    awaitAnswer<void>((answer) => registry.replace(agent, answer)).then((result) =>
      result.unwrap(),
    );
  await replace(DEREGISTERED_AGENT);
  t.deepEqual(await register(AGENT), DEREGISTERED_AGENT, 'it is not overwritten');
  await replace(AGENT);
  t.deepEqual(await register(AGENT), AGENT);
  t.deepEqual(standin.get('agents', '10-0-0-1'), {
    address: '10.0.0.1:7000',
    service: 'map',
    zone: 'north',
  });
  await replace(DEREGISTERED_AGENT);
  const other = { ...AGENT, service: 'tiles' };
  t.deepEqual(await register(other), other, 'another service has taken over the address');
});

test('an entry whose deregistered target is malformed is invalid as a whole', (t) => {
  const spec = { address: '10.0.0.1:7000', service: 'map', zone: 'north' };
  const read = (deregistered: unknown): AgentRecord | undefined =>
    readAgent({ name: '10-0-0-1', revision: 1, spec: { ...spec, deregistered } });
  t.deepEqual(read(undefined), AGENT);
  t.deepEqual(read({ incarnation: 'i-7' }), { ...AGENT, deregistered: { incarnation: 'i-7' } });
  t.deepEqual(read(TARGET), DEREGISTERED_AGENT);
  const longName = 'i'.repeat(256);
  for (const malformed of [null, 7, 'i-7', [], {}, { incarnation: 7 }, { incarnation: longName }]) {
    t.is(read(malformed), undefined);
  }
  t.is(read({ incarnation: 'i-7', born: 'early' }), undefined);
  t.is(read({ incarnation: 'i-7', born: 1.5 }), undefined);
});

/** A registration whose store records every write. */
class RegistrationHarness {
  readonly clock = new VirtualClock();
  readonly written: AgentRecord[] = [];
  readonly found: TargetIncarnation[] = [];
  record: AgentRecord = AGENT;
  readonly registration: AgentRegistration;

  constructor() {
    const random = new SeededRandom(1);
    const environment = new SimulatedProcess('a', 'z', 'm', this.clock, random, () => undefined);
    this.registration = new AgentRegistration({
      environment,
      registry: {
        register: (agent: AgentRecord, answer: (result: Ok<AgentRecord>) => void) =>
          answer(new Ok(agent)),
        replace: (agent: AgentRecord, answer: (result: Ok<undefined>) => void) => {
          this.written.push(agent);
          answer(new Ok(undefined));
        },
      } as never,
      timers: new NodeTimers(environment),
      getRecord: () => this.record,
      isTargetPresent: () => true,
      onDeregistrationFound: (incarnation) => this.found.push(incarnation),
      onDeregistrationStored: () => undefined,
    });
  }

  /** Reports the entry as a balancer does that knows the agent's latest write. */
  reportListed(fields: Partial<AgentListing>): void {
    this.clock.runUntil(this.clock.now + 4_000);
    const listing = ListingState.listed;
    const report = { listing, deregistered: undefined, reportsDeregistration: true };
    this.registration.applyListing({ ...report, ...fields });
  }
}

test('a balancer of an earlier version does not make an agent write its entry again', (t) => {
  const harness = new RegistrationHarness();
  harness.record = DEREGISTERED_AGENT;
  harness.reportListed({ reportsDeregistration: true });
  t.deepEqual(harness.written, [DEREGISTERED_AGENT], 'this balancer misses it');
  harness.reportListed({ reportsDeregistration: false });
  t.is(harness.written.length, 1, 'this one cannot tell');
  harness.reportListed({ deregistered: TARGET });
  t.is(harness.written.length, 1);
  harness.record = AGENT;
  harness.reportListed({ deregistered: TARGET });
  t.deepEqual(harness.written.at(-1), AGENT, 'another target has started');
  t.deepEqual(harness.found.at(-1), TARGET);
});

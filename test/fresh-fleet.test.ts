/**
 * Guards against facts that balancers' memory alone, or agents' memory alone, holds: after all of them
 * were lost at once, a fresh fleet keeps the same guarantees. docs/PACKETS.md lists the facts.
 */
import test from 'ava';
import {
  PacketSimulation,
  type PacketSimulationAgent,
} from '../src/simulation/packets/packet-simulation';
import {
  MAP_DESTINATION,
  MODEL_ROUTES,
  openModelFlows,
  startModelDeployment,
} from '../src/simulation/packets/random-faults';
import { NO_VIOLATIONS } from './support/violations';

const RESTART_MS = 600;
const HEARTBEAT_MS = 1_100;
const COLD_RATE = 3;
/** The rate with the overshoot and the slack of the simulation. */
const COLD_LIMIT = 5;
const EJECTION_MS = 5_000;

function startWorld(seed: number): PacketSimulation {
  const world = new PacketSimulation(seed);
  startModelDeployment(world);
  return world;
}

function restartBalancers(world: PacketSimulation): void {
  world.balancers.forEach(({ process }) => process.kill());
  world.runFor(RESTART_MS);
  world.balancers.forEach((balancer) => world.startBalancer(balancer));
}

function restartAgents(world: PacketSimulation): void {
  world.agents.forEach(({ process }) => process.kill());
  world.runFor(RESTART_MS);
  world.agents.forEach((agent) => world.startAgent(agent));
}

function restartBalancersAndAgents(world: PacketSimulation): void {
  world.agents.forEach(({ process }) => process.kill());
  restartBalancers(world);
  world.agents.forEach((agent) => world.startAgent(agent));
}

const LOSSES: Readonly<Record<string, (world: PacketSimulation) => void>> = {
  'all balancers': restartBalancers,
  'all agents': restartAgents,
  'all balancers and agents': restartBalancersAndAgents,
};

function findMapAgent(world: PacketSimulation): PacketSimulationAgent {
  return world.agents.find(({ service }) => service === 'map')!;
}

/** Opens short flows for a time in milliseconds; returns the openings that reached an agent's target. */
function countOpenings(
  world: PacketSimulation,
  { openings }: PacketSimulationAgent,
  milliseconds: number,
): number {
  const before = openings.length;
  for (let passed = 0; passed < milliseconds; passed += 50) {
    openModelFlows(world, 12, 1, 50);
    world.runFor(50);
  }
  return openings.length - before;
}

function countMostInASecond(openings: readonly number[]): number {
  const spans = openings.map((at) => openings.filter((one) => one >= at && one < at + 1_000));
  return Math.max(0, ...spans.map(({ length }) => length));
}

for (const [what, lose] of Object.entries(LOSSES)) {
  test(`holders of flows: found after the loss of ${what}`, (t) => {
    const world = startWorld(601);
    openModelFlows(world, 40, 30, 250);
    world.runFor(1_000);
    lose(world);
    world.runFor(20_000);
    t.deepEqual(world.violations, NO_VIOLATIONS);
    t.true(world.clients.every(({ state }) => state === 'done'));
  });

  test(`handshakes under way: completed after the loss of ${what}`, (t) => {
    const world = startWorld(602);
    openModelFlows(world, 40, 3, 100);
    world.runFor(4);
    lose(world);
    world.runFor(8_000);
    t.deepEqual(world.violations, NO_VIOLATIONS);
    t.true(world.clients.every(({ state }) => state !== 'open'));
  });

  test(`a draining target gets no new flow after the loss of ${what}`, (t) => {
    const world = startWorld(603);
    const agent = findMapAgent(world);
    world.drain(agent);
    world.runFor(3_500);
    lose(world);
    const { length: before } = agent.openings;
    // An agent that has started learns its target's state from the next heartbeat.
    if (what !== 'all balancers') {
      world.runFor(HEARTBEAT_MS);
    }
    t.is(countOpenings(world, agent, 3_000), 0);
    t.is(agent.openings.length, before);
  });

  test(`a zone out of service gets no new flow after the loss of ${what}`, (t) => {
    const world = startWorld(604);
    world.store.evacuate('north');
    world.runFor(500);
    lose(world);
    const agents = world.agents.filter(({ zone }) => zone === 'north');
    const before = agents.map(({ openings }) => openings.length);
    openModelFlows(world, 60, 1, 50);
    world.runFor(3_000);
    t.deepEqual(
      agents.map(({ openings }) => openings.length),
      before,
    );
  });

  test(`a cold target stays within its rate after the loss of ${what}`, (t) => {
    const world = startWorld(605);
    world.configure(2, MODEL_ROUTES, [
      { service: 'map', latencyGoal: 0, coldTime: 3_000, coldRate: COLD_RATE },
    ]);
    world.runFor(1_000);
    const agent = findMapAgent(world);
    world.coldTime = 4_000;
    world.startTarget(agent);
    const { length: before } = agent.openings;
    countOpenings(world, agent, 700);
    lose(world);
    countOpenings(world, agent, 2_000);
    const most = countMostInASecond(agent.openings.slice(before));
    t.true(most > 0 && most <= COLD_LIMIT, `${most} new flows in a second`);
  });

  test(`a failing target is ejected again after the loss of ${what}`, (t) => {
    const world = startWorld(606);
    const agent = findMapAgent(world);
    agent.target.isFailing = true;
    countOpenings(world, agent, EJECTION_MS);
    lose(world);
    countOpenings(world, agent, EJECTION_MS);
    t.true(world.balancers.every(({ node }) => node.figures.agentsSetAside === 1));
  });

  test(`a store restored from a backup: no flow is reset after the loss of ${what}`, (t) => {
    const world = startWorld(607);
    const backup = world.store.createBackup();
    world.addAgent('map', 'south');
    world.runFor(4_000);
    for (let flow = 0; flow < 60; flow++) {
      world.openFlow(MAP_DESTINATION, 30, 250);
    }
    world.runFor(1_000);
    world.store.restoreFrom(backup);
    lose(world);
    world.runFor(15_000);
    t.deepEqual(world.violations, NO_VIOLATIONS);
    t.true(world.clients.every(({ state }) => state === 'done'));
  });

  test(`an agent that the store refuses keeps its flows after the loss of ${what}`, (t) => {
    const world = startWorld(608);
    const refused = `agent-${world.agents.length}`;
    world.store.refusedProcesses.add(refused);
    world.addAgent('map', 'south');
    world.runFor(6_000);
    for (let flow = 0; flow < 60; flow++) {
      world.openFlow(MAP_DESTINATION, 30, 250);
    }
    world.runFor(1_000);
    lose(world);
    world.runFor(15_000);
    t.deepEqual(world.violations, NO_VIOLATIONS);
    t.true(world.clients.every(({ state }) => state === 'done'));
  });
}

/** Searches in groups where a service has many targets, in virtual time. */
import test from 'ava';
import { PacketSimulation } from '../src/simulation/packets/packet-simulation';
import { MAP_DESTINATION } from '../src/simulation/packets/random-faults';

const AGENTS = 80;
const FLOWS = 60;

function startManyAgents(seed: number): PacketSimulation {
  const world = new PacketSimulation(seed);
  world.configure(1, new Map([[MAP_DESTINATION, ['map']]]));
  for (let index = 0; index < 3; index++) {
    world.addBalancer('north');
  }
  for (let index = 0; index < AGENTS; index++) {
    world.addAgent('map', index % 4 === 0 ? 'north' : 'south');
  }
  world.runFor(4_000);
  for (let index = 0; index < FLOWS; index++) {
    world.openFlow(MAP_DESTINATION, 40, 250);
  }
  world.runFor(2_000);
  return world;
}

function countReset(world: PacketSimulation): number {
  return world.clients.filter(({ state }) => state === 'reset').length;
}

test('after a power loss all clients are reset within a second of their next packet', (t) => {
  const world = startManyAgents(71);
  world.restartAll(800);
  world.runFor(2_200);
  t.is(countReset(world), FLOWS);
});

test('all processes are killed: every flow continues, and soon reaches its target again', (t) => {
  const world = startManyAgents(72);
  [...world.balancers, ...world.agents].forEach(({ process }) => process.kill());
  world.runFor(500);
  world.balancers.forEach((balancer) => world.startBalancer(balancer));
  world.agents.forEach((agent) => world.startAgent(agent));
  world.runFor(20_000);
  t.deepEqual(world.violations.flowsReset, []);
  t.deepEqual(world.violations.strayed, []);
  t.is(world.clients.filter(({ state }) => state === 'done').length, FLOWS);
});

test('agents and balancers restart in turn: no flow is reset, none loses its target for long', (t) => {
  const world = startManyAgents(73);
  world.agents.slice(0, 24).forEach((agent, index) => {
    agent.node.beginStop(() => agent.process.kill());
    if (index % 8 === 0) {
      world.startBalancer(world.balancers[index / 8]!);
    }
    world.runFor(400);
    world.startAgent(agent);
  });
  world.runFor(15_000);
  t.deepEqual(world.violations.flowsReset, []);
  t.deepEqual(world.violations.strayed, []);
  t.is(world.clients.filter(({ state }) => state === 'done').length, FLOWS);
});

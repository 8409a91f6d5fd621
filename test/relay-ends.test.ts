/** A relaying balancer that starts to route packets itself, without recent reports of agents. */
import test from 'ava';
import { Events } from '../src/logging/events';
import { MODEL_ROUTES, openModelFlows } from '../src/simulation/packets/random-faults';
import {
  PacketSimulation,
  type PacketSimulationBalancer,
} from '../src/simulation/packets/packet-simulation';
import type { EventSink } from '../src/simulation/simulated-process';
import { NO_VIOLATIONS } from './support/violations';

const RELAYING_CAPACITY = 0.03;
const ZONES = ['north', 'south', 'east', 'west'] as const;
/** Time between two requests of a flow. */
const REQUEST_INTERVAL_MS = 3_000;
const REQUESTS = 100;
/** Time to handle a frame that takes 1.5 ms of CPU time, on 0.03 CPUs. */
const FRAME_TIME_MS = 50;

/** Starts two routing balancers and a relaying one per zone, 32 agents, and flows that then idle. */
function startIdleFlows(seed: number, events?: EventSink): PacketSimulation {
  const world = new PacketSimulation(seed, events);
  world.configure(1, MODEL_ROUTES);
  for (const zone of [...ZONES, ...ZONES]) {
    world.addBalancer(zone);
  }
  for (const zone of ZONES) {
    world.addBalancer(zone, RELAYING_CAPACITY);
  }
  for (let index = 0; index < 32; index++) {
    world.addAgent(index % 5 === 4 ? 'tiles' : 'map', ZONES[index % ZONES.length]!);
  }
  world.runFor(12_000);
  openModelFlows(world, 100, REQUESTS, REQUEST_INTERVAL_MS);
  world.runFor(14_000);
  return world;
}

function splitByCapacity(world: PacketSimulation): {
  routing: PacketSimulationBalancer[];
  relaying: PacketSimulationBalancer[];
} {
  const routing = world.balancers.filter(({ capacity }) => capacity > RELAYING_CAPACITY);
  const relaying = world.balancers.filter(({ capacity }) => capacity === RELAYING_CAPACITY);
  return { routing, relaying };
}

/** Makes a balancer handle its frames one after the other, each with a delay. */
function delayFrames(
  world: PacketSimulation,
  { address, node, process }: PacketSimulationBalancer,
): void {
  let freeAt = 0;
  world.network.bind(address, process, (frame, from) => {
    const bytes = Buffer.from(frame);
    freeAt = Math.max(freeAt, world.clock.now) + FRAME_TIME_MS;
    const delay = freeAt - world.clock.now;
    world.clock.schedule(delay, () => process.run(() => node.handleFrame(bytes, from)));
  });
}

function countRejected(world: PacketSimulation): number {
  return world.agents.reduce((sum, { node }) => sum + node.counters.packetsReturned, 0);
}

function countAnswers(world: PacketSimulation): number {
  return world.clients.reduce((sum, { answers }) => sum + answers, 0);
}

// Guards against packets of open flows sent to targets that do not hold them (FLOW).
test('a balancer that starts to route queries agents without reports before any offer to a target', (t) => {
  const world = startIdleFlows(2);
  const { routing } = splitByCapacity(world);
  const before = countRejected(world);
  const answered = countAnswers(world);
  routing.forEach(({ process }) => process.kill());
  world.runFor(5_000);
  t.is(countRejected(world) - before, 0);
  t.true(countAnswers(world) - answered >= 100, `${countAnswers(world) - answered} answers`);
  t.deepEqual(world.violations, NO_VIOLATIONS);
});

// Guards against FLOW: a balancer short of CPU sent packets to wrong targets for two seconds.
test('a balancer that handles frames slowly offers no packet to a target without its flow', (t) => {
  const world = startIdleFlows(3);
  const { routing, relaying } = splitByCapacity(world);
  relaying.forEach((balancer) => delayFrames(world, balancer));
  const before = countRejected(world);
  routing.forEach(({ process }) => process.kill());
  world.runFor(8_000);
  t.deepEqual(world.violations, NO_VIOLATIONS);
  t.is(countRejected(world) - before, 0);
});

// Guards against FLOW where a balancer starts while agents run and gets their reports one by one.
test('a just started balancer that handles frames slowly offers no packet to a target without its flow', (t) => {
  const world = startIdleFlows(4);
  const { routing, relaying } = splitByCapacity(world);
  relaying.forEach(({ process }) => process.kill());
  const before = countRejected(world);
  routing.forEach((balancer) => {
    world.startBalancer(balancer);
    delayFrames(world, balancer);
  });
  world.runFor(8_000);
  t.deepEqual(world.violations, NO_VIOLATIONS);
  t.is(countRejected(world) - before, 0);
});

// Guards against a relaying balancer, which subscribes to no reports, removing entries of running agents.
test('a relaying balancer removes no agent when it gets a report of another one', (t) => {
  const removed: string[] = [];
  const world = startIdleFlows(5, (process, event) => {
    if (event === Events.agentRemoved) {
      removed.push(process);
    }
  });
  const { relaying } = splitByCapacity(world);
  world.agents[0]!.node.replaceSeeds(relaying.map(({ address }) => address));
  world.runFor(3_000);
  t.deepEqual(removed, []);
});

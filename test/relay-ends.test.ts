/** A balancer with little processor time that begins to route by itself, having heard no agent for long. */
import test from 'ava';
import { Events } from '../src/logging/events';
import { MODEL_ROUTES, openModelFlows } from '../src/simulation/packets/random-faults';
import { PacketWorld, type WorldBalancer } from '../src/simulation/packets/packet-world';
import type { EventSink } from '../src/simulation/simulated-process';
import { NO_VIOLATIONS } from './support/violations';

const WEAK = 0.03;
const ZONES = ['north', 'south', 'east', 'west'] as const;
/** Milliseconds between two requests of a flow. */
const PAUSE = 3_000;
const REQUESTS = 100;
/** Milliseconds for a frame where processor time is short: 0.03 processors in 1.5 ms of work. */
const FRAME_TIME = 50;

/** Two strong balancers and a weak one a zone, 32 agents, and flows that have rested for a while. */
function startRestingFlows(seed: number, events?: EventSink): PacketWorld {
  const world = new PacketWorld(seed, events);
  world.configure(1, MODEL_ROUTES);
  for (const zone of [...ZONES, ...ZONES]) {
    world.addBalancer(zone);
  }
  for (const zone of ZONES) {
    world.addBalancer(zone, WEAK);
  }
  for (let index = 0; index < 32; index++) {
    world.addAgent(index % 5 === 4 ? 'tiles' : 'map', ZONES[index % ZONES.length]!);
  }
  world.runFor(12_000);
  openModelFlows(world, 100, REQUESTS, PAUSE);
  world.runFor(14_000);
  return world;
}

function splitByStrength(world: PacketWorld): { strong: WorldBalancer[]; weak: WorldBalancer[] } {
  const strong = world.balancers.filter(({ capacity }) => capacity > WEAK);
  const weak = world.balancers.filter(({ capacity }) => capacity === WEAK);
  return { strong, weak };
}

/** From now on a balancer takes one frame after the other, each for a while. */
function readSlowly(world: PacketWorld, { address, node, process }: WorldBalancer): void {
  let isFreeAt = 0;
  world.network.bind(address, process, (frame, from) => {
    const bytes = Buffer.from(frame);
    isFreeAt = Math.max(isFreeAt, world.clock.now) + FRAME_TIME;
    const delay = isFreeAt - world.clock.now;
    world.clock.schedule(delay, () => process.run(() => node.handleFrame(bytes, from)));
  });
}

function countReturned(world: PacketWorld): number {
  return world.agents.reduce((sum, { node }) => sum + node.counters.packetsReturned, 0);
}

function countAnswers(world: PacketWorld): number {
  return world.clients.reduce((sum, { answers }) => sum + answers, 0);
}

// Guards against packets of open flows at targets that do not hold them (FLOW).
test('a balancer that begins to route asks the agents it has not heard before it touches a target', (t) => {
  const world = startRestingFlows(2);
  const { strong } = splitByStrength(world);
  const before = countReturned(world);
  const answered = countAnswers(world);
  strong.forEach(({ process }) => process.kill());
  world.runFor(5_000);
  t.is(countReturned(world) - before, 0);
  t.true(countAnswers(world) - answered >= 100, `${countAnswers(world) - answered} answers`);
  t.deepEqual(world.violations, NO_VIOLATIONS);
});

// Guards against FLOW: two seconds of packets at other targets only, from a balancer short of processor time.
test('a balancer that reads its frames slowly touches no target of another flow', (t) => {
  const world = startRestingFlows(3);
  const { strong, weak } = splitByStrength(world);
  weak.forEach((balancer) => readSlowly(world, balancer));
  const before = countReturned(world);
  strong.forEach(({ process }) => process.kill());
  world.runFor(8_000);
  t.deepEqual(world.violations, NO_VIOLATIONS);
  t.is(countReturned(world) - before, 0);
});

// Guards against FLOW where a balancer starts beside running agents and hears them one by one.
test('a balancer that has just started and reads slowly touches no target of another flow', (t) => {
  const world = startRestingFlows(4);
  const { strong, weak } = splitByStrength(world);
  weak.forEach(({ process }) => process.kill());
  const before = countReturned(world);
  strong.forEach((balancer) => {
    world.startBalancer(balancer);
    readSlowly(world, balancer);
  });
  world.runFor(8_000);
  t.deepEqual(world.violations, NO_VIOLATIONS);
  t.is(countReturned(world) - before, 0);
});

// Guards against entries of living agents removed by a balancer that gets no reports, and wants none.
test('a balancer that relays removes no agent when it hears another one', (t) => {
  const removed: string[] = [];
  const world = startRestingFlows(5, (process, event) => {
    if (event === Events.agentRemoved) {
      removed.push(process);
    }
  });
  const { weak } = splitByStrength(world);
  world.agents[0]!.node.replaceSeeds(weak.map(({ address }) => address));
  world.runFor(3_000);
  t.deepEqual(removed, []);
});

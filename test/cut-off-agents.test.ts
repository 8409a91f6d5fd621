/**
 * Guards against the loss for good of a target that was cut off from all balancers for longer than 12 s.
 *
 * Balancers remove the entry of a silent agent and forget it; its subscriptions expire, so that it
 * reports to nobody and is not told that its entry is gone. After the cut neither spoke first.
 */
import test from 'ava';
import { acceptsNewFlows } from '../src/packets/agent-selection';
import { NodeTimers } from '../src/packets/node-timers';
import { SubscriberSearch } from '../src/packets/subscriber-search';
import { Subscribers } from '../src/packets/subscribers';
import {
  PacketSimulation,
  type PacketSimulationAgent,
} from '../src/simulation/packets/packet-simulation';
import { MAP_DESTINATION, startModelDeployment } from '../src/simulation/packets/random-faults';
import { SeededRandom } from '../src/simulation/seeded-random';
import type { NetworkCut } from '../src/simulation/simulated-network';
import { SimulatedProcess } from '../src/simulation/simulated-process';
import { VirtualClock } from '../src/simulation/virtual-clock';
import { NO_VIOLATIONS } from './support/violations';

const CUT_MS = 16_000;
/** Time after the begin of the cut by which balancers have removed the agent. */
const REMOVED_MS = 14_800;
/** Time after the end of the cut in which the target is found again. */
const FOUND_MS = 2_000;

/** Cuts an agent off from all balancers; returns the function that heals the cut. */
function cutOff(world: PacketSimulation, { name }: PacketSimulationAgent): () => void {
  const cuts: NetworkCut[] = world.balancers.flatMap((balancer) => [
    { from: name, to: balancer.name },
    { from: balancer.name, to: name },
  ]);
  cuts.forEach((cut) => world.network.cut(cut));
  return () => cuts.forEach((cut) => world.network.heal(cut));
}

function isFound(world: PacketSimulation, { address }: PacketSimulationAgent): boolean {
  return world.balancers
    .filter(({ process }) => process.isRunning)
    .every(({ node }) => {
      const entry = node.directory.find(address);
      return (
        entry !== undefined &&
        node.directory.isHeard(entry, world.clock.now) &&
        acceptsNewFlows(entry)
      );
    });
}

function startWorld(seed: number): PacketSimulation {
  const world = new PacketSimulation(seed);
  startModelDeployment(world);
  world.runFor(3_000);
  return world;
}

const MEANWHILE: Readonly<Record<string, (world: PacketSimulation) => void>> = {
  'nothing else happens': () => undefined,
  'the store refuses the agent': (world) => void world.store.refusedProcesses.add('agent-0'),
  'the store is away until the end': (world) => {
    world.runFor(CUT_MS - 1_000);
    world.store.isDown = true;
    world.clock.schedule(2_000, () => (world.store.isDown = false));
  },
  'all balancers restart': (world) => {
    world.runFor(13_000);
    world.balancers.forEach((balancer) => world.startBalancer(balancer));
  },
};

for (const [what, act] of Object.entries(MEANWHILE)) {
  test(`a target that was cut off for 16 s is found again; ${what}`, (t) => {
    const world = startWorld(501);
    const agent = world.agents[0]!;
    const end = world.clock.now + CUT_MS;
    const heal = cutOff(world, agent);
    let wasRemoved = false;
    world.clock.schedule(REMOVED_MS, () => {
      wasRemoved = world.balancers[0]!.node.directory.find(agent.address) === undefined;
    });
    act(world);
    world.clock.runUntil(end);
    t.true(wasRemoved);
    heal();
    world.runFor(FOUND_MS);
    t.true(isFound(world, agent));
    for (let flow = 0; flow < 40; flow++) {
      world.openFlow(MAP_DESTINATION, 2, 50);
      world.runFor(40);
    }
    world.runFor(3_000);
    t.true(agent.target.requestsRun > 0);
    t.true(world.store.agents.items.has(String(agent.address)), 'and registered');
    t.deepEqual(world.violations, NO_VIOLATIONS);
  });
}

test('a target is found again after all balancers were replaced by others during the cut', (t) => {
  const world = startWorld(502);
  const agent = world.agents[0]!;
  const heal = cutOff(world, agent);
  world.runFor(13_000);
  const before = [...world.balancers];
  ['north', 'south', 'east'].forEach((zone) => world.addBalancer(zone));
  const others = world.balancers.filter((one) => !before.includes(one));
  const cuts = others.flatMap(({ name }) => [
    { from: agent.name, to: name },
    { from: name, to: agent.name },
  ]);
  cuts.forEach((cut) => world.network.cut(cut));
  world.runFor(3_000);
  before.forEach(({ process }) => process.kill());
  heal();
  cuts.forEach((cut) => world.network.heal(cut));
  world.runFor(FOUND_MS);
  t.true(isFound(world, agent));
});

test('an agent that has subscribers neither searches nor registers', (t) => {
  const clock = new VirtualClock();
  const environment = new SimulatedProcess(
    'a',
    'z',
    'm',
    clock,
    new SeededRandom(1),
    () => undefined,
  );
  let hasSubscribers = true;
  const calls = { reports: 0, registrations: 0 };
  new SubscriberSearch({
    timers: new NodeTimers(environment),
    now: () => clock.now,
    hasSubscribers: () => hasSubscribers,
    report: () => calls.reports++,
    register: () => calls.registrations++,
  }).start();
  clock.runUntil(20_000);
  t.deepEqual(calls, { reports: 0, registrations: 0 });
  hasSubscribers = false;
  clock.runUntil(31_900);
  t.is(calls.registrations, 0, 'its entry may still be there');
  clock.runUntil(80_000);
  t.true(calls.reports >= 110);
  t.is(calls.registrations, 2, 'calls to the store are few');
});

test('the balancers whose subscriptions expired last are remembered, eight of them', (t) => {
  const subscribers = new Subscribers();
  for (let balancer = 1; balancer <= 12; balancer++) {
    subscribers.renew(balancer, balancer * 10_000, 250);
    subscribers.listActive(balancer * 10_000);
  }
  t.deepEqual(subscribers.listActive(200_000), []);
  t.deepEqual(subscribers.former, [12, 11, 10, 9, 8, 7, 6, 5]);
});

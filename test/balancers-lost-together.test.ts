/**
 * Guards against resets of open flows whose route has lost their service, when every balancer that knew
 * the version before is gone: only the agents, or only the targets, know of these flows then.
 */
import test from 'ava';
import {
  PacketSimulation,
  type PacketSimulationBalancer,
} from '../src/simulation/packets/packet-simulation';
import {
  MAP_DESTINATION,
  startModelDeployment,
  TILE_DESTINATION,
} from '../src/simulation/packets/random-faults';
import { countDone, countMapOpenings, MOVED, ORIGINAL } from './support/moved-route';
import { NO_VIOLATIONS } from './support/violations';

const FLOWS = 24;
const REQUESTS = 40;
const REQUEST_PAUSE_MS = 250;
const RESTART_MS = 600;
const FLOW_LIFETIME_MS = 60_000;
const DEAD_FLOW_RESET_MS = 300;

/**
 * Starts a deployment with open flows of the map route.
 * @param coldTime 0 for services that do not say how long a target is cold, so that an agent cannot know
 *   that it has seen all flows of its target
 */
function startWorld(seed: number, coldTime = 0, requests = REQUESTS): PacketSimulation {
  const world = new PacketSimulation(seed);
  world.coldTime = coldTime;
  startModelDeployment(world);
  world.configure(2, ORIGINAL);
  world.runFor(2_000);
  openMapFlows(world, requests);
  world.runFor(1_000);
  return world;
}

function openMapFlows(world: PacketSimulation, requests = REQUESTS): void {
  for (let flow = 0; flow < FLOWS; flow++) {
    world.openFlow(MAP_DESTINATION, requests, REQUEST_PAUSE_MS);
  }
}

function killBalancers(world: PacketSimulation): void {
  world.balancers.forEach(({ process }) => process.kill());
}

function restartBalancers(world: PacketSimulation): void {
  killBalancers(world);
  world.runFor(RESTART_MS);
  world.balancers.forEach((balancer) => world.startBalancer(balancer));
}

function restartBalancersAndAgents(world: PacketSimulation): void {
  killBalancers(world);
  world.agents.forEach(({ process }) => process.kill());
  world.runFor(RESTART_MS);
  world.agents.forEach((agent) => world.startAgent(agent));
  world.balancers.forEach((balancer) => world.startBalancer(balancer));
}

function stopBalancersAsPlanned(world: PacketSimulation): void {
  world.balancers.forEach(({ node }) => node.beginStop());
  world.runFor(1_200);
  restartBalancers(world);
}

function replaceBalancersInTurn(world: PacketSimulation): void {
  for (const balancer of world.balancers) {
    balancer.process.kill();
    world.runFor(100);
    world.startBalancer(balancer);
  }
}

/** What ends the memory of the version before. */
const LOSSES: Readonly<Record<string, (world: PacketSimulation) => void>> = {
  'all balancers are killed': restartBalancers,
  'all balancers are stopped as planned': stopBalancersAsPlanned,
  'all balancers and agents are killed': restartBalancersAndAgents,
  'the balancers are replaced in turn within a status interval': replaceBalancersInTurn,
};
const DELAYS_MS = [100, 1_500] as const;

for (const [how, lose] of Object.entries(LOSSES)) {
  for (const delay of DELAYS_MS) {
    for (const coldTime of [0, 2_000]) {
      test(`open flows of a moved route go on; ${how} ${delay} ms after it, cold time ${coldTime}`, (t) => {
        const world = startWorld(501, coldTime);
        world.configure(3, MOVED);
        world.runFor(delay);
        lose(world);
        world.runFor(25_000);
        t.deepEqual(world.violations, NO_VIOLATIONS);
        t.is(countDone(world), FLOWS);
      });
    }
  }
}

for (const share of [0.5, 0.95]) {
  test(`open flows of a moved route go on; all balancers are killed at ${share} of their lifetime`, (t) => {
    const world = startWorld(502, 0, 220);
    world.configure(3, MOVED);
    world.runFor(share * FLOW_LIFETIME_MS - 1_000);
    restartBalancers(world);
    world.runFor(30_000);
    t.deepEqual(world.violations, NO_VIOLATIONS);
    t.is(countDone(world), FLOWS);
  });
}

test('a balancer that joins goes on with flows of a moved route, cut off from all other balancers', (t) => {
  const world = startWorld(503);
  world.configure(3, MOVED);
  world.runFor(1_500);
  const others = [...world.balancers];
  const joining = world.addBalancer('east');
  isolate(world, joining, others);
  world.runFor(1_500);
  others.forEach(({ process }) => process.kill());
  world.runFor(25_000);
  t.deepEqual(world.violations, NO_VIOLATIONS);
  t.is(countDone(world), FLOWS);
});

function isolate(
  world: PacketSimulation,
  balancer: PacketSimulationBalancer,
  others: readonly PacketSimulationBalancer[],
): void {
  for (const { name } of others) {
    world.network.cut({ from: name, to: balancer.name });
    world.network.cut({ from: balancer.name, to: name });
  }
}

test('flows go on at one of more than 64 services that routes have lost, after a balancer restarts', (t) => {
  const world = new PacketSimulation(504);
  world.coldTime = 0;
  startModelDeployment(world);
  const lost = Array.from({ length: 80 }, (_, index) => MAP_DESTINATION + 1 + index);
  const before = new Map([...ORIGINAL, ...lost.map((one) => [one, ['map']] as const)]);
  const after = new Map([...MOVED, ...lost.map((one) => [one, ['tiles']] as const)]);
  world.configure(2, before);
  world.runFor(2_000);
  lost.forEach((destination) => world.openFlow(destination, REQUESTS, REQUEST_PAUSE_MS));
  world.runFor(1_000);
  world.configure(3, after);
  world.runFor(1_500);
  world.startBalancer(world.balancers[0]!);
  world.runFor(25_000);
  t.deepEqual(world.violations, NO_VIOLATIONS);
  t.is(countDone(world), lost.length);
});

test('new flows and copies of opening packets go by the latest version after all balancers are lost', (t) => {
  const world = startWorld(505);
  world.configure(3, MOVED);
  world.runFor(1_500);
  restartBalancersAndAgents(world);
  const before = countMapOpenings(world);
  openMapFlows(world, 2);
  world.runFor(8_000);
  t.is(countMapOpenings(world), before);
  t.deepEqual(world.violations, NO_VIOLATIONS);
});

test('flows of a dropped route are still reset after all balancers are lost', (t) => {
  const world = startWorld(506);
  world.configure(3, new Map([[TILE_DESTINATION, ['tiles']]]));
  world.runFor(100);
  restartBalancers(world);
  world.runFor(2_000);
  t.is(world.clients.filter(({ state }) => state === 'reset').length, FLOWS);
});

for (const route of ['moved', 'unchanged']) {
  test(`a dead flow of a route that is ${route} is reset in time after all balancers are lost`, (t) => {
    const world = startWorld(507);
    world.configure(3, route === 'moved' ? MOVED : ORIGINAL);
    world.runFor(1_500);
    restartBalancers(world);
    world.runFor(1_500);
    const agent = world.agents.find(
      ({ service, target }) => service === 'map' && target.flows.size > 0,
    )!;
    const held = world.clients.filter((client) => world.findHolder(client) === agent);
    world.startTarget(agent);
    world.runFor(REQUEST_PAUSE_MS + DEAD_FLOW_RESET_MS);
    t.true(held.length > 0);
    t.true(held.every(({ state }) => state === 'reset'));
  });
}

test('an address that passed to another service runs nothing of the flows before', (t) => {
  const world = startWorld(508);
  world.configure(3, MOVED);
  world.runFor(100);
  killBalancers(world);
  const agent = world.agents.find(({ service }) => service === 'map')!;
  const successor = world.startTarget(agent, 'tiles');
  world.runFor(RESTART_MS);
  world.balancers.forEach((balancer) => world.startBalancer(balancer));
  world.runFor(10_000);
  t.deepEqual(world.violations, NO_VIOLATIONS);
  t.is(successor.flows.size, 0);
});

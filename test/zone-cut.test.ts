/** Two zones that cannot reach each other, while a third zone reaches both. */
import test from 'ava';
import { ZoneDetour } from '../src/packets/zone-detour';
import { ZoneReachability } from '../src/packets/zone-reachability';
import { PacketSimulation } from '../src/simulation/packets/packet-simulation';
import {
  MAP_DESTINATION,
  openModelFlows,
  startModelDeployment,
} from '../src/simulation/packets/random-faults';

const AGENTS = 24;

function createReach(zones: readonly string[], agentsEach: number): ZoneReachability {
  const reach = new ZoneReachability();
  for (const zone of zones) {
    for (let agent = 0; agent < agentsEach; agent++) {
      reach.adjustAgentCount(zone, 1);
    }
    reach.recordReport(zone, 0);
  }
  return reach;
}

test('a zone is unresponsive once none of its agents reports while those of others do', (t) => {
  const reach = createReach(['north', 'south'], 8);
  reach.recordReport('north', 500);
  t.true(reach.isSilent('south', AGENTS, 500));
  t.false(reach.isSilent('south', AGENTS, 240));
  t.false(reach.isSilent('north', AGENTS, 500));
  reach.recordReport('south', 510);
  t.false(reach.isSilent('south', AGENTS, 520));
});

test('no zone counts as unresponsive without any reports, or with few agents', (t) => {
  const reach = createReach(['north', 'south'], 8);
  t.false(reach.isSilent('south', AGENTS, 2_000));
  const few = createReach(['north', 'south'], 3);
  few.recordReport('north', 2_000);
  t.false(few.isSilent('south', AGENTS, 2_000));
});

test('a detour goes through a ready balancer of a third zone, the same for all packets of a flow', (t) => {
  const detour = new ZoneDetour('north');
  t.is(detour.findBalancer('f', 'south', 0), undefined);
  detour.recordStatus(1, 'north', true, 0);
  detour.recordStatus(2, 'south', true, 0);
  detour.recordStatus(3, 'east', false, 0);
  t.is(detour.findBalancer('f', 'south', 1), undefined);
  detour.recordStatus(4, 'east', true, 0);
  detour.recordStatus(5, 'west', true, 0);
  const found = detour.findBalancer('f', 'south', 1);
  t.true(found === 4 || found === 5);
  t.is(detour.findBalancer('f', 'south', 2), found);
  detour.recordStatus(found!, 'east', false, 3);
  t.not(detour.findBalancer('f', 'south', 4), found);
  t.is(detour.findBalancer('f', 'south', 20_000), undefined);
});

function cutZones(world: PacketSimulation, one: string, other: string): () => void {
  const nodes = [...world.balancers, ...world.agents];
  const findNames = (zone: string): string[] =>
    nodes.filter((node) => node.zone === zone).map(({ name }) => name);
  const cuts = findNames(one).flatMap((from) =>
    findNames(other).flatMap((to) => [
      { from, to },
      { from: to, to: from },
    ]),
  );
  cuts.forEach((cut) => world.network.cut(cut));
  return () => cuts.forEach((cut) => world.network.heal(cut));
}

function startWorld(seed: number): PacketSimulation {
  const world = new PacketSimulation(seed);
  startModelDeployment(world, 6);
  for (const zone of ['north', 'south', 'east']) {
    for (let index = 0; index < 8; index++) {
      world.addAgent('map', zone);
    }
  }
  world.runFor(5_000);
  return world;
}

test('flows between partitioned zones continue through the third zone without resets', (t) => {
  const world = startWorld(41);
  // Evacuating north makes its balancers place flows in other zones.
  world.store.evacuate('north');
  world.runFor(500);
  const flows = Array.from({ length: 90 }, () => world.openFlow(MAP_DESTINATION, 40, 100));
  world.runFor(500);
  world.store.cancelEvacuation('north');
  world.runFor(500);
  const heal = cutZones(world, 'north', 'south');
  world.runFor(1_000);
  const before = flows.map(({ answers }) => answers);
  world.runFor(1_500);
  const unanswered = flows.filter(
    ({ answers, state }, index) => state === 'open' && answers === before[index],
  );
  const detoured = world.balancers.reduce(
    (sum, { node }) => sum + node.router.counters.packetsDetoured,
    0,
  );
  t.true(detoured > 0);
  t.true(unanswered.length <= 2, `${unanswered.length} flows got no answer`);
  heal();
  world.runFor(12_000);
  t.deepEqual(world.violations.flowsReset, []);
  t.deepEqual(world.violations.doubled, []);
  t.true(flows.every(({ state }) => state === 'done'));
});

test('new flows are placed only in zones that their balancer reaches', (t) => {
  const world = startWorld(42);
  cutZones(world, 'north', 'south');
  world.runFor(1_000);
  const flows = world.clients.length;
  openModelFlows(world, 60, 2, 50);
  world.runFor(180);
  const opened = world.clients.slice(flows).filter(({ state }) => state !== 'opening');
  t.true(opened.length >= 58, `${opened.length} of 60 opened without a copy`);
});

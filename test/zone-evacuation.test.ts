/** Evacuated zones: propagation of evacuations and their effect on flows. */
import test from 'ava';
import { ZoneEvacuationView } from '../src/packets/zone-evacuations';
import {
  encodeModelPacket,
  ModelFlag,
  modelPacketFormat,
} from '../src/simulation/packets/model-packet-format';
import { PacketSimulation } from '../src/simulation/packets/packet-simulation';
import {
  MAP_DESTINATION,
  openModelFlows,
  startModelDeployment,
} from '../src/simulation/packets/random-faults';
import { RouterHarness } from './support/router-harness';

/** Time within which deployments require an evacuation to take effect. */
const EVACUATE_TIME_MS = 5_000;

function createView(): { view: ZoneEvacuationView; changed: string[][] } {
  const changed: string[][] = [];
  const view = new ZoneEvacuationView(new RouterHarness([]).environment, (zones) =>
    changed.push([...zones]),
  );
  return { view, changed };
}

test('a later revision replaces the known state, an earlier one is ignored', (t) => {
  const { view, changed } = createView();
  t.false(view.isKnown);
  view.apply({ era: 1, revision: 20, zones: ['south'] }, 'peer');
  view.apply({ era: 1, revision: 15, zones: ['north', 'south'] }, 'peer');
  t.deepEqual(view.current, { era: 1, revision: 20, zones: ['south'] });
  view.apply({ era: 1, revision: 25, zones: ['north'] }, 'peer');
  t.false(view.isEvacuated('south'));
  t.true(view.isEvacuated('north'));
  view.apply({ era: 1, revision: 30, zones: ['north'] }, 'peer');
  view.apply({ era: 1, revision: 28, zones: [] }, 'peer');
  t.true(view.isEvacuated('north'));
  t.deepEqual(changed, [['south'], ['north', 'south']]);
});

test('the first known state is notified even if no zone is out of service', (t) => {
  const { view, changed } = createView();
  view.applyListing({ items: [], skipped: 0, era: 1, revision: 4 });
  t.true(view.isKnown);
  t.deepEqual(changed, [[]]);
});

test('changes of the store apply in order, except those already known from peers', (t) => {
  const { view } = createView();
  const item = { zone: 'south' };
  const change = (revision: number, removed: boolean) =>
    ({ name: 'south', item, revision, removed }) as const;
  view.applyListing({ items: [], skipped: 0, era: 1, revision: 4 });
  view.applyChanges({ skipped: 0, changes: [change(6, false)], era: 1, revision: 6 });
  t.true(view.isEvacuated('south'));
  // A peer announces the zone's return; a call that began earlier still returns all changes.
  view.apply({ era: 1, revision: 9, zones: [] }, 'peer');
  view.applyChanges({
    skipped: 0,
    changes: [change(6, false), change(9, true)],
    era: 1,
    revision: 9,
  });
  t.false(view.isEvacuated('south'));
  view.applyChanges({
    skipped: 0,
    changes: [change(11, false), change(12, true)],
    era: 1,
    revision: 12,
  });
  t.deepEqual(view.current, { era: 1, revision: 12, zones: [] });
});

test('new flows avoid targets of an evacuated zone, open ones stay there', (t) => {
  const harness = new RouterHarness([2, 2]);
  const [first] = harness.agents;
  harness.directory.recordReport(
    first!,
    { ...harness.directory.find(first!)!.report!, zone: 'south', sequence: 9 },
    harness.now,
  );
  harness.evacuatedZones = ['south'];
  for (let client = 1; client <= 20; client++) {
    harness.router.route(harness.createOpening(client));
  }
  t.true(harness.sent.every(({ to }) => to !== first));
  const data = harness.createData(99);
  harness.router.confirmHolder(modelPacketFormat.decodeFromClient(data)!.flow, first!);
  harness.router.route(data);
  t.is(harness.sent.at(-1)!.to, first);
});

test('a client is reset at once when all targets of its service are out of service', (t) => {
  const harness = new RouterHarness([2, 2]);
  harness.evacuatedZones = ['north'];
  harness.router.route(harness.createOpening(7));
  t.deepEqual(harness.resets, [7]);
  t.deepEqual(harness.sent, []);
});

function startWorld(seed: number, balancers = 3): PacketSimulation {
  const world = new PacketSimulation(seed);
  startModelDeployment(world, balancers);
  return world;
}

/** Counts the opening packets that the targets of a zone have received so far. */
function countOpened(world: PacketSimulation, zone: string): number {
  const agents = world.agents.filter((agent) => agent.zone === zone);
  return agents.reduce((sum, { openings }) => sum + openings.length, 0);
}

/** Opens flows for a while and counts those that went to a zone. */
function countNewFlows(world: PacketSimulation, zone: string): number {
  const before = countOpened(world, zone);
  openModelFlows(world, 60, 2, 100);
  world.runFor(1_500);
  return countOpened(world, zone) - before;
}

test('open flows of an evacuated zone continue, new ones go elsewhere until it is restored', (t) => {
  const world = startWorld(11);
  openModelFlows(world, 40, 30, 200);
  world.runFor(1_000);
  t.true(countOpened(world, 'north') > 0);
  world.store.evacuate('north');
  world.runFor(300);
  t.is(countNewFlows(world, 'north'), 0);
  world.store.cancelEvacuation('north');
  world.runFor(300);
  t.true(countNewFlows(world, 'north') > 0);
  world.runFor(15_000);
  t.deepEqual(world.violations.flowsReset, []);
  t.true(world.clients.every(({ state }) => state === 'done'));
});

test('a zone evacuated and restored within a second is in service everywhere', (t) => {
  const world = startWorld(12);
  world.store.evacuate('north');
  world.runFor(2);
  world.store.cancelEvacuation('north');
  world.runFor(400);
  world.store.evacuate('south');
  world.runFor(3);
  world.store.cancelEvacuation('south');
  world.store.evacuate('south');
  world.runFor(600);
  t.true(countNewFlows(world, 'north') > 0);
  t.is(countNewFlows(world, 'south'), 0);
  t.deepEqual(
    world.balancers.map(({ node }) => node.figures.zonesEvacuated),
    [1, 1, 1],
  );
});

test('two zones may be out of service at the same time', (t) => {
  const world = startWorld(13);
  world.store.evacuate('north');
  world.store.evacuate('east');
  world.runFor(400);
  t.is(countNewFlows(world, 'north'), 0);
  t.is(countNewFlows(world, 'east'), 0);
  t.true(countNewFlows(world, 'south') > 0);
});

test('balancers that the store refuses learn of an evacuation from peers in time', (t) => {
  const world = startWorld(14, 14);
  world.balancers.slice(0, 5).forEach(({ name }) => world.store.refusedProcesses.add(name));
  world.runFor(4_000);
  world.store.evacuate('north');
  world.runFor(EVACUATE_TIME_MS - 500);
  t.is(countNewFlows(world, 'north'), 0);
  t.true(world.balancers.every(({ node }) => node.figures.zonesEvacuated === 1));
});

test('both readers die as a zone is evacuated: other balancers read it in time', (t) => {
  const world = startWorld(15, 14);
  world.runFor(4_000);
  world.balancers
    .filter(({ node }) => node.figures.readsStore)
    .forEach(({ process }) => process.kill());
  world.store.evacuate('north');
  world.runFor(EVACUATE_TIME_MS - 500);
  t.is(countNewFlows(world, 'north'), 0);
});

test('restarted balancers and agents know an evacuation before they place or accept flows', (t) => {
  const world = startWorld(16);
  world.store.evacuate('north');
  world.runFor(500);
  const before = countOpened(world, 'north');
  world.startBalancer(world.balancers[0]!);
  world.agents.filter(({ zone }) => zone === 'north').forEach((agent) => world.startAgent(agent));
  for (let round = 0; round < 20; round++) {
    openModelFlows(world, 4, 1, 50);
    world.runFor(100);
  }
  t.is(countOpened(world, 'north'), before);
});

test('after a total power loss no flow opens in an evacuated zone', (t) => {
  const world = startWorld(17);
  world.store.evacuate('north');
  world.runFor(500);
  world.restartAll(800);
  const before = countOpened(world, 'north');
  for (let round = 0; round < 30; round++) {
    openModelFlows(world, 4, 1, 50);
    world.runFor(100);
  }
  t.is(countOpened(world, 'north'), before);
  t.true(countOpened(world, 'south') > 0);
});

test('agents refuse flows of a balancer that does not know of the evacuation', (t) => {
  const world = startWorld(18);
  const [stale, ...others] = world.balancers;
  world.store.refusedProcesses.add(stale!.name);
  for (const { name } of others) {
    world.network.cut({ from: name, to: stale!.name });
  }
  world.runFor(1_000);
  world.store.evacuate('north');
  world.runFor(2_500);
  t.is(stale!.node.figures.zonesEvacuated, 0);
  const before = countOpened(world, 'north');
  const { node } = stale!;
  for (let flow = 0; flow < 40; flow++) {
    const client = 0x0ac8_0001_0000 + flow;
    node.handleClientDatagram(
      encodeModelPacket({
        client,
        destination: MAP_DESTINATION,
        flags: ModelFlag.opens,
        sequence: 0,
        acknowledgement: 0,
      }),
    );
  }
  world.runFor(500);
  t.is(countOpened(world, 'north'), before);
});

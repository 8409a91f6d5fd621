/**
 * Guards against outdated routing tables after the store is restored from a backup some seconds old.
 * The store then reuses revisions. Without eras, the long polls of balancers that each read for
 * themselves continued from a revision that the store had passed a second time, and the tables
 * written before it were never applied. The cases differ in whether the store has passed the old
 * revision when it is asked again; `packet-store-copy.test.ts` runs them against real processes.
 *
 * Also guards against resets of live flows: a balancer that starts after the restore reads a
 * registry or table without the latest entries, and must not consider it complete.
 */
import test from 'ava';
import { packEndpoint } from '../src/core/endpoint';
import type { Endpoint } from '../src/environment';
import { REWRITE_TIME_MS } from '../src/packets/store-position';
import { PacketSimulation } from '../src/simulation/packets/packet-simulation';
import {
  MAP_DESTINATION,
  MODEL_ROUTES,
  startModelDeployment,
  TILE_DESTINATION,
} from '../src/simulation/packets/random-faults';

/** Time within which deployments require a table change to be active. */
const APPLY_TIME_MS = 3_000;
/** Time for which the simulation's verifier considers a route still propagating. */
const VERIFIER_APPLY_TIME_MS = 6_000;
const LARGE_CLUSTER_SIZE = 30;
/** Route that only later tables have. */
const ADDED = packEndpoint('198.18.0.9', 8_443);
const ADDED_ROUTES: ReadonlyMap<Endpoint, readonly string[]> = new Map([
  ...MODEL_ROUTES,
  [ADDED, ['map']],
]);

function startWorld(seed: number, balancers = 3): PacketSimulation {
  const world = new PacketSimulation(seed);
  startModelDeployment(world, balancers);
  world.runFor(5_000);
  return world;
}

function getVersions(world: PacketSimulation): number[] {
  return world.balancers.map(({ node }) => node.figures.routingVersion);
}

function repeatVersion(world: PacketSimulation, version: number): number[] {
  return world.balancers.map(() => version);
}

/**
 * Restores the store, after an outage, from a backup that lacks version 2; the operator writes it
 * again and then version 3, before any balancer asks.
 * @param isPastOldRevision whether the store's revision is past the old one by then
 * @param outageMs time for which the store does not answer; 0: waiting calls are only cut
 */
function restoreWithChanges(
  world: PacketSimulation,
  isPastOldRevision: boolean,
  outageMs: number,
): void {
  const { store } = world;
  const backup = store.createBackup();
  store.advanceRevision(20);
  world.configure(2, MODEL_ROUTES);
  world.runFor(1_000);
  store.isDown = outageMs > 0;
  world.runFor(outageMs);
  store.restoreFrom(backup);
  world.configure(2, MODEL_ROUTES);
  world.configure(3, MODEL_ROUTES);
  store.advanceRevision(isPastOldRevision ? 40 : 0);
  store.isDown = false;
}

for (const { isPastOldRevision, outageMs, balancers } of [
  { isPastOldRevision: true, outageMs: 700, balancers: 3 },
  { isPastOldRevision: false, outageMs: 700, balancers: 3 },
  { isPastOldRevision: true, outageMs: 0, balancers: 3 },
  { isPastOldRevision: true, outageMs: 700, balancers: LARGE_CLUSTER_SIZE },
  { isPastOldRevision: true, outageMs: 0, balancers: LARGE_CLUSTER_SIZE },
  { isPastOldRevision: false, outageMs: 0, balancers: LARGE_CLUSTER_SIZE },
]) {
  const where = isPastOldRevision ? 'past the old revisions' : 'below the old revisions';
  test(`a table written after a restore is active in time: ${balancers} balancers, outage ${outageMs} ms, ${where}`, (t) => {
    const world = startWorld(51, balancers);
    restoreWithChanges(world, isPastOldRevision, outageMs);
    world.runFor(APPLY_TIME_MS);
    t.deepEqual(getVersions(world), repeatVersion(world, 3));
  });
}

test('the store is restored twice in a row', (t) => {
  const world = startWorld(53);
  restoreWithChanges(world, true, 0);
  world.runFor(300);
  const backup = world.store.createBackup();
  world.configure(4, MODEL_ROUTES);
  world.runFor(100);
  world.store.restoreFrom(backup);
  world.configure(4, MODEL_ROUTES);
  world.configure(5, MODEL_ROUTES);
  world.store.advanceRevision(60);
  world.runFor(APPLY_TIME_MS);
  t.deepEqual(getVersions(world), repeatVersion(world, 5));
});

test('a balancer that the store refuses gets the agents of the new era from its peers', (t) => {
  const world = startWorld(54);
  const [refused] = world.balancers;
  world.store.refusedProcesses.add(refused!.name);
  world.store.advanceRevision(500);
  const lost = world.addAgent('map', 'north');
  world.runFor(2_000);
  world.store.restoreFrom({ ...world.store.createBackup(), agents: [] });
  world.runFor(8_000);
  t.is(world.store.agents.items.size, world.agents.length, 'all agents are listed again');
  const added = world.addAgent('map', 'south');
  world.runFor(3_000);
  t.truthy(refused!.node.directory.find(added.address)?.registryRevision);
  t.truthy(refused!.node.directory.find(lost.address)?.registryRevision);
});

test('a balancer started after a restore resets no flow of an agent missing from the backup', (t) => {
  for (let seed = 60; seed < 66; seed++) {
    const world = startWorld(seed, 2);
    const backup = world.store.createBackup();
    // The new agent reports half an interval after the others.
    world.runFor(125);
    world.addAgent('map', 'south');
    world.runFor(4_000);
    for (let index = 0; index < 60; index++) {
      world.openFlow(MAP_DESTINATION, 60, 40);
    }
    // Agents report every 250 ms: the balancers start at various times between two reports.
    world.runFor(1_000 + 40 * (seed - 60));
    world.store.restoreFrom(backup);
    world.balancers.forEach((balancer) => world.startBalancer(balancer));
    world.runFor(6_000);
    t.deepEqual(world.violations.flowsReset, [], `seed ${seed}`);
  }
});

test('a balancer started after a restore resets no flow of a route missing from the backup', (t) => {
  const world = startWorld(57);
  const backup = world.store.createBackup();
  world.configure(2, ADDED_ROUTES);
  world.runFor(2 * VERIFIER_APPLY_TIME_MS);
  for (let index = 0; index < 30; index++) {
    world.openFlow(ADDED, 60, 40);
    world.openFlow(TILE_DESTINATION, 60, 40);
  }
  world.runFor(500);
  world.store.restoreFrom(backup);
  world.balancers.forEach((balancer) => world.startBalancer(balancer));
  // The operator writes the lost table again.
  world.clock.schedule(1_500, () => world.configure(2, ADDED_ROUTES));
  world.runFor(4_000);
  t.deepEqual(world.violations.flowsReset, []);
  t.deepEqual(getVersions(world), repeatVersion(world, 2));
});

test('a balancer started while the store is outdated gets the later table from its peers', (t) => {
  const world = startWorld(58);
  const backup = world.store.createBackup();
  world.configure(2, ADDED_ROUTES);
  world.runFor(2_000);
  world.store.restoreFrom(backup);
  const [balancer] = world.balancers;
  world.startBalancer(balancer!);
  world.runFor(1_000);
  t.deepEqual(getVersions(world), repeatVersion(world, 2));
});

test('agents missing from the backup register themselves again, once each, without balancers', (t) => {
  const world = startWorld(59, LARGE_CLUSTER_SIZE);
  for (let index = 0; index < 24; index++) {
    world.addAgent('map', 'north');
  }
  world.runFor(6_000);
  const listRegistrations = (): number[] =>
    world.agents.map(({ node }) => node.figures.registrations);
  const countRegistryCalls = (): number =>
    world.balancers.reduce((sum, { node }) => sum + node.figures.registryCalls, 0);
  const before = listRegistrations();
  const callsBefore = countRegistryCalls();
  world.store.restoreFrom({ ...world.store.createBackup(), agents: [] });
  world.runFor(REWRITE_TIME_MS);
  t.is(world.store.agents.items.size, world.agents.length);
  t.deepEqual(
    listRegistrations().map((count, index) => count - before[index]!),
    world.agents.map(() => 1),
  );
  t.is(countRegistryCalls(), callsBefore);
  t.deepEqual(
    world.balancers.map(({ node }) => node.figures.agentsKnown),
    world.balancers.map(() => world.agents.length),
  );
});

test('an entry of a stopped agent that a restore has brought back is removed again', (t) => {
  const world = startWorld(60);
  const gone = world.addAgent('map', 'north');
  world.runFor(3_000);
  const backup = world.store.createBackup();
  gone.process.kill();
  gone.target.alive = false;
  world.store.removeAgentEntry(String(gone.address));
  world.runFor(5_000);
  world.store.restoreFrom(backup);
  world.runFor(1_000);
  t.true(world.store.agents.items.has(String(gone.address)), 'the backup has it');
  world.runFor(15_000);
  t.false(world.store.agents.items.has(String(gone.address)));
  world.balancers.forEach(({ node }) => t.is(node.directory.find(gone.address), undefined));
});

/**
 * Restore of the store from a backup some seconds old: later writes are lost, revisions are reused,
 * and the era is one higher.
 */
import { setTimeout as pause } from 'node:timers/promises';
import test from 'ava';
import { AgentObjects } from '../platform/agent-objects';
import { ObjectApi } from '../platform/object-api';
import { createRoutingTableCollection } from '../platform/routing-document';
import { packEndpoint, parseEndpoint } from '../src/core/endpoint';
import { ResultCodes } from '../src/errors/result-codes';
import { Events, type EventFields, type EventKind } from '../src/logging/events';
import { AgentDirectory } from '../src/packets/agent-directory';
import type { Changes, RevisionedItem } from '../src/packets/collection-port';
import type { AgentRecord } from '../src/packets/packet-messages';
import { RegistryView } from '../src/packets/registry-view';
import type { RoutingTable } from '../src/packets/routing-table';
import { ViewConvergence } from '../src/packets/startup/view-convergence';
import {
  isLater,
  resolveEra,
  REWRITE_TIME_MS,
  type StorePosition,
} from '../src/packets/store-position';
import { UNKNOWN_EVACUATIONS, ZoneEvacuationView } from '../src/packets/zone-evacuations';
import { PacketSimulation } from '../src/simulation/packets/packet-simulation';
import { MODEL_ROUTES, startModelDeployment } from '../src/simulation/packets/random-faults';
import { awaitAnswer } from './support/answers';
import { ObjectApiStandin } from './support/object-api-standin';
import { RouterHarness } from './support/router-harness';

const AGENT: AgentRecord = {
  address: parseEndpoint('10.0.0.1:7000').unwrap(),
  service: 'map',
  zone: 'north',
};

interface LoggedEvent {
  readonly event: EventKind;
  readonly fields: EventFields;
}

/** Starts a model deployment, runs it for a while and collects its log events. */
function startLoggingWorld(seed: number): { world: PacketSimulation; events: LoggedEvent[] } {
  const events: LoggedEvent[] = [];
  const world = new PacketSimulation(seed, (_process, event, fields) => {
    events.push({ event, fields });
  });
  startModelDeployment(world);
  world.runFor(5_000);
  return { world, events };
}

test('every answer carries the era of the store; without it the last known era, or 0, applies', async (t) => {
  const standin = new ObjectApiStandin();
  const api = new ObjectApi(parseEndpoint(await standin.start()).unwrap());
  t.teardown(() => (api.close(), standin.stop()));
  const collection = createRoutingTableCollection(api);
  const first = (await awaitAnswer(collection.list.bind(collection))).unwrap();
  standin.restoreFrom(standin.createBackup());
  // The first call may still use a connection that the restore has closed.
  const afterRestore = await awaitAnswer(collection.list.bind(collection));
  const listed = afterRestore.ok
    ? afterRestore
    : await awaitAnswer(collection.list.bind(collection));
  const second = listed.unwrap();
  t.is(second.era, first.era + 1);
  standin.faultInjector = (_call, response) => {
    response.removeHeader('Store-Era');
    return false;
  };
  t.is((await awaitAnswer(collection.list.bind(collection))).unwrap().era, second.era, 'as before');
  const other = new ObjectApi(parseEndpoint(standin.address).unwrap());
  t.teardown(() => other.close());
  const unnamed = createRoutingTableCollection(other);
  t.is((await awaitAnswer(unnamed.list.bind(unnamed))).unwrap().era, 0);
});

test('a change of the era is logged with the eras before and after', (t) => {
  const { world, events } = startLoggingWorld(41);
  const listings = events.filter(({ event }) => event === Events.storeListed);
  t.true(listings.length > 0);
  t.true(listings.every(({ fields }) => fields['era'] === 1));
  const backup = world.store.createBackup();
  world.configure(2, MODEL_ROUTES);
  world.runFor(1_000);
  world.store.restoreFrom(backup);
  world.runFor(3_000);
  const changes = events.filter(({ event }) => event === Events.storeEraChanged);
  t.true(changes.length > 0);
  t.deepEqual([changes[0]!.fields['before'], changes[0]!.fields['after']], [1, 2]);
  world.balancers.forEach(({ node }) => t.is(node.figures.storeEra, 2));
});

test('a waiting call ends as soon as any other answer shows a later era', async (t) => {
  const standin = new ObjectApiStandin();
  const api = new ObjectApi(parseEndpoint(await standin.start()).unwrap());
  t.teardown(() => (api.close(), standin.stop()));
  const tables = createRoutingTableCollection(api);
  const position: StorePosition = (await awaitAnswer(tables.list.bind(tables))).unwrap();
  // The restore does not end this call: it keeps waiting, and only another call is answered.
  standin.faultInjector = (call) => call.url?.includes('watch') === true;
  const waiting = awaitAnswer<Changes<RoutingTable>>((answer) =>
    tables.awaitChanges(position, 10_000, answer),
  );
  await pause(50);
  standin.raiseEra();
  await awaitAnswer<void>((answer) => api.check(1_000, answer));
  const ended = await waiting;
  t.is(ended.err && ended.val.resultCode, ResultCodes.storeEraChanged);
  const late = await awaitAnswer<Changes<RoutingTable>>((answer) =>
    tables.awaitChanges(position, 10_000, answer),
  );
  t.is(late.err && late.val.resultCode, ResultCodes.storeEraChanged, 'not asked at all');
});

for (const status of [410, 503, 429]) {
  test(`a waiting call that the store refuses with ${status} reports the later era`, async (t) => {
    const standin = new ObjectApiStandin();
    const api = new ObjectApi(parseEndpoint(await standin.start()).unwrap());
    t.teardown(() => (api.close(), standin.stop()));
    const tables = createRoutingTableCollection(api);
    const position: StorePosition = (await awaitAnswer(tables.list.bind(tables))).unwrap();
    standin.raiseEra();
    standin.faultInjector = (_call, response) => (response.writeHead(status).end('{}'), true);
    const ended = await awaitAnswer<Changes<RoutingTable>>((answer) =>
      tables.awaitChanges(position, 10_000, answer),
    );
    t.is(ended.err && ended.val.resultCode, ResultCodes.storeEraChanged);
  });
}

test('a removal by a revision of an earlier era is not sent: it may match another entry', async (t) => {
  const standin = new ObjectApiStandin();
  const api = new ObjectApi(parseEndpoint(await standin.start()).unwrap());
  t.teardown(() => (api.close(), standin.stop()));
  const registry = new AgentObjects(api);
  (await awaitAnswer<AgentRecord>((answer) => registry.register(AGENT, answer))).unwrap();
  const { items, era } = (await awaitAnswer(registry.list.bind(registry))).unwrap();
  standin.raiseEra();
  await awaitAnswer(registry.list.bind(registry));
  const [{ revision }] = items as [RevisionedItem<AgentRecord>];
  const removal = await awaitAnswer<void>((answer) =>
    registry.remove(AGENT, { era, revision }, answer),
  );
  t.is(removal.err && removal.val.resultCode, ResultCodes.storeConflict);
  t.truthy(standin.get('agents', '10-0-0-1'));
});

test('positions are compared by era first; one without an era is assigned the known era', (t) => {
  t.true(isLater({ era: 2, revision: 5 }, { era: 1, revision: 90 }));
  t.false(isLater({ era: 1, revision: 90 }, { era: 2, revision: 5 }));
  t.false(isLater({ era: 2, revision: 5 }, { era: 2, revision: 5 }));
  t.deepEqual(resolveEra({ era: 0, revision: 7 }, { era: 3, revision: 5 }), {
    era: 3,
    revision: 7,
  });
});

function createAddress(machine: number): number {
  return packEndpoint(`10.0.0.${machine}`, 7_000);
}

interface ViewHarness {
  readonly directory: AgentDirectory;
  readonly view: RegistryView;
}

function createViewHarness(): ViewHarness {
  const directory = new AgentDirectory();
  const { environment } = new RouterHarness([]);
  const view = new RegistryView({
    environment,
    directory,
    self: createAddress(9),
    onChanged: () => undefined,
  });
  const createItem = (machine: number): RevisionedItem<AgentRecord> => ({
    name: String(machine),
    revision: 90,
    item: { ...AGENT, address: createAddress(machine) },
  });
  view.applyListing({ skipped: 0, era: 1, revision: 100, items: [createItem(1), createItem(2)] });
  return { directory, view };
}

test('agents that a later era does not list stay known as unregistered', (t) => {
  const { directory, view } = createViewHarness();
  view.applyListing({ skipped: 0, era: 2, revision: 80, items: [] });
  t.deepEqual(view.position, { era: 2, revision: 80 });
  t.is(directory.size, 2);
  t.is(directory.find(createAddress(1))!.registryRevision, undefined);
  t.true(
    directory.mayHoldFlows(directory.find(createAddress(1))!),
    'its flows must not be reset while it does not report',
  );
  const agent = { ...AGENT, address: createAddress(1), revision: 81 };
  view.applyDelta({ from: 80, to: 81, changes: [{ agent, removed: false }] }, 2);
  t.is(directory.find(createAddress(1))!.registryRevision, 81);
  t.is(directory.find(createAddress(1))!.lapsedAt, undefined);
});

test('updates of an earlier era register nothing, whatever their revisions', (t) => {
  const { directory, view } = createViewHarness();
  view.applyListing({ skipped: 0, era: 2, revision: 80, items: [] });
  const agent = { ...AGENT, address: createAddress(3), revision: 105 };
  view.applyDelta({ from: 80, to: 105, changes: [{ agent, removed: false }] }, 1);
  view.applyChanges({
    skipped: 0,
    era: 1,
    revision: 105,
    changes: [{ name: '3', revision: 105, item: agent, removed: false }],
  });
  t.is(directory.find(createAddress(3)), undefined);
  view.applySnapshot([agent], { era: 1, revision: 105 }, 'peer');
  t.is(directory.find(createAddress(3))!.registryRevision, undefined, 'known, but not registered');
  t.deepEqual(view.position, { era: 2, revision: 80 });
});

test('an agent that was removed in the same era is forgotten', (t) => {
  const { directory, view } = createViewHarness();
  view.applyListing({ skipped: 0, era: 1, revision: 110, items: [] });
  t.is(directory.size, 0);
});

test('a zone whose evacuation a restore has lost gets no new flows for a while', (t) => {
  const harness = new RouterHarness([]);
  const changed: string[][] = [];
  const view = new ZoneEvacuationView(harness.environment, (zones) => changed.push([...zones]));
  view.apply({ era: 1, revision: 20, zones: ['south'] }, 'store');
  view.apply({ era: 2, revision: 10, zones: [] }, 'store');
  t.true(view.isEvacuated('south'));
  t.deepEqual(changed, [['south']]);
  // Nobody takes it out of service again, so the store's list applies.
  harness.runFor(REWRITE_TIME_MS + 1);
  t.false(view.isEvacuated('south'));
  t.deepEqual(changed, [['south'], ['south']]);
});

test('an unknown state of the later era does not end an evacuation', (t) => {
  const harness = new RouterHarness([]);
  const view = new ZoneEvacuationView(harness.environment, () => undefined);
  view.apply({ era: 1, revision: 20, zones: ['south'] }, 'store');
  view.apply({ ...UNKNOWN_EVACUATIONS, era: 2 }, 'peer');
  t.true(view.isKnown);
  harness.runFor(REWRITE_TIME_MS + 1);
  t.true(view.isEvacuated('south'));
});

test('the latest change by the operator applies in the later era', (t) => {
  const harness = new RouterHarness([]);
  const view = new ZoneEvacuationView(harness.environment, () => undefined);
  view.apply({ era: 1, revision: 20, zones: ['south'] }, 'store');
  view.apply({ era: 2, revision: 10, zones: [] }, 'store');
  view.apply({ era: 2, revision: 11, zones: ['south'] }, 'store');
  view.apply({ era: 2, revision: 12, zones: [] }, 'store');
  t.false(view.isEvacuated('south'), 'evacuated and back in service');
  view.apply({ era: 2, revision: 13, zones: ['north'] }, 'store');
  harness.runFor(REWRITE_TIME_MS + 1);
  t.true(view.isEvacuated('north'));
  // An evacuation brought back by a restore holds until the operator ends it.
  view.apply({ era: 3, revision: 5, zones: ['east'] }, 'store');
  t.true(view.isEvacuated('east'));
  view.apply({ era: 3, revision: 6, zones: [] }, 'store');
  t.false(view.isEvacuated('east'));
});

test('resets wait for the rewrite time only if an agent reports an earlier era', (t) => {
  const settling = new ViewConvergence();
  settling.start(1_000);
  t.false(settling.isConverged(2, 1_050));
  t.true(settling.isConverged(2, 1_101));
  settling.recordObservedEra(2);
  t.true(settling.isConverged(2, 1_101));
  settling.recordObservedEra(1);
  t.false(settling.isConverged(2, 1_101));
  t.true(settling.isConverged(2, 1_001 + REWRITE_TIME_MS));
});

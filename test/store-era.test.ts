/**
 * The store comes back from a copy of itself some seconds old: what was written since is gone, its
 * revisions are given out again, and its era has risen by one.
 */
import { setTimeout as pause } from 'node:timers/promises';
import test from 'ava';
import { ObjectApi } from '../platform/object-api';
import { routingTables } from '../platform/routing-document';
import { parseEndpoint } from '../src/core/endpoint';
import { Events, type EventFields, type EventKind } from '../src/logging/events';
import { PacketWorld } from '../src/simulation/packets/packet-world';
import { MODEL_ROUTES, startModelDeployment } from '../src/simulation/packets/random-faults';
import { answerOf } from './support/answers';
import { ObjectApiStandin } from './support/object-api-standin';

interface Reported {
  readonly event: EventKind;
  readonly fields: EventFields;
}

/** A model deployment that has run for a while, and what its processes report. */
function startReportingWorld(seed: number): { world: PacketWorld; reported: Reported[] } {
  const reported: Reported[] = [];
  const world = new PacketWorld(seed, (_process, event, fields) => {
    reported.push({ event, fields });
  });
  startModelDeployment(world);
  world.runFor(5_000);
  return { world, reported };
}

test('every answer tells the era of the store; one without it tells none', async (t) => {
  const standin = new ObjectApiStandin();
  const api = new ObjectApi(parseEndpoint(await standin.start()).unwrap());
  t.teardown(() => (api.close(), standin.stop()));
  const collection = routingTables(api);
  const first = (await answerOf(collection.list.bind(collection))).unwrap();
  standin.returnFrom(standin.copy());
  // The connections that its end has cut are noticed as such.
  await pause(20);
  const second = (await answerOf(collection.list.bind(collection))).unwrap();
  t.is(second.era, first.era + 1);
  standin.spoiler = (_call, response) => {
    response.removeHeader('Store-Era');
    return false;
  };
  t.is((await answerOf(collection.list.bind(collection))).unwrap().era, 0);
});

test('a change of the era is reported, with what was known before', (t) => {
  const { world, reported } = startReportingWorld(41);
  const listings = reported.filter(({ event }) => event === Events.storeListed);
  t.true(listings.length > 0);
  t.true(listings.every(({ fields }) => fields['era'] === 1));
  const copy = world.store.copy();
  world.configure(2, MODEL_ROUTES);
  world.runFor(1_000);
  world.store.returnFrom(copy);
  world.runFor(3_000);
  const changes = reported.filter(({ event }) => event === Events.storeEraChanged);
  t.true(changes.length > 0);
  t.deepEqual([changes[0]!.fields['before'], changes[0]!.fields['after']], [1, 2]);
  world.balancers.forEach(({ node }) => t.is(node.figures.storeEra, 2));
});

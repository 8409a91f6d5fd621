/**
 * Invalid entries and heartbeats written by other programs: missing fields, wrong types, unknown
 * names, undecodable bytes. They must be skipped, and valid entries beside them must be used.
 */
import { createServer, type ServerResponse } from 'node:http';
import type { AddressInfo } from 'node:net';
import test, { type ExecutionContext } from 'ava';
import fc from 'fast-check';
import { AgentObjects, readAgent } from '../platform/agent-objects';
import { createEvacuatedZoneCollection, readEvacuatedZone } from '../platform/evacuated-zones';
import { ObjectApi } from '../platform/object-api';
import { readRoutingTable, createRoutingTableCollection } from '../platform/routing-document';
import { readEvent, readObject } from '../platform/stored-objects';
import { readHeartbeat, serveHeartbeats } from '../platform/target-calls';
import { packEndpoint, parseEndpoint } from '../src/core/endpoint';
import { ResultCodes } from '../src/errors/result-codes';
import type { Changes } from '../src/packets/collection-port';
import type { AgentRecord } from '../src/packets/packet-messages';
import { decodeSnapshotText, encodeSnapshotText } from '../src/packets/peer-snapshot';
import { PacketSimulation } from '../src/simulation/packets/packet-simulation';
import { startModelDeployment } from '../src/simulation/packets/random-faults';
import { awaitAnswer } from './support/answers';
import { fetchStatus } from './support/fetch-status';
import {
  createPorts,
  PacketClient,
  PacketCluster,
  PacketTarget,
  waitFor,
} from './support/packet-cluster';

const PROPERTY_SETTINGS = { seed: 20_261_203, numRuns: 400 };

/** Values that decoders must tolerate, including objects whose conversion to a string throws. */
const arbitraryValue = fc.oneof(
  fc.jsonValue({ maxDepth: 3 }),
  fc.constantFrom<unknown>(
    { toString: 1, valueOf: 1 },
    Infinity,
    -1,
    0.5,
    Number.MAX_VALUE,
    '',
    'x'.repeat(300),
  ),
);

const VALID_ROUTE = {
  name: 'good',
  host: '198.18.0.1',
  'path-prefix': '/8443/',
  service: 'map',
  'slo-ms': 200,
  type: 'safe',
};
const VALID_TABLE = {
  version: 7,
  routes: [VALID_ROUTE],
  services: [{ name: 'map', 'cold-start-s': 2 }],
  limits: { 'idle-timeout-ms': 9_000 },
};

/** Variants of a valid document, each with one field replaced or omitted. */
function replaceEachField(document: object, value: unknown): unknown[] {
  return Object.keys(document).flatMap((key) => {
    return [
      { ...document, [key]: value },
      { ...document, [key]: undefined },
    ];
  });
}

test('any object, table, agent or zone is read or skipped, and never throws', (t) => {
  const property = fc.property(arbitraryValue, arbitraryValue, (value, other) => {
    readObject(value);
    readEvent(value);
    for (const spec of [value, { ...VALID_TABLE, routes: [value, other] }, { routes: value }]) {
      const object = { name: 'main', revision: 1, spec };
      readRoutingTable(object);
      readAgent(object);
      readEvacuatedZone({ ...object, name: String(JSON.stringify(value)) });
    }
    return true;
  });
  fc.assert(property, PROPERTY_SETTINGS);
  t.pass();
});

test('valid routes beside unreadable ones are used, those are counted, and the table can be sent', (t) => {
  const property = fc.property(fc.array(arbitraryValue, { maxLength: 4 }), (others) => {
    const invalidRoutes = others.flatMap((value) => [
      value,
      ...replaceEachField(VALID_ROUTE, value),
      { ...VALID_ROUTE, service: undefined, backends: [value, { service: 'map', weight: value }] },
    ]);
    const spec = { ...VALID_TABLE, routes: [...invalidRoutes, VALID_ROUTE], services: [...others] };
    const table = readRoutingTable({ name: 'main', revision: 1, spec })!;
    const view = { viewComplete: true, agents: [], registryRevision: 1, storeEra: 1 };
    const decoded = decodeSnapshotText(encodeSnapshotText({ ...view, routingTable: table }));
    const last = table.routes.at(-1)!;
    return (
      last.destination === packEndpoint('198.18.0.1', 8_443) &&
      last.services[0]!.service === 'map' &&
      decoded.ok
    );
  });
  fc.assert(property, PROPERTY_SETTINGS);
  const routes = [VALID_ROUTE, { ...VALID_ROUTE, host: 7 }];
  const table = readRoutingTable({ name: 'main', revision: 1, spec: { ...VALID_TABLE, routes } })!;
  t.is(table.unreadableRoutes, 1);
  t.is(table.routes.length, 1);
});

test('an invalid table is skipped, so that the previous one stays active', (t) => {
  const invalidTables: unknown[] = [
    null,
    {},
    { ...VALID_TABLE, version: '8' },
    { ...VALID_TABLE, version: 7.5 },
    { ...VALID_TABLE, version: -1 },
    { ...VALID_TABLE, routes: {} },
    { ...VALID_TABLE, routes: [{ ...VALID_ROUTE, service: 3 }] },
  ];
  for (const spec of invalidTables) {
    t.is(readRoutingTable({ name: 'main', revision: 1, spec }), undefined, JSON.stringify(spec));
  }
});

const HEARTBEAT = {
  service: 'map',
  addr: '10.0.0.1:8080',
  zone: 'north',
  version: 'v1',
  slots: 4,
  state: 'ready',
  'cold-left-ms': 0,
  seq: 2,
  born: 1_796_000_000_000,
};

test('a heartbeat with a missing field or one of another type is refused', (t) => {
  t.truthy(readHeartbeat('i', JSON.stringify(HEARTBEAT)));
  for (const key of ['service', 'slots', 'state', 'seq']) {
    const rest = JSON.stringify({ ...HEARTBEAT, [key]: undefined });
    t.is(readHeartbeat('i', rest), undefined, `without ${key}`);
  }
  for (const key of Object.keys(HEARTBEAT)) {
    for (const value of [null, true, {}, [], -1, 0.5, '', 'leaving']) {
      const isText = ['service', 'addr', 'zone', 'version'].includes(key);
      const isName = typeof value === 'string' && isText && !(key === 'service' && value === '');
      const isTime = key === 'cold-left-ms' && (value === 0.5 || value === null);
      const read = readHeartbeat('i', JSON.stringify({ ...HEARTBEAT, [key]: value }));
      t.is(read !== undefined, isName || isTime, `${key}: ${JSON.stringify(value)}`);
    }
  }
});

test('every number read from any accepted heartbeat is finite and non-negative', (t) => {
  const property = fc.property(
    fc.constantFrom(...Object.keys(HEARTBEAT)),
    arbitraryValue,
    (key, value) => {
      const read = readHeartbeat('i', JSON.stringify({ ...HEARTBEAT, [key]: value }));
      const numbers = read ? [read.slots, read.coldLeft, read.sequence, read.born ?? 0] : [];
      return numbers.every((number) => Number.isFinite(number) && number >= 0);
    },
  );
  fc.assert(property, PROPERTY_SETTINGS);
  t.pass();
});

test('refused heartbeats change nothing, are answered with status 400, and are counted', async (t) => {
  const taken: string[] = [];
  let refused = 0;
  const server = serveHeartbeats(
    packEndpoint('127.0.0.1', 0),
    {
      handleHeartbeat: ({ service }) => taken.push(service) > 0 && service === 'map',
      recordRefusedHeartbeat: () => refused++,
      handleTargetLeaving: () => undefined,
    },
    (error) => t.fail(error.message),
  );
  t.teardown(() => server.close());
  await new Promise((done) => server.once('listening', done));
  const { port } = server.address() as AddressInfo;
  const put = (body: string): Promise<number> =>
    fetchStatus('127.0.0.1', port, 'PUT', '/hallhold/instances/i', body);
  t.is(await put('\u0000\ufffd{'), 400);
  t.is(await put(JSON.stringify({ ...HEARTBEAT, state: 'sleeping' })), 400);
  t.is(await put(JSON.stringify({ ...HEARTBEAT, service: 'unknown' })), 400);
  t.is(await put(JSON.stringify(HEARTBEAT)), 200);
  t.deepEqual(taken, ['unknown', 'map']);
  t.is(refused, 3);
});

test('a heartbeat of a service that no table names is refused', (t) => {
  const world = new PacketSimulation(91);
  startModelDeployment(world);
  world.runFor(4_000);
  const { node } = world.agents[0]!;
  const state = { slots: 5, draining: true, coldLeft: 0, sequence: 99 };
  t.false(node.handleHeartbeat({ incarnation: 'other', service: 'nowhere', ...state }));
  t.true(node.handleHeartbeat({ incarnation: 'other', service: 'tiles', ...state }));
});

const INVALID_OBJECTS: readonly unknown[] = [
  {},
  null,
  7,
  'text',
  { meta: null },
  { meta: { name: 7, rev: 3 }, spec: {} },
  { meta: { name: 'no-revision' }, spec: {} },
  { meta: { name: '10-0-0-9', rev: 2.5 }, spec: {} },
  { meta: { name: 'no-spec', rev: 4 } },
  { meta: { name: '10-0-0-9', rev: 4 }, spec: { address: { toString: 1 }, service: 1, zone: [] } },
  { meta: { name: 'elsewhere', rev: 4 }, spec: { address: '10.0.0.8:1', service: 's', zone: 'z' } },
];
const AGENT: AgentRecord = {
  address: parseEndpoint('10.0.0.1:7000').unwrap(),
  service: 'map',
  zone: 'north',
};
const VALID_AGENT = {
  meta: { name: '10-0-0-1', rev: 4 },
  spec: { address: '10.0.0.1:7000', service: 'map', zone: 'north' },
};

/** Starts an API server whose responses the test writes, and a client of it. */
async function createApi(
  t: ExecutionContext,
  answer: (path: string, response: ServerResponse) => void,
): Promise<ObjectApi> {
  const server = createServer((call, response) => {
    response.setHeader('Store-Era', '1');
    answer(call.url!, response);
  });
  await new Promise<void>((done) => server.listen(0, '127.0.0.1', done));
  const { port } = server.address() as AddressInfo;
  const api = new ObjectApi(packEndpoint('127.0.0.1', port));
  t.teardown(() => {
    api.close();
    server.closeAllConnections();
    server.close();
  });
  return api;
}

test('valid entries of a listing and of changes are used beside invalid ones, which are counted', async (t) => {
  const api = await createApi(t, (path, response) => {
    const events = [
      ...INVALID_OBJECTS.map((object) => ({ object })),
      ...INVALID_OBJECTS,
      { object: VALID_AGENT },
    ];
    const listing = {
      items: [...INVALID_OBJECTS, VALID_AGENT, ...INVALID_OBJECTS],
      more: false,
      at: 9,
    };
    response.end(JSON.stringify(path.includes('watch') ? { events, at: 9 } : listing));
  });
  const registry = new AgentObjects(api);
  const listing = (await awaitAnswer(registry.list.bind(registry))).unwrap();
  t.deepEqual(
    listing.items.map(({ item }) => item),
    [AGENT],
  );
  t.is(listing.skipped, 2 * INVALID_OBJECTS.length);
  const changes = await awaitAnswer<Changes<AgentRecord>>((answer) =>
    registry.awaitChanges(listing, 100, answer),
  );
  t.deepEqual(
    changes.unwrap().changes.map(({ item }) => item),
    [AGENT],
  );
  t.is(changes.unwrap().skipped, 2 * INVALID_OBJECTS.length);
  const zones = createEvacuatedZoneCollection(api);
  const names = (await awaitAnswer(zones.list.bind(zones))).unwrap().items.map(({ name }) => name);
  t.true(names.includes('10-0-0-1'), 'an object of any content evacuates the zone of its name');
});

test('a malformed answer is an error of the call', async (t) => {
  const bodies = ['not json', '{}', '{"items":7,"at":1}', '{"items":[],"at":"1"}', '[]', '\u0000'];
  for (const body of bodies) {
    const api = await createApi(t, (_path, response) => response.end(body));
    const tables = createRoutingTableCollection(api);
    const listing = await awaitAnswer(tables.list.bind(tables));
    t.is(listing.err && listing.val.resultCode, ResultCodes.storeAnswerInvalid, body);
  }
});

test('joined pages have the revision of the first, so that later changes are not missed', async (t) => {
  const asked: string[] = [];
  const other = { ...VALID_AGENT, meta: { name: '10-0-0-2', rev: 12 } };
  const spec = { ...VALID_AGENT.spec, address: '10.0.0.2:7000' };
  const api = await createApi(t, (path, response) => {
    asked.push(path);
    const isFirst = !path.includes('after');
    const first = { items: [VALID_AGENT, {}], more: true, at: 9 };
    const second = { items: [{ ...other, spec }], more: false, at: 15 };
    response.end(JSON.stringify(isFirst ? first : second));
  });
  const registry = new AgentObjects(api);
  const listing = (await awaitAnswer(registry.list.bind(registry))).unwrap();
  t.deepEqual([listing.items.length, listing.revision, listing.skipped], [2, 9, 1]);
  t.deepEqual(asked, ['/hallhold/objects/agents', '/hallhold/objects/agents?after=10-0-0-1']);
});

test('pages of two eras and pages that repeat forever are errors of the call', async (t) => {
  let era = 1;
  const api = await createApi(t, (_path, response) => {
    response.setHeader('Store-Era', String(era++));
    response.end(JSON.stringify({ items: [VALID_AGENT], more: era === 2, at: 9 }));
  });
  const registry = new AgentObjects(api);
  const listing = await awaitAnswer(registry.list.bind(registry));
  t.is(listing.err && listing.val.resultCode, ResultCodes.storeEraChanged);
  const endless = await createApi(t, (_path, response) =>
    response.end(JSON.stringify({ items: [VALID_AGENT], more: true, at: 9 })),
  );
  const other = new AgentObjects(endless);
  const result = await awaitAnswer(other.list.bind(other));
  t.is(result.err && result.val.resultCode, ResultCodes.storeAnswerInvalid);
});

test('processes start, serve and go on beside such entries', async (t) => {
  const base = 23_700;
  const cluster = new PacketCluster(createPorts(base));
  const route = ['198.18.0.1', 8_443] as const;
  await cluster.start();
  const { store } = cluster;
  const addInvalidObjects = (): void => {
    INVALID_OBJECTS.forEach((object, index) => {
      for (const kind of ['config', 'agents']) {
        store.putRaw(kind, `junk-${index}`, object);
      }
    });
  };
  addInvalidObjects();
  store.put('config', 'main', { ...VALID_TABLE, routes: [{}, VALID_ROUTE, 7] });
  const balancer = cluster.spawn('balancer', '127.61.1.1');
  const agent = cluster.spawn('agent', '127.61.2.1', 'map');
  const target = await PacketTarget.start('127.61.2.1', cluster.ports, 'map');
  const client = await PacketClient.start('127.61.9.1', 40_001, route, cluster.ports);
  t.teardown(async () => {
    client.stop();
    target.stop();
    await cluster.stop();
  });
  await waitFor(async () => (await target.sendHeartbeat()) === 200);
  await cluster.waitUntilReady('127.61.1.1');
  t.true(await client.openFlow('127.61.1.1'));
  t.is(await client.sendRequest('127.61.1.1', 'one'), 'answer to one');
  addInvalidObjects();
  store.put('config', 'main', { version: 'none' });
  const invalidHeartbeat = JSON.stringify({
    service: 'map',
    slots: '4',
    state: 'draining',
    seq: 99,
  });
  const status = fetchStatus(
    '127.61.2.1',
    base + 5,
    'PUT',
    '/hallhold/instances/i-1',
    invalidHeartbeat,
  );
  t.is(await status, 400);
  t.is(await client.sendRequest('127.61.1.1', 'two'), 'answer to two');
  t.is(await cluster.fetchReadiness('127.61.1.1'), 200);
  t.deepEqual([balancer.child.exitCode, agent.child.exitCode], [null, null]);
});

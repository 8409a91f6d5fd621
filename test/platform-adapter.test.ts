/** Tests of the adapter that translates the platform's packets, documents and calls. */
import { mkdtempSync, readdirSync, readFileSync, writeFileSync } from 'node:fs';
import type { AddressInfo } from 'node:net';
import { tmpdir } from 'node:os';
import { join, resolve } from 'node:path';
import fc from 'fast-check';
import test from 'ava';
import { AgentObjects } from '../platform/agent-objects';
import { createEvacuatedZoneCollection } from '../platform/evacuated-zones';
import { readLocalSettings } from '../platform/local-settings';
import { ObjectApi } from '../platform/object-api';
import { packetFormat } from '../platform/packet-header';
import { readRoutingTable, createRoutingTableCollection } from '../platform/routing-document';
import { readHeartbeat, serveHeartbeats, serveReadiness } from '../platform/target-calls';
import { formatEndpoint, packEndpoint, parseEndpoint } from '../src/core/endpoint';
import type { HallholdError } from '../src/errors/hallhold-error';
import { ResultCodes } from '../src/errors/result-codes';
import type { ResultCallback, Changes, Listing } from '../src/packets/collection-port';
import type { AgentRecord } from '../src/packets/packet-messages';
import type { RoutingTable } from '../src/packets/routing-table';
import type { EvacuatedZone } from '../src/packets/zone-evacuations';
import type { TargetHeartbeat } from '../src/packets/target-lifecycle';
import { awaitAnswer } from './support/answers';
import { fetchStatus } from './support/fetch-status';
import { ObjectApiStandin, type FaultInjector } from './support/object-api-standin';
import { StallingProxy } from './support/stalling-proxy';

const SYN = Buffer.from(
  '9c4164400007 01bbc6120001 0000 00000000 a1b2c3d5 11223344 00000000 10'.replaceAll(' ', ''),
  'hex',
);
const RESET = Buffer.from(
  '01bbc6120001 9c4164400007 0000 00000000 00000000 00000000 00000000 04'.replaceAll(' ', ''),
  'hex',
);

test('a header is decoded as in the protocol page, and answered with the matching reset', (t) => {
  const packet = packetFormat.decodeFromClient(Buffer.from(SYN))!;
  t.is(formatEndpoint(packet.client), '100.64.0.7:40001');
  t.is(formatEndpoint(packet.destination), '198.18.0.1:443');
  t.true(packet.opens);
  t.is(packet.sequence, 0x11223344);
  t.deepEqual(packetFormat.createReset(packet), RESET);
});

test('writing the token and the bounce flag changes nothing that the checksum covers', (t) => {
  const bytes = Buffer.from(SYN);
  packetFormat.writeToken(bytes, 0xcafe);
  bytes[30]! |= 8;
  const rejected = packetFormat.decodeFromTarget(bytes)!;
  t.true(rejected.refused);
  t.is(packetFormat.readToken(bytes), 0xcafe);
  t.is(rejected.flow, packetFormat.decodeFromClient(Buffer.from(SYN))!.flow);
  packetFormat.restoreClientForm(bytes);
  t.deepEqual(bytes, SYN);
});

test('both directions of a flow have the same key', (t) => {
  const answer = Buffer.from(SYN);
  SYN.copy(answer, 0, 6, 12);
  SYN.copy(answer, 6, 0, 6);
  const fromTarget = packetFormat.decodeFromTarget(answer)!;
  const fromClient = packetFormat.decodeFromClient(Buffer.from(SYN))!;
  t.is(fromTarget.flow, fromClient.flow);
  t.is(fromTarget.client, fromClient.client);
  t.is(fromTarget.destination, fromClient.destination);
});

test('the decoder never throws and rejects packets of the wrong length', (t) => {
  const property = fc.property(fc.uint8Array({ maxLength: 80 }), (data) => {
    const bytes = Buffer.from(data);
    const packet = packetFormat.decodeFromClient(bytes);
    packetFormat.decodeFromTarget(bytes);
    return packet === undefined || packet.payloadLength === bytes.length - 31;
  });
  fc.assert(property, { seed: 20_261_202, numRuns: 500 });
  t.is(packetFormat.decodeFromClient(SYN.subarray(0, 30)), undefined);
  t.is(packetFormat.decodeFromClient(Buffer.concat([SYN, Buffer.from('x')])), undefined);
});

test('a request id is read from the packet in which the request begins', (t) => {
  const data = Buffer.from('GET / HTTP/1.1\r\nHost: h\r\nX-Request-Id: abc-1\r\n\r\n');
  const bytes = Buffer.concat([SYN, data]);
  bytes.writeUInt16BE(data.length, 12);
  t.is(packetFormat.readRequestId(packetFormat.decodeFromClient(bytes)!), 'abc-1');
  t.is(packetFormat.readRequestId(packetFormat.decodeFromClient(Buffer.from(SYN))!), undefined);
});

test('a configuration is translated to a routing table with weights', (t) => {
  const table = readRoutingTable({
    name: 'main',
    revision: 3,
    spec: {
      version: 7,
      routes: [
        {
          name: 'a',
          host: '198.18.0.1',
          'path-prefix': '/8443/',
          backends: [
            { service: 'x', weight: 90 },
            { service: 'y', weight: 10 },
          ],
        },
        { name: 'b', host: '198.18.0.2', 'path-prefix': '/80/', service: 'y' },
        { name: 'broken', host: 'not an address', 'path-prefix': '/80/', service: 'y' },
        { name: 'c', host: '198.18.0.3', 'path-prefix': '/80/', service: 'y', 'slo-ms': 300 },
        { name: 'd', host: '198.18.0.3', 'path-prefix': '/81/', service: 'y', 'slo-ms': 200 },
      ],
      services: [
        { name: 'x', 'cold-start-s': 2.5, 'cold-per-s': 4 },
        { name: 'y' },
        { name: 'z', 'cold-start-s': 'soon' },
        null,
      ],
      limits: { 'idle-timeout-ms': 9_000 },
    },
  })!;
  t.is(table.version, 7);
  t.is(table.idleTimeout, 9_000);
  t.deepEqual(table.profiles, [
    { service: 'x', latencyGoal: 0, coldTime: 2_500, coldRate: 4 },
    { service: 'y', latencyGoal: 200, coldTime: 0, coldRate: 0 },
  ]);
  t.deepEqual(
    table.routes.map(({ destination, services }) => [formatEndpoint(destination), services.length]),
    [
      ['198.18.0.1:8443', 2],
      ['198.18.0.2:80', 1],
      ['198.18.0.3:80', 1],
      ['198.18.0.3:81', 1],
    ],
  );
  t.is(
    readRoutingTable({ name: 'other', revision: 1, spec: { version: 1, routes: [] } }),
    undefined,
  );
  t.is(readRoutingTable({ name: 'main', revision: 1, spec: null }), undefined);
});

test('evacuated zones are listed by object name until their removal', async (t) => {
  const standin = new ObjectApiStandin();
  const api = new ObjectApi(parseEndpoint(await standin.start()).unwrap());
  t.teardown(() => (api.close(), standin.stop()));
  const collection = createEvacuatedZoneCollection(api);
  standin.put('evacuations', 'hall-1', {});
  standin.put('other', 'hall-2', {});
  const listing = await awaitAnswer<Listing<EvacuatedZone>>((answer) => collection.list(answer));
  const { items, ...position } = listing.unwrap();
  t.deepEqual(
    items.map(({ item }) => item.zone),
    ['hall-1'],
  );
  standin.remove('evacuations', 'hall-1');
  const changes = await awaitAnswer<Changes<EvacuatedZone>>((answer) =>
    collection.awaitChanges(position, 1_000, answer),
  );
  t.deepEqual(
    changes.unwrap().changes.map(({ item, removed }) => [item.zone, removed]),
    [['hall-1', true]],
  );
});

test('a stalled connection fails the calls on all connections, and new ones work', async (t) => {
  const standin = new ObjectApiStandin();
  const proxy = new StallingProxy(Number((await standin.start()).split(':')[1]));
  const api = new ObjectApi(parseEndpoint(await proxy.start()).unwrap());
  t.teardown(() => (api.close(), proxy.stop(), standin.stop()));
  const tables = createRoutingTableCollection(api);
  const waiting = awaitAnswer<Changes<RoutingTable>>((answer) =>
    tables.awaitChanges({ era: 2, revision: 1 }, 10_000, answer),
  );
  await waitForCalls(standin, 1);
  t.true((await awaitAnswer<void>((answer) => api.check(1_000, answer))).ok);
  proxy.stallConnections();
  const startedAt = performance.now();
  const probe = await awaitAnswer<void>((answer) => api.check(300, answer));
  const ended = await waiting;
  t.is(probe.err && probe.val.resultCode, ResultCodes.storeUnavailable);
  t.is(ended.err && ended.val.resultCode, ResultCodes.storeUnavailable);
  t.true(performance.now() - startedAt < 5_000, 'well before the time-out of the long poll');
  t.true((await awaitAnswer<void>((answer) => api.check(1_000, answer))).ok);
});

async function waitForCalls(standin: ObjectApiStandin, calls: number): Promise<void> {
  while (standin.calls.length < calls) {
    await new Promise((done) => setTimeout(done, 10));
  }
}

const AGENT = { address: packEndpoint('10.0.0.1', 7_720), service: 'map', zone: 'north' };

test('an agent is registered once, replaced when it differs, and removed', async (t) => {
  const standin = new ObjectApiStandin();
  const api = new ObjectApi(parseEndpoint(await standin.start()).unwrap());
  const registry = new AgentObjects(api);
  t.teardown(() => (api.close(), standin.stop()));
  t.true((await awaitAnswer<AgentRecord>((answer) => registry.register(AGENT, answer))).ok);
  t.true((await awaitAnswer<AgentRecord>((answer) => registry.register(AGENT, answer))).ok);
  const other = { ...AGENT, service: 'tiles' };
  t.true((await awaitAnswer<AgentRecord>((answer) => registry.register(other, answer))).ok);
  const listed = (
    await awaitAnswer((answer: ResultCallback<never>) => registry.list(answer as never))
  ).unwrap();
  t.deepEqual(
    (listed as { items: { item: unknown }[] }).items.map(({ item }) => item),
    [other],
  );
  t.true((await awaitAnswer<void>((answer) => registry.remove(other, undefined, answer))).ok);
  t.true((await awaitAnswer<void>((answer) => registry.remove(other, undefined, answer))).ok);
  t.is(standin.get('agents', '10-0-0-1'), undefined);
});

const INVALID_ANSWERS: readonly [string, FaultInjector, string][] = [
  ['429', (_call, response) => (response.writeHead(429).end('{}'), true), 'store-unavailable'],
  ['503', (_call, response) => (response.writeHead(503).end('{}'), true), 'store-unavailable'],
  ['410', (_call, response) => (response.writeHead(410).end('{}'), true), 'store-watch-expired'],
  ['cut', (_call, response) => (response.destroy(), true), 'store-unavailable'],
  ['silence', () => true, 'store-unavailable'],
  ['no JSON', (_call, response) => (response.end('{"items":['), true), 'store-answer-invalid'],
  [
    'other types',
    (_call, response) => (response.end('{"items":7,"at":"x"}'), true),
    'store-answer-invalid',
  ],
  [
    'ten megabytes',
    (_call, response) => (response.end(JSON.stringify('x'.repeat(10_000_000))), true),
    'store-answer-too-large',
  ],
  [
    'half an answer',
    (_call, response) => {
      response.writeHead(200, { 'Content-Length': 100 });
      response.write('{"items":[');
      setTimeout(() => response.destroy(), 20);
      return true;
    },
    'store-unavailable',
  ],
];

for (const [name, faultInjector, expected] of INVALID_ANSWERS) {
  test(`an invalid answer of the store gives one numbered error: ${name}`, async (t) => {
    const standin = new ObjectApiStandin();
    standin.faultInjector = faultInjector;
    const api = new ObjectApi(parseEndpoint(await standin.start()).unwrap());
    t.teardown(() => (api.close(), standin.stop()));
    const result = await awaitAnswer((answer: ResultCallback<never>) =>
      createRoutingTableCollection(api).list(answer as never),
    );
    t.is(result.err && result.val.resultCode.name, expected);
  });
}

const HOST = '127.0.0.1';

test('heartbeats and shutdown notices are acknowledged, other calls are refused', async (t) => {
  const heartbeats: TargetHeartbeat[] = [];
  const leaving: string[] = [];
  const server = serveHeartbeats(
    packEndpoint('127.0.0.1', 0),
    {
      handleHeartbeat: (heartbeat) => heartbeats.push(heartbeat) > 0,
      recordRefusedHeartbeat: () => undefined,
      handleTargetLeaving: (id, _born, acknowledge) => {
        leaving.push(id);
        acknowledge();
      },
    },
    (error) => t.fail(error.message),
  );
  t.teardown(() => server.close());
  await new Promise((done) => server.once('listening', done));
  const { port } = server.address() as AddressInfo;
  const body = { service: 's', slots: 4, state: 'draining', 'cold-left-ms': 5, seq: 2 };
  t.is(await fetchStatus(HOST, port, 'PUT', '/hallhold/instances/i-1', JSON.stringify(body)), 200);
  t.deepEqual(heartbeats, [
    { incarnation: 'i-1', service: 's', slots: 4, draining: true, coldLeft: 5, sequence: 2 },
  ]);
  t.is(await fetchStatus(HOST, port, 'DELETE', '/hallhold/instances/i-1'), 200);
  t.deepEqual(leaving, ['i-1']);
  t.is(await fetchStatus(HOST, port, 'PUT', '/hallhold/instances/i-1', '{"service":'), 400);
  t.is(
    await fetchStatus(HOST, port, 'PUT', '/hallhold/instances/i-1', '{"service":1,"slots":"x"}'),
    400,
  );
  t.is(await fetchStatus(HOST, port, 'PUT', '/hallhold/instances/%zz', JSON.stringify(body)), 404);
  t.is(await fetchStatus(HOST, port, 'GET', '/'), 404);
  t.is(heartbeats.length, 1);
});

test('reading a heartbeat body never throws', (t) => {
  fc.assert(
    fc.property(fc.json(), (body) => {
      readHeartbeat('i', body);
      readHeartbeat('i', body.slice(1));
      return true;
    }),
    { seed: 20_261_202, numRuns: 300 },
  );
  t.pass();
});

test('readiness is reported by HTTP status', async (t) => {
  let ready = false;
  const server = serveReadiness(
    packEndpoint('127.0.0.1', 0),
    () => ready,
    (error) => t.fail(error.message),
  );
  t.teardown(() => server.close());
  await new Promise((done) => server.once('listening', done));
  const { port } = server.address() as AddressInfo;
  t.is(await fetchStatus(HOST, port, 'GET', '/hallhold/ready'), 503);
  ready = true;
  t.is(await fetchStatus(HOST, port, 'GET', '/hallhold/ready'), 200);
});

test('invalid settings are refused with every invalid key named', (t) => {
  const path = join(mkdtempSync(join(tmpdir(), 'hallhold-')), 'settings.json');
  writeFileSync(path, JSON.stringify({ name: 7, zone: 'z', address: 'nowhere', seeds: 'x:1,' }));
  const result = readLocalSettings(path);
  t.true(result.err);
  const { resultCode, details } = result.val as HallholdError;
  t.is(resultCode.number, 1002);
  t.deepEqual(
    details.map((detail) => detail.split(':')[0]),
    ['name', 'address', 'clientPort', 'storeAddress', 'seeds.0'],
  );
  writeFileSync(path, '{"name"');
  t.is((readLocalSettings(path).val as HallholdError).resultCode.number, 1001);
});

const TEMPLATE_PATH = resolve(__dirname, '../../deploy/settings.json.template');

/** Fills the gaps of the deployed template that have a value; all others stay empty. */
function fillTemplate(values: Readonly<Record<string, string>>): string {
  return readFileSync(TEMPLATE_PATH, 'utf8')
    .replace(/\{\{#[^}]+\}\}.*\{\{\/[^}]+\}\}/g, '')
    .replace(/\{\{([^}|]+)\|json\}\}/g, (_gap, name: string) => JSON.stringify(values[name] ?? ''))
    .replace(/\{\{([^}]+)\}\}/g, (_gap, name: string) => values[name] ?? '');
}

// Guards against former services that are forgotten while flows of them may be open.
for (const [bound, flowLifetime] of [
  ['90', 90_000],
  ['2.5', 2_500],
  ['', 60_000],
] as const) {
  test(`the template passes on how long a flow may live: "${bound}" seconds`, (t) => {
    const path = join(mkdtempSync(join(tmpdir(), 'hallhold-settings-')), 'settings.json');
    const text = fillTemplate({
      node: 'front-1',
      zone: 'north',
      ip: '10.0.0.1',
      'port-range.0': '7720',
      'listen.packet-addr': '10.0.0.1:8172',
      'platform.addr': '10.0.0.9:8169',
      'bounds.apply-ms': '3000',
      'bounds.grace-s': '6',
      'bounds.flow-ttl-s': bound,
      'heartbeat-ms': '1100',
      'limits.link-mbps': '1000',
    });
    writeFileSync(path, text);
    t.is(readLocalSettings(path).unwrap().flowLifetime, flowLifetime);
  });
}

test('no source outside the adapter refers to the platform', (t) => {
  const root = resolve(__dirname, '../..');
  const names = /hallhold\/(objects|instances|ready)|packet-addr|path-prefix|beat-addr|cold-left/;
  const files = readdirSync(join(root, 'src'), { recursive: true, encoding: 'utf8' });
  for (const file of files.filter((one) => one.endsWith('.ts'))) {
    const text = readFileSync(join(root, 'src', file), 'utf8');
    t.false(names.test(text), `${file} contains a name of the platform`);
    t.false(/from '(\.\.\/)+platform\//.test(text), `${file} imports the adapter`);
  }
});

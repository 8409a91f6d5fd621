/** Snapshot exchange over HTTP: encodings, updates and invalid responses. */
import { createServer, get, type Server } from 'node:http';
import type { AddressInfo } from 'node:net';
import { deflateSync } from 'node:zlib';
import test from 'ava';
import { packEndpoint } from '../src/core/endpoint';
import type { Endpoint } from '../src/environment';
import { ResultCodes, type ResultCode } from '../src/errors/result-codes';
import { decodeSnapshot, type PeerSnapshot } from '../src/packets/peer-snapshot';
import { HttpSnapshots, serveSnapshots } from '../src/runtime/snapshot-exchange';

const LOOPBACK = '127.0.0.1';
const SNAPSHOT: PeerSnapshot = {
  routingTable: {
    version: 4,
    idleTimeout: 9_000,
    routes: [{ name: 'r', destination: 5, services: [{ service: 'map', weight: 1 }] }],
    profiles: [{ service: 'map', latencyGoal: 200, coldTime: 2_000, coldRate: 2 }],
  },
  viewComplete: true,
  agents: [{ address: 6, service: 'map', zone: 'north', revision: 3 }],
  registryRevision: 3,
  storeEra: 2,
};

function listen(server: Server): Promise<Endpoint> {
  return new Promise((done) => {
    const resolveAddress = (): void =>
      done(packEndpoint(LOOPBACK, (server.address() as AddressInfo).port));
    if (server.listening) {
      resolveAddress();
    } else {
      server.once('listening', resolveAddress);
    }
  });
}

function fetch(peer: Endpoint): Promise<PeerSnapshot | ResultCode> {
  return new Promise((done) =>
    new HttpSnapshots().fetch(peer, (result) =>
      done(result.ok ? result.val : result.val.resultCode),
    ),
  );
}

test('a snapshot arrives complete, and is sent updated once its content has changed', async (t) => {
  let snapshot = SNAPSHOT;
  const server = serveSnapshots(packEndpoint(LOOPBACK, 0), () => snapshot, t.log);
  t.teardown(() => server.close());
  const peer = await listen(server);
  t.deepEqual(await fetch(peer), SNAPSHOT);
  snapshot = { ...SNAPSHOT, registryRevision: 8 };
  await new Promise((done) => setTimeout(done, 80));
  t.deepEqual(await fetch(peer), snapshot);
});

test('a balancer of an earlier version still gets BSON', async (t) => {
  const server = serveSnapshots(packEndpoint(LOOPBACK, 0), () => SNAPSHOT, t.log);
  t.teardown(() => server.close());
  await listen(server);
  const { port } = server.address() as AddressInfo;
  const bytes = await new Promise<Buffer>((done) => {
    get({ host: LOOPBACK, port, path: '/snapshot', agent: false }, (response) => {
      const chunks: Buffer[] = [];
      response.on('data', (chunk: Buffer) => chunks.push(chunk));
      response.on('end', () => done(Buffer.concat(chunks)));
    });
  });
  t.deepEqual(decodeSnapshot(bytes).unwrap(), SNAPSHOT);
});

test('a malformed snapshot and an unreachable peer are distinct errors', async (t) => {
  const bodies = [Buffer.alloc(0), Buffer.from('404'), deflateSync('{}'), deflateSync('[')];
  for (const body of bodies) {
    const server = createServer((_call, response) => response.end(body)).listen(0, LOOPBACK);
    t.teardown(() => server.close());
    t.is(await fetch(await listen(server)), ResultCodes.frameMalformed);
  }
  const server = createServer((call) => call.socket.destroy()).listen(0, LOOPBACK);
  t.teardown(() => server.close());
  t.is(await fetch(await listen(server)), ResultCodes.peerUnreachable);
});

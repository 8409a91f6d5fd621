/** A start after all power is lost: what waits for a process, and in which order it is served. */
import test from 'ava';
import { execFileSync } from 'node:child_process';
import { parseEndpoint } from '../src/core/endpoint';
import { bindEarly } from '../src/runtime/early-sockets';
import type { FlowPacket } from '../src/packets/flow-packet';
import { StartupBacklog, type OpeningGroup } from '../src/packets/startup/startup-backlog';
import { UdpSocket } from '../src/runtime/udp-socket';
import { waitFor } from './support/packet-cluster';

/** Sends from another process while this one stands still, as it does while it loads a program. */
function sendMeanwhile(port: number, address: string, text: string): void {
  const send = `const s = require('dgram').createSocket('udp4');
    s.send('${text}', ${port}, '${address}', () => s.close());`;
  execFileSync(process.execPath, ['-e', send]);
}

test('a datagram that comes before the program binds its socket is received', async (t) => {
  const endpoint = '127.41.1.1:21411';
  bindEarly(endpoint);
  sendMeanwhile(21_411, '127.41.1.1', 'opening');
  const received: string[] = [];
  const bound = await UdpSocket.bindEndpoint(parseEndpoint(endpoint).unwrap(), (bytes) =>
    received.push(bytes.toString()),
  );
  const socket = bound.unwrap();
  t.teardown(() => socket.close());
  await waitFor(() => received.length > 0);
  t.deepEqual(received, ['opening']);
  t.is(socket.endpoint, parseEndpoint(endpoint).unwrap());
});

test('an address that is taken is left to the program, which says why', async (t) => {
  const endpoint = parseEndpoint('127.41.1.1:21412').unwrap();
  const owner = (await UdpSocket.bindEndpoint(endpoint, () => undefined)).unwrap();
  t.teardown(() => owner.close());
  bindEarly('127.41.1.1:21412');
  const second = await UdpSocket.bindEndpoint(endpoint, () => undefined);
  t.is(second.err ? second.val.resultCode.number : 0, 1402);
});

test('a socket that was bound early is handed out once', async (t) => {
  const endpoint = parseEndpoint('127.41.1.1:21413').unwrap();
  bindEarly('127.41.1.1:21413');
  const first = (await UdpSocket.bindEndpoint(endpoint, () => undefined)).unwrap();
  t.teardown(() => first.close());
  const second = await UdpSocket.bindEndpoint(endpoint, () => undefined);
  t.is(second.err ? second.val.resultCode.number : 0, 1402);
});

function createOpening(flow: string, openingCopy = 0): FlowPacket {
  return { flow, opens: true, openingCopy } as FlowPacket;
}

function createGroup(share: number, latencyGoal = 300, name = 'map'): OpeningGroup {
  return { name, share, latencyGoal };
}

function flowsOf(packets: readonly FlowPacket[]): string[] {
  return packets.map(({ flow }) => flow);
}

test('what can still be answered in time goes before what is late, each by its age', (t) => {
  const backlog = new StartupBacklog();
  backlog.add(createOpening('late copy', 2), 0);
  backlog.add(createOpening('late'), 10);
  backlog.add({ flow: 'data', opens: false } as FlowPacket, 20);
  backlog.add(createOpening('copy', 1), 300);
  backlog.add(createOpening('young'), 350);
  backlog.add(createOpening('older'), 150);
  const order = flowsOf(backlog.takeAll(390, () => createGroup(1)));
  t.deepEqual(order, ['copy', 'older', 'young', 'late copy', 'late', 'data']);
});

test('the first agents heard get only their part of what waits', (t) => {
  const backlog = new StartupBacklog();
  for (let flow = 0; flow < 20; flow++) {
    backlog.add(createOpening(`f${flow}`), flow);
  }
  t.is(backlog.takeOpenings(30, () => createGroup(0)).length, 0);
  t.is(backlog.takeOpenings(30, () => createGroup(0.2)).length, 4);
  t.is(backlog.takeOpenings(30, () => createGroup(0.2)).length, 0);
  t.is(backlog.takeOpenings(40, () => createGroup(0.5)).length, 6);
  t.is(backlog.takeOpenings(50, () => createGroup(1)).length, 10);
});

test('services do not share what their agents may get; without a route nothing waits', (t) => {
  const backlog = new StartupBacklog();
  ['a1', 'a2', 'b1', 'b2', 'none'].forEach((flow) => backlog.add(createOpening(flow), 0));
  const groups: Record<string, OpeningGroup> = {
    a: createGroup(0.5, 300, 'a'),
    b: createGroup(0, 300, 'b'),
  };
  const taken = backlog.takeOpenings(10, ({ flow }) => groups[flow[0]!]);
  t.deepEqual(flowsOf(taken), ['a1', 'none']);
  t.is(backlog.size, 3);
});

test('an opening waits as long as its client does', (t) => {
  const backlog = new StartupBacklog();
  backlog.add(createOpening('first'), 0);
  backlog.add(createOpening('last copy', 2), 0);
  t.deepEqual(flowsOf(backlog.takeAll(900, () => createGroup(1))), ['first']);
  t.is(backlog.dropped, 1);
});

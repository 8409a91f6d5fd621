/** A start after all power is lost: what waits for a process, and in which order it is served. */
import test from 'ava';
import { execFileSync } from 'node:child_process';
import { parseEndpoint } from '../src/core/endpoint';
import { bindEarly } from '../src/runtime/early-sockets';
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

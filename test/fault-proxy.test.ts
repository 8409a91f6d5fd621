/**
 * Guards against an exception in the tests' process: a datagram that the proxy has delayed must not be
 * sent through a socket that is closed by then.
 */
import test from 'ava';
import { setImmediate, setTimeout as wait } from 'node:timers/promises';
import { parseEndpoint } from '../src/core/endpoint';
import { UdpSocket } from '../src/runtime/udp-socket';
import { UdpFaultProxy } from '../src/standins/fault-proxy';

const SENT = 20;
const DELAY_MS = 300;
/** Time in which datagrams arrive that the proxy sent before it stopped. */
const TRANSFER_MS = 50;

test('a datagram that is delayed when the proxy stops is dropped', async (t) => {
  const target = parseEndpoint('127.44.1.1:21441').unwrap();
  const listen = parseEndpoint('127.44.1.2:21442').unwrap();
  const faults = { loss: 0, duplication: 0, reordering: 1, reorderDelay: DELAY_MS };
  const received: Buffer[] = [];
  const receiver = (await UdpSocket.bindEndpoint(target, (bytes) => received.push(bytes))).unwrap();
  const proxy = new UdpFaultProxy(listen, target, faults, 1);
  await proxy.start();
  const sender = (await UdpSocket.bind('127.44.1.3', 0, () => undefined)).unwrap();
  t.teardown(() => {
    sender.close();
    receiver.close();
  });
  for (let copy = 0; copy < SENT; copy++) {
    sender.send(listen, Buffer.from('late'));
  }
  await wait(10);
  await proxy.stop();
  await wait(TRANSFER_MS);
  // A late timer runs before datagrams that have already arrived.
  await setImmediate();
  const before = received.length;
  await wait(DELAY_MS);
  await setImmediate();
  t.true(before < SENT, 'some were delayed');
  t.is(received.length, before);
});

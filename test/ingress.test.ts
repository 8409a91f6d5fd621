/**
 * Guards against an overload that outlasts its cause: a balancer that handles its clients' packets in order
 * of arrival, from a socket whose queue has become longer than clients wait, spends all of its time on
 * flows that have been given up.
 */
import test from 'ava';
import { IngressQueue } from '../src/packets/ingress-queue';
import { IngressScheduler } from '../src/packets/ingress-scheduler';
import type { FlowPacket } from '../src/packets/flow-packet';
import {
  encodeModelPacket,
  ModelFlag,
  modelPacketFormat,
} from '../src/simulation/packets/model-packet-format';

const DESTINATION = 0x0b00_0001_0000;
const FIRST_CLIENT = 0x0ac8_0001_0000;
const OPENING_LIFETIME_MS = 1_400;
const READ_LIMIT = 32;

function encode(client: number, flags: number, copy = 0, payload = ''): Buffer {
  return encodeModelPacket({
    client: FIRST_CLIENT + client,
    destination: DESTINATION,
    flags,
    sequence: 1,
    acknowledgement: copy,
    payload,
  });
}

function createOpening(client: number, copy = 0): FlowPacket {
  return modelPacketFormat.decodeFromClient(encode(client, ModelFlag.opens, copy))!;
}

function createData(client: number): FlowPacket {
  return modelPacketFormat.decodeFromClient(encode(client, 0, 1, 'request'))!;
}

function takeAll(queue: IngressQueue, now: number): FlowPacket[] {
  const taken: FlowPacket[] = [];
  for (let packet = queue.take(now); packet; packet = queue.take(now)) {
    taken.push(packet);
  }
  return taken;
}

test('packets of open flows come first, in order; of opening packets the newest', (t) => {
  const queue = new IngressQueue();
  const [first, second] = [createOpening(1), createOpening(2)];
  const [data, laterData] = [createData(3), createData(3)];
  [first, data, second, laterData].forEach((packet) => queue.add(packet, 0));
  t.is(queue.size, 4);
  t.deepEqual(takeAll(queue, 10), [data, laterData, second, first]);
  t.is(queue.size, 0);
});

test('a later copy of an opening packet replaces the earlier one', (t) => {
  const queue = new IngressQueue();
  const copies = [createOpening(1), createOpening(2), createOpening(1, 1)];
  copies.forEach((packet, index) => queue.add(packet, 200 * index));
  t.is(queue.size, 2);
  t.deepEqual(takeAll(queue, 500), [copies[2], copies[1]]);
  t.is(queue.dropped, 0);
});

test('packets that have waited for too long are dropped and counted', (t) => {
  const queue = new IngressQueue();
  queue.add(createOpening(1), 0);
  queue.add(createOpening(2, 2), 0);
  queue.add(createData(3), 0);
  t.deepEqual(
    takeAll(queue, 1_000).map(({ openingCopy }) => openingCopy),
    [0],
  );
  t.is(queue.dropped, 2);
});

test('the queue is bounded: the oldest packets are dropped', (t) => {
  const queue = new IngressQueue();
  for (let client = 0; client < 5_000; client++) {
    queue.add(createOpening(client), 0);
    queue.add(createData(client), 0);
  }
  t.is(queue.size, 2 * 4_096);
  t.is(queue.dropped, 2 * (5_000 - 4_096));
  t.is(queue.take(0)!.client, FIRST_CLIENT + 5_000 - 4_096);
});

interface Arrival {
  readonly at: number;
  readonly bytes: Buffer;
}

/** A process with one socket, which reads and handles packets in virtual time. */
class BusyProcess {
  now = 0;
  /** Waiting times of the packets handled. */
  readonly waits: number[] = [];
  readonly handled: FlowPacket[] = [];
  readonly scheduler: IngressScheduler;
  isStarting = false;
  private readonly socket: Arrival[] = [];
  private readonly sentAt = new Map<Buffer, number>();
  private afterReads: (() => void) | undefined;

  constructor(
    private readonly readTime: number,
    private readonly handlingTime: number,
  ) {
    this.scheduler = new IngressScheduler({
      now: () => this.now,
      decode: (bytes) => modelPacketFormat.decodeFromClient(bytes),
      handle: (bytes) => this.handle(bytes),
      isStarting: () => this.isStarting,
      runAfterReads: (action) => (this.afterReads = action),
    });
  }

  /** Runs turns of the event loop until a time; `receive` gets each packet as it is read. */
  run(
    arrivals: readonly Arrival[],
    until: number,
    receive = (bytes: Buffer): void => this.scheduler.receive(bytes),
  ): void {
    let next = 0;
    while (this.now < until) {
      for (; next < arrivals.length && arrivals[next]!.at <= this.now; next++) {
        this.socket.push(arrivals[next]!);
      }
      const batch = this.socket.splice(0, READ_LIMIT);
      for (const { at, bytes } of batch) {
        this.now += this.readTime;
        this.sentAt.set(bytes, at);
        receive(bytes);
      }
      const action = this.afterReads;
      this.afterReads = undefined;
      action?.();
      this.now += batch.length === 0 && !action ? 1 : 0;
    }
  }

  handle(bytes: Buffer): void {
    this.now += this.handlingTime;
    this.waits.push(this.now - (this.sentAt.get(bytes) ?? this.now));
    this.handled.push(modelPacketFormat.decodeFromClient(bytes)!);
  }

  countInTime(): number {
    return this.waits.filter((wait) => wait <= OPENING_LIFETIME_MS).length;
  }
}

/** Opening packets at a constant rate, in packets a second. */
function createArrivals(rate: number, duration: number): Arrival[] {
  const count = Math.round((rate * duration) / 1_000);
  return Array.from({ length: count }, (_, index) => ({
    at: (index * 1_000) / rate,
    bytes: encode(index, ModelFlag.opens),
  }));
}

test('under twice the load that it can handle, a balancer handles packets whose clients still wait', (t) => {
  const OVERLOAD_MS = 20_000;
  const arrivals = createArrivals(2_000, OVERLOAD_MS);
  const inOrder = new BusyProcess(0.1, 0.9);
  inOrder.run(arrivals, OVERLOAD_MS, (bytes) => inOrder.handle(bytes));
  t.true(inOrder.countInTime() < inOrder.waits.length / 5, 'in order of arrival most are late');
  const process = new BusyProcess(0.1, 0.9);
  process.run(arrivals, OVERLOAD_MS);
  t.true(process.waits.length > inOrder.waits.length / 2, `${process.waits.length} handled`);
  t.is(process.countInTime(), process.waits.length);
});

test('a queue of stale packets is read in a moment, and the next ones are handled in time', (t) => {
  const backlog = Array.from({ length: 4_000 }, (_, client) => ({
    at: -5_000,
    bytes: encode(client, ModelFlag.opens),
  }));
  const fresh = createArrivals(300, 2_000).map(({ at, bytes }) => ({ at: at + 1_000, bytes }));
  const process = new BusyProcess(0.1, 0.9);
  process.run([...backlog, ...fresh], 4_000);
  const waits = process.waits.filter((wait) => wait < 4_000);
  t.is(waits.length, fresh.length);
  t.true(Math.max(...waits) < 200);
});

test('a balancer that keeps up handles each packet as it is read', (t) => {
  const process = new BusyProcess(0.1, 0.5);
  const arrivals = createArrivals(800, 2_000);
  process.run(arrivals, 2_100);
  t.is(process.waits.length, arrivals.length);
  t.is(process.scheduler.dropped, 0);
  t.true(Math.max(...process.waits) < 20);
  const order = process.handled.map(({ client }) => client);
  t.deepEqual(
    order,
    [...order].sort((one, other) => one - other),
  );
});

test('a starting balancer gets every packet at once, and malformed ones are not queued', (t) => {
  const process = new BusyProcess(0.1, 0.5);
  process.isStarting = true;
  process.run(
    Array.from({ length: 100 }, (_, client) => ({ at: 0, bytes: encode(client, ModelFlag.opens) })),
    70,
  );
  t.is(process.waits.length, 100);
  const received: Buffer[] = [];
  const scheduler = new IngressScheduler({
    now: () => 0,
    decode: () => undefined,
    handle: (bytes) => received.push(bytes),
    isStarting: () => false,
    runAfterReads: () => undefined,
  });
  const malformed = Buffer.from('x');
  Array.from({ length: 40 }).forEach(() => scheduler.receive(malformed));
  t.is(received.length, 40);
});

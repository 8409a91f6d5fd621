/** A target: holds flows, works on requests, tells its agent of itself. */
import { Buffer } from 'node:buffer';
import { createSocket } from 'node:dgram';
import { request as call, createServer } from 'node:http';
import { clearInterval, clearTimeout, setInterval, setTimeout } from 'node:timers';
import { URL } from 'node:url';
import { decode, distance, encode, Flag, MAXIMUM_DATA_BYTES } from './packets.mjs';

const WINDOW_PACKETS = 16;
const FIRST_RETRY_MS = 200;
const LONGEST_RETRY_MS = 1600;
const MAXIMUM_TRIES = 8;
const BEAT_TIMEOUT_MS = 1000;

export class Target {
  #flows = new Map();
  #socket;
  #health;
  #beats;
  #beatCount = 0;
  #working = 0;
  #queue = [];
  isAlive = false;
  isDraining = false;
  hasLeft = false;
  /** Opening packets that this target took: `{ at, client }`. */
  openings = [];
  /** Requests that it ran: `{ id, at }`. */
  runs = [];

  /** @param settings id, service, zone, address, ports, slots, heartbeatMs, coldMs, record */
  constructor(settings) {
    Object.assign(this, settings);
    this.born = Date.now();
  }

  async start({ firstBeatMs = 20 } = {}) {
    this.#socket = createSocket('udp4');
    await new Promise((done) => this.#socket.bind(this.ports.app, this.address, done));
    this.#socket.on('message', (bytes) => this.#receive(bytes));
    this.#socket.on('error', () => undefined);
    this.#health = createServer((_call, response) => {
      response.writeHead(this.isDraining || this.hasLeft ? 503 : 200, { 'X-Instance-Id': this.id });
      response.end();
    });
    await new Promise((done) => this.#health.listen(this.ports.app, this.address, done));
    this.isAlive = true;
    this.startedAt = Date.now();
    this.record.write(`${this.id}: target of ${this.service} starts at ${this.address}`);
    this.#beats = setTimeout(() => {
      void this.beat();
      this.#beats = setInterval(() => void this.beat(), this.heartbeatMs);
    }, firstBeatMs);
  }

  /** The body of a heartbeat as of now. */
  createBeat() {
    return {
      service: this.service,
      addr: `${this.address}:${this.ports.app}`,
      zone: this.zone,
      version: 'v1',
      slots: this.slots,
      state: this.isDraining ? 'draining' : 'ready',
      'cold-left-ms': Math.max(0, (this.coldMs ?? 0) - (Date.now() - this.startedAt)),
      seq: ++this.#beatCount,
      born: this.born,
    };
  }

  /** Sends a heartbeat; resolves with the status, 0 for none in time. */
  async beat(body = this.createBeat()) {
    const status = await this.#callAgent('PUT', body);
    if (status < 200 || status > 299) {
      this.record.write(`${this.id}: heartbeat ${body.seq} not acknowledged (${status})`);
    }
    return status;
  }

  /** Says that it leaves for good, without having said `draining`; serves on afterwards. */
  async leave() {
    clearInterval(this.#beats);
    clearTimeout(this.#beats);
    const status = await this.#callAgent('DELETE', { born: this.born });
    this.hasLeft = true;
    this.record.write(`${this.id}: DELETE /hallhold/instances/${this.id} -> ${status}`);
    return status;
  }

  /** Ends: forgets its flows and listens no more. */
  end() {
    if (!this.isAlive) {
      return;
    }
    this.isAlive = false;
    clearInterval(this.#beats);
    clearTimeout(this.#beats);
    for (const flow of this.#flows.values()) {
      clearTimeout(flow.timer);
    }
    this.#flows.clear();
    this.#socket.close();
    this.#health.closeAllConnections();
    this.#health.close();
    this.record.write(`${this.id}: target ends`);
  }

  holds(key) {
    return this.#flows.get(key)?.state === 'open';
  }

  #callAgent(method, body) {
    const text = JSON.stringify(body);
    return new Promise((done) => {
      const sent = call(
        {
          host: this.address,
          port: this.ports.control,
          method,
          path: `/hallhold/instances/${this.id}`,
          agent: false,
          timeout: BEAT_TIMEOUT_MS,
          headers: { 'Content-Type': 'application/json', 'Content-Length': text.length },
        },
        (response) => {
          response.resume();
          response.on('end', () => done(response.statusCode));
        },
      );
      sent.on('timeout', () => sent.destroy(new Error('no answer')));
      sent.on('error', () => done(0));
      sent.end(text);
    });
  }

  #receive(bytes) {
    const packet = decode(bytes);
    const key = `${packet.source.address}:${packet.source.port}`;
    const flow = this.#flows.get(key);
    if (!packet.isIntact) {
      this.record.write(`${this.id}: packet of ${key} in a form that its sender did not write`);
    }
    if (packet.flags & Flag.syn) {
      this.#open(key, packet, flow);
    } else if (!flow || (flow.state === 'half' && distance(flow.first + 1, packet.ack) !== 0)) {
      bytes[30] |= Flag.bounced;
      this.#send(bytes);
    } else if (packet.flags & Flag.rst) {
      clearTimeout(flow.timer);
      this.#flows.delete(key);
    } else if (flow.state === 'ended') {
      this.#answerEnded(packet, flow);
    } else {
      this.#continue(key, packet, flow);
    }
  }

  #open(key, packet, known) {
    const first = Math.floor(Math.random() * 2 ** 32);
    const flow = known ?? {
      key,
      state: 'half',
      client: packet.source,
      route: packet.destination,
      first,
      next: first + 1,
      acked: first + 1,
      expected: (packet.seq + 1) >>> 0,
      ahead: new Map(),
      unacked: [],
      waiting: [],
      received: Buffer.alloc(0),
      sinceAck: 0,
      tries: 0,
    };
    if (!known) {
      this.#flows.set(key, flow);
      this.openings.push({ at: this.record.now(), client: key });
      this.record.write(`${this.id}: takes the opening packet of ${key}`);
    }
    this.#sendTo(flow, Flag.syn | Flag.ack, flow.first);
  }

  #answerEnded(packet, flow) {
    if (packet.flags & Flag.fin) {
      flow.expected = (packet.seq + packet.data.length + 1) >>> 0;
      this.#sendTo(flow, Flag.ack, flow.next);
    } else if (packet.data.length > 0) {
      this.#sendTo(flow, Flag.rst, flow.next);
    }
  }

  #continue(key, packet, flow) {
    if (flow.state === 'half') {
      flow.state = 'open';
      this.record.write(`${this.id}: flow ${key} is open`);
    }
    this.#handleAck(flow, packet.ack);
    if (packet.data.length > 0) {
      const isOld = distance(flow.expected, packet.seq) < 0;
      if (!isOld) {
        flow.ahead.set(packet.seq, packet.data);
      }
      while (flow.ahead.has(flow.expected)) {
        const data = flow.ahead.get(flow.expected);
        flow.ahead.delete(flow.expected);
        flow.expected = (flow.expected + data.length) >>> 0;
        flow.received = Buffer.concat([flow.received, data]);
      }
      flow.sinceAck++;
      if (flow.sinceAck >= 2 || isOld || flow.ahead.size > 0) {
        flow.sinceAck = 0;
        this.#sendTo(flow, Flag.ack, flow.next);
      }
      this.#readRequests(flow);
    }
    if (packet.flags & Flag.fin) {
      flow.expected = (packet.seq + packet.data.length + 1) >>> 0;
      flow.state = 'ended';
      clearTimeout(flow.timer);
      this.#sendTo(flow, Flag.ack | Flag.fin, flow.next);
      flow.next = (flow.next + 1) >>> 0;
    }
  }

  #readRequests(flow) {
    const end = flow.received.indexOf('\r\n\r\n');
    if (end < 0) {
      return;
    }
    const head = flow.received.toString('latin1', 0, end);
    const length = Number(/content-length: (\d+)/i.exec(head)?.[1] ?? 0);
    if (flow.received.length < end + 4 + length) {
      return;
    }
    flow.received = flow.received.subarray(end + 4 + length);
    const id = /x-request-id: (\S+)/i.exec(head)?.[1] ?? '';
    const path = head.split(' ')[1];
    this.#queue.push({ flow, id, path });
    this.#work();
  }

  #work() {
    if (this.#working >= this.slots || this.#queue.length === 0) {
      return;
    }
    const { flow, id, path } = this.#queue.shift();
    const query = new URL(path, 'http://target').searchParams;
    this.#working++;
    this.runs.push({ id, at: this.record.now() });
    this.record.write(`${this.id}: runs request ${id} of ${flow.key}`);
    setTimeout(
      () => {
        this.#working--;
        if (this.isAlive) {
          this.#answer(flow, id, Number(query.get('bytes') ?? 600));
          this.#work();
        }
      },
      Number(query.get('work') ?? 50),
    );
  }

  #answer(flow, id, length) {
    const body = Buffer.alloc(length, 'x');
    const head = `HTTP/1.1 200 OK\r\nX-Server-Stamp: ${this.id}/${id}\r\nContent-Length: ${length}\r\n\r\n`;
    this.record.write(`${this.id}: has done request ${id}`);
    if (flow.state !== 'open') {
      return;
    }
    const bytes = Buffer.concat([Buffer.from(head), body]);
    for (let start = 0; start < bytes.length; start += MAXIMUM_DATA_BYTES) {
      flow.waiting.push(bytes.subarray(start, start + MAXIMUM_DATA_BYTES));
    }
    this.#sendWaiting(flow);
  }

  #sendWaiting(flow) {
    while (flow.waiting.length > 0 && flow.unacked.length < WINDOW_PACKETS) {
      const data = flow.waiting.shift();
      flow.unacked.push({ seq: flow.next, data });
      this.#sendTo(flow, Flag.ack, flow.next, data);
      flow.next = (flow.next + data.length) >>> 0;
    }
    this.#startRetry(flow);
  }

  #startRetry(flow) {
    if (flow.timer || flow.unacked.length === 0) {
      return;
    }
    const delay = Math.min(LONGEST_RETRY_MS, FIRST_RETRY_MS * 2 ** flow.tries);
    flow.timer = setTimeout(() => {
      flow.timer = undefined;
      if (flow.unacked.length === 0 || flow.state !== 'open') {
        return;
      }
      flow.tries++;
      if (flow.tries > MAXIMUM_TRIES) {
        flow.state = 'ended';
        this.record.write(`${this.id}: gives up on flow ${flow.key}`);
        return;
      }
      const [{ seq, data }] = flow.unacked;
      this.#sendTo(flow, Flag.ack, seq, data);
      this.#startRetry(flow);
    }, delay);
  }

  #handleAck(flow, ack) {
    const before = flow.unacked.length;
    flow.unacked = flow.unacked.filter(({ seq, data }) => distance(seq + data.length, ack) < 0);
    if (flow.unacked.length < before) {
      flow.tries = 0;
      clearTimeout(flow.timer);
      flow.timer = undefined;
    }
    if (flow.state === 'open') {
      this.#sendWaiting(flow);
    }
  }

  #sendTo(flow, flags, seq, data) {
    const { route: source, client: destination, expected: ack } = flow;
    this.#send(encode({ source, destination, flags, seq, ack, data }));
  }

  #send(bytes) {
    if (this.isAlive) {
      this.#socket.send(bytes, this.ports.outbound, this.address);
    }
  }
}

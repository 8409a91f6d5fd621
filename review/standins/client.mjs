/** Clients: one address, a flow for each port; packets go to a balancer by way of the router. */
import { Buffer } from 'node:buffer';
import { createSocket } from 'node:dgram';
import { clearTimeout, setTimeout } from 'node:timers';
import { decode, distance, encode, Flag, MAXIMUM_DATA_BYTES } from './packets.mjs';

const COPY_DELAYS_MS = [200, 600];
const OPENING_MS = 1400;
const FIRST_RETRY_MS = 200;
const LONGEST_RETRY_MS = 1600;
const WINDOW_PACKETS = 16;
const RESET_WINDOW = 76_800;

/** The clients at one address. */
export class ClientHost {
  #socket;
  #flows = new Map();
  #nextPort = 1032;

  constructor({ address, port, router, record }) {
    Object.assign(this, { address, port, router, record });
  }

  async start() {
    this.#socket = createSocket('udp4');
    await new Promise((done) => this.#socket.bind(this.port, this.address, done));
    this.#socket.on('message', (bytes) => {
      const packet = decode(bytes);
      this.#flows.get(packet.destination.port)?.receive(packet);
    });
  }

  close() {
    for (const flow of this.#flows.values()) {
      flow.stop();
    }
    this.#socket.close();
  }

  /** Opens a flow to a route's address; resolves when it is open or has failed. */
  async open(destination, name) {
    const source = { address: this.address, port: this.#nextPort++ };
    const flow = new ClientFlow(this, source, destination, name);
    this.#flows.set(source.port, flow);
    await flow.open();
    return flow;
  }

  send(bytes) {
    this.router.forward(bytes);
  }
}

/** One flow. `state`: opening, open, unopened, reset, closed. */
export class ClientFlow {
  #host;
  #timers = new Set();
  #opened;
  #request;
  #received = Buffer.alloc(0);
  #ahead = new Map();
  #unacked = [];
  #waiting = [];
  #sinceAck = 0;
  #tries = 0;
  #retryTimer;
  state = 'opening';
  /** Resets that the flow's target did not send, while the flow was open. */
  systemResets = 0;

  constructor(host, source, destination, name) {
    this.#host = host;
    this.source = source;
    this.destination = destination;
    this.name = name;
    this.seq = Math.floor(Math.random() * 2 ** 32);
    this.ack = 0;
  }

  get key() {
    return `${this.source.address}:${this.source.port}`;
  }

  #write(text) {
    this.#host.record.write(`client ${this.name} (${this.key}): ${text}`);
  }

  open() {
    this.#write(`opens a flow to ${this.destination.address}:${this.destination.port}`);
    this.#sendOpening(0);
    COPY_DELAYS_MS.forEach((delay, index) =>
      this.#later(delay, () => this.state === 'opening' && this.#sendOpening(index + 1)),
    );
    this.#later(OPENING_MS, () => this.state === 'opening' && this.#end('unopened'));
    return new Promise((done) => (this.#opened = done));
  }

  /**
   * Sends a request; resolves with `{ outcome, milliseconds }`, outcome `answered`, `reset` or
   * `deadline`.
   */
  request(id, { path, method = 'GET', bytes = 0, deadlineMs }) {
    const body = Buffer.alloc(bytes, 'y');
    const text = `${method} ${path} HTTP/1.1\r\nX-Request-Id: ${id}\r\nContent-Length: ${bytes}\r\n\r\n`;
    this.#write(`sends request ${id} (${method} ${path})`);
    const sentAt = this.#host.record.now();
    const result = new Promise((done) => {
      this.#request = { id, done, sentAt };
    });
    this.#later(deadlineMs, () => this.#finish(id, 'deadline'));
    const data = Buffer.concat([Buffer.from(text), body]);
    for (let start = 0; start < data.length; start += MAXIMUM_DATA_BYTES) {
      this.#waiting.push(data.subarray(start, start + MAXIMUM_DATA_BYTES));
    }
    this.#sendWaiting();
    return result;
  }

  close() {
    if (this.state === 'open') {
      this.#send(Flag.ack | Flag.fin, this.seq);
      this.#end('closed');
    }
  }

  stop() {
    this.#timers.forEach((timer) => clearTimeout(timer));
    clearTimeout(this.#retryTimer);
  }

  receive(packet) {
    if (this.state !== 'opening' && this.state !== 'open') {
      return;
    }
    if (packet.flags & Flag.rst) {
      this.#handleReset(packet);
    } else if (packet.flags & Flag.syn) {
      this.#handleOpened(packet);
    } else if (this.state === 'open') {
      this.#handlePacket(packet);
    }
  }

  #handleReset(packet) {
    const isInWindow = Math.abs(distance(this.ack, packet.seq)) <= RESET_WINDOW;
    if (this.state === 'open' && !isInWindow) {
      return;
    }
    const sender = packet.isSystemReset ? 'the system' : 'its target';
    this.#write(`gets a reset from ${sender} (flow ${this.state})`);
    if (this.state === 'open' && packet.isSystemReset) {
      this.systemResets++;
    }
    this.#end('reset');
  }

  #handleOpened(packet) {
    if (this.state === 'opening') {
      this.state = 'open';
      this.seq = (this.seq + 1) >>> 0;
      this.ack = (packet.seq + 1) >>> 0;
      this.#write('flow is open');
      this.#opened(this);
    }
    this.#send(Flag.ack, this.seq);
  }

  #handlePacket(packet) {
    if (!packet.isIntact) {
      this.#write('gets a packet in a form that its sender did not write');
    }
    const before = this.#unacked.length;
    this.#unacked = this.#unacked.filter(
      ({ seq, data }) => distance(seq + data.length, packet.ack) < 0,
    );
    if (this.#unacked.length < before) {
      this.#tries = 0;
      clearTimeout(this.#retryTimer);
      this.#retryTimer = undefined;
    }
    this.#sendWaiting();
    if (packet.data.length > 0) {
      this.#handleData(packet);
    }
    if (packet.flags & Flag.fin && this.state === 'open') {
      this.ack = (packet.seq + packet.data.length + 1) >>> 0;
      this.#send(Flag.ack | Flag.fin, this.seq);
      this.#write('flow is closed by its target');
      this.#end('closed');
    }
  }

  #handleData(packet) {
    const isOld = distance(this.ack, packet.seq) < 0;
    if (!isOld) {
      this.#ahead.set(packet.seq, Buffer.from(packet.data));
    }
    while (this.#ahead.has(this.ack)) {
      const data = this.#ahead.get(this.ack);
      this.#ahead.delete(this.ack);
      this.ack = (this.ack + data.length) >>> 0;
      this.#received = Buffer.concat([this.#received, data]);
    }
    this.#sinceAck++;
    const isComplete = this.#readAnswer();
    if (isComplete || isOld || this.#ahead.size > 0 || this.#sinceAck >= 2) {
      this.#sinceAck = 0;
      this.#send(Flag.ack, this.seq);
    }
  }

  #readAnswer() {
    const end = this.#received.indexOf('\r\n\r\n');
    if (end < 0 || !this.#request) {
      return false;
    }
    const head = this.#received.toString('latin1', 0, end);
    const length = Number(/content-length: (\d+)/i.exec(head)?.[1] ?? 0);
    if (this.#received.length < end + 4 + length) {
      return false;
    }
    this.#received = this.#received.subarray(end + 4 + length);
    const stamp = /x-server-stamp: (\S+)/i.exec(head)?.[1];
    this.#finish(this.#request.id, 'answered', stamp);
    return true;
  }

  #finish(id, outcome, stamp) {
    if (this.#request?.id !== id) {
      return;
    }
    const { done, sentAt } = this.#request;
    this.#request = undefined;
    const milliseconds = Math.round(this.#host.record.now() - sentAt);
    this.#write(`request ${id}: ${outcome}${stamp ? ` by ${stamp}` : ''}, ${milliseconds} ms`);
    done({ outcome, milliseconds, stamp });
  }

  #sendOpening(copy) {
    const { source, destination, seq } = this;
    this.#host.send(encode({ source, destination, flags: Flag.syn, seq, ack: copy }));
  }

  #sendWaiting() {
    while (this.#waiting.length > 0 && this.#unacked.length < WINDOW_PACKETS) {
      const data = this.#waiting.shift();
      this.#unacked.push({ seq: this.seq, data });
      this.#send(Flag.ack, this.seq, data);
      this.seq = (this.seq + data.length) >>> 0;
    }
    this.#startRetry();
  }

  #startRetry() {
    if (this.#retryTimer || this.#unacked.length === 0) {
      return;
    }
    const delay = Math.min(LONGEST_RETRY_MS, FIRST_RETRY_MS * 2 ** this.#tries);
    this.#retryTimer = setTimeout(() => {
      this.#retryTimer = undefined;
      if (this.state === 'open' && this.#request && this.#unacked.length > 0) {
        this.#tries++;
        const [{ seq, data }] = this.#unacked;
        this.#write(`sends its oldest packet again (${data.length} bytes)`);
        this.#send(Flag.ack, seq, data);
        this.#startRetry();
      }
    }, delay);
  }

  #send(flags, seq, data) {
    const { source, destination, ack } = this;
    this.#host.send(encode({ source, destination, flags, seq, ack, data }));
  }

  #end(state) {
    this.state = state;
    this.stop();
    if (state === 'unopened') {
      this.#write('no answer to the opening packet');
    }
    this.#opened(this);
    if (this.#request) {
      this.#finish(this.#request.id, state);
    }
  }

  #later(delay, action) {
    const timer = setTimeout(() => {
      this.#timers.delete(timer);
      action();
    }, delay);
    this.#timers.add(timer);
  }
}

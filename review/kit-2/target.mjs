/* global Buffer, performance, setTimeout, setInterval, clearInterval */
/** A target on a `side` machine: takes flows over UDP, beats to its machine's control address, and leaves. */
import { createSocket } from 'node:dgram';
import { createServer, request } from 'node:http';
import { decodePacket, encodePacket, Flag } from './wire.mjs';

const CALL_TIMEOUT_MS = 1_000;
const RETRY_MS = 200;
const MAXIMUM_RETRY_MS = 1_600;
const MAXIMUM_TRIES = 8;

/** One incarnation of a target. */
export class Target {
  flows = new Map();
  state = 'ready';
  seq = 0;
  isAlive = false;
  isLeaving = false;

  /**
   * @param machine `{ ip, zone, ports }`
   * @param options service, id, slots, workMs, heartbeatMs, coldMs
   * @param log called with the kind of an event and its fields
   */
  constructor(machine, options, log) {
    this.machine = machine;
    this.options = { slots: 4, workMs: 20, heartbeatMs: 1_200, coldMs: 0, ...options };
    this.log = (kind, fields = {}) => log(kind, { target: this.options.id, ...fields });
  }

  get addr() {
    return `${this.machine.ip}:${this.machine.ports.app}`;
  }

  async start() {
    const { ip, ports } = this.machine;
    this.born = Date.now();
    this.startedAt = performance.now();
    this.socket = createSocket('udp4');
    this.socket.on('message', (bytes) => this.receive(bytes));
    await new Promise((done) => this.socket.bind(ports.app, ip, done));
    this.health = createServer((_call, response) => {
      response.writeHead(this.isLeaving || this.state !== 'ready' ? 503 : 200);
      response.end();
    });
    await new Promise((done) => this.health.listen(ports.app, ip, done));
    this.isAlive = true;
    this.log('target starts', { service: this.options.service, born: this.born });
    this.beat();
    this.timer = setInterval(() => this.beat(), this.options.heartbeatMs);
  }

  /** Ends at once, without a word; its flows are forgotten. */
  crash(why = 'target crashes') {
    this.isAlive = false;
    clearInterval(this.timer);
    this.socket.close();
    this.health.closeAllConnections();
    this.health.close();
    this.log(why);
  }

  createHeartbeat() {
    return {
      service: this.options.service,
      addr: this.addr,
      zone: this.machine.zone,
      version: 'v1',
      slots: this.options.slots,
      state: this.state,
      'cold-left-ms': Math.max(
        0,
        Math.round(this.options.coldMs - (performance.now() - this.startedAt)),
      ),
      seq: ++this.seq,
      born: this.born,
    };
  }

  beat() {
    const body = this.createHeartbeat();
    this.call('PUT', body).then((status) => {
      if (status === 200 && body.state === 'draining' && !this.acknowledgedAt) {
        this.acknowledgedAt = performance.now();
        this.log('draining acknowledged');
      }
    });
  }

  drain() {
    this.state = 'draining';
    this.log('target says draining');
    this.beat();
  }

  /** Says DELETE first, as some do, and serves on; resolves when that is acknowledged. */
  async leaveFirst() {
    clearInterval(this.timer);
    this.isLeaving = true;
    this.log('target says DELETE');
    while ((await this.call('DELETE', { born: this.born })) !== 200) {
      await new Promise((done) => setTimeout(done, 100));
    }
    this.acknowledgedAt = performance.now();
    this.log('DELETE acknowledged');
  }

  /** Makes a call at the control address of this machine; resolves to its status, 0 for none. */
  call(method, body, id = this.options.id) {
    const { ip, ports } = this.machine;
    const text = JSON.stringify(body);
    return new Promise((done) => {
      const call = request(
        {
          host: ip,
          port: ports.control,
          method,
          path: `/hallhold/instances/${id}`,
          headers: {
            'Content-Type': 'application/json',
            'Content-Length': Buffer.byteLength(text),
          },
          agent: false,
          timeout: CALL_TIMEOUT_MS,
        },
        (response) => {
          response.resume();
          done(response.statusCode);
        },
      );
      call.on('timeout', () => call.destroy());
      call.on('error', () => done(0));
      call.end(text);
    });
  }

  receive(bytes) {
    const packet = decodePacket(bytes);
    if (!packet || !this.isAlive) {
      return;
    }
    if (!packet.isIntact) {
      this.log('altered packet', { from: packet.from.join(':') });
      return;
    }
    const key = `${packet.from.join(':')} ${packet.to.join(':')}`;
    const flow = this.flows.get(key);
    if (packet.opens) {
      this.open(packet, key, flow);
    } else if (!flow || (!flow.isOpen && packet.ack !== flow.seq + 1)) {
      this.log('packet of a flow not held', { flow: key });
      bytes[30] |= Flag.bounced;
      this.send(bytes);
    } else {
      this.handle(packet, key, flow);
    }
  }

  open(packet, key, known) {
    const flow = known ?? {
      key,
      seq: Math.floor(Math.random() * 2 ** 31),
      next: 0,
      expected: packet.seq + 1,
      isOpen: false,
      answers: new Map(),
    };
    if (!known) {
      flow.next = flow.seq + 1;
      this.flows.set(key, flow);
      this.log('opening packet', { flow: key, route: packet.to.join(':') });
    }
    this.send(this.encode(packet, Flag.syn | Flag.ack, flow.seq, flow.expected));
  }

  handle(packet, key, flow) {
    if (!flow.isOpen) {
      flow.isOpen = true;
      this.log('flow opens', { flow: key, route: packet.to.join(':') });
    }
    flow.acked = packet.ack;
    if (packet.resets) {
      this.flows.delete(key);
      this.log('flow reset by its client', { flow: key });
      return;
    }
    if (packet.text !== '') {
      this.takeRequest(packet, flow);
    }
    if (packet.ends && !flow.hasEnded) {
      flow.hasEnded = true;
      this.send(
        this.encode(packet, Flag.ack | Flag.fin, flow.next, packet.seq + packet.text.length + 1),
      );
    }
  }

  /** Each request is one packet here; a copy of one that has run gets its answer again. */
  takeRequest(packet, flow) {
    const known = flow.answers.get(packet.seq);
    if (known !== undefined) {
      if (known !== 'runs') {
        this.send(known);
      }
      return;
    }
    flow.answers.set(packet.seq, 'runs');
    const id = /X-Request-Id: (\S+)/.exec(packet.text)?.[1];
    this.log('runs', { id, route: packet.to.join(':') });
    setTimeout(() => {
      if (!this.isAlive) {
        return;
      }
      const body = `answer to ${id}`;
      const text = `HTTP/1.1 200 OK\r\nX-Server-Stamp: ${this.options.id}\r\nContent-Length: ${body.length}\r\n\r\n${body}`;
      const answer = this.encode(
        packet,
        Flag.ack,
        flow.next,
        packet.seq + packet.text.length,
        text,
      );
      flow.next += text.length;
      flow.answers.set(packet.seq, answer);
      this.sendUntilAcknowledged(answer, flow, flow.next, RETRY_MS, 0);
    }, this.options.workMs);
  }

  sendUntilAcknowledged(bytes, flow, end, wait, tries) {
    if (!this.isAlive || tries > MAXIMUM_TRIES || (flow.acked !== undefined && flow.acked >= end)) {
      return;
    }
    this.send(bytes);
    const next = Math.min(MAXIMUM_RETRY_MS, wait * 2);
    setTimeout(() => this.sendUntilAcknowledged(bytes, flow, end, next, tries + 1), wait);
  }

  encode(packet, flags, seq, ack, text = '') {
    return encodePacket({ from: packet.to, to: packet.from, flags, seq, ack, text });
  }

  send(bytes) {
    if (this.isAlive) {
      this.socket.send(bytes, this.machine.ports.outbound, this.machine.ip);
    }
  }
}

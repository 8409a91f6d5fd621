/**
 * A target of the soak: opens flows, runs requests, rejects packets of flows it does not hold,
 * sends heartbeats, drains, crashes and is replaced at the same address. It can be slow, or fail
 * requests while it still answers opening packets.
 */
import { createSocket, type Socket } from 'node:dgram';
import { request } from 'node:http';
import { createServer, type Server } from 'node:net';
import { packetFormat } from '../../platform/packet-header';
import type { FlowKey, FlowPacket } from '../../src/packets/flow-packet';
import type { ObservedTarget } from '../../src/simulation/packets/packet-invariant-checker';
import { encodePacket, Flag, HEADER_BYTES, type ClusterPorts } from '../support/packet-cluster';
import { isUnalteredFromClient, writeChecksum } from './packet-seal';

const HEARTBEAT_INTERVAL_MS = 400;
const HEARTBEAT_TIMEOUT_MS = 1_000;
/** Time after its start for which a target reports a cold start. */
export const COLD_TIME_MS = 1_200;
const SLOTS = 5;
const SEQUENCE_RANGE = 2 ** 31;
const SERVICE_TIME_MS = 15;
/** Factor on the service time of a slow target. */
const SLOW_FACTOR = 8;
/** Shares of requests that a failing target answers with an error, and resets. */
const ERROR_SHARE = 0.3;
const RESET_SHARE = 0.3;
const REQUEST_ID = /X-Request-Id: (\S+)/;

type AddressAndPort = readonly [string, number];

/** How a target serves requests; opening packets and heartbeats are not affected. */
export type TargetBehaviour = 'usual' | 'slow' | 'failing';

interface TargetFlow {
  /** Sequence number of the answer to the opening packet. */
  readonly sequence: number;
  /** Sequence number of the next answer. */
  next: number;
  open: boolean;
  /** Answers by the request's sequence number; undefined while the request runs. */
  readonly answers: Map<number, Buffer | undefined>;
}

/** Callbacks of a target. */
export interface SoakTargetObserver {
  onOpeningPacket(target: ObservedTarget): void;
  onPacket(target: ObservedTarget, flow: FlowKey): void;
  onFlowOpened(target: ObservedTarget, packet: FlowPacket): void;
  onRequest(target: ObservedTarget, text: string): void;
  onDrainAcknowledged(target: ObservedTarget): void;
  /** A client's packet arrived altered. */
  onAlteredPacket(target: ObservedTarget, packet: FlowPacket): void;
}

/** The successive incarnations of the target on one machine. */
export class SoakTarget {
  incarnation = '';
  /** Its name on the wire; a new one for each incarnation unless the name is kept. */
  private id = '';
  private startTime = 0;
  alive = false;
  /** Rejects new flows, as with a full queue. */
  full = false;
  behaviour: TargetBehaviour = 'usual';
  private draining = false;
  private drainKnown = false;
  private heartbeatCount = 0;
  private flows = new Map<FlowKey, TargetFlow>();
  private socket: Socket | undefined;
  /** Accepts the liveness probes of agents. */
  private listener: Server | undefined;
  private timer: NodeJS.Timeout | undefined;
  private starts = 0;

  constructor(
    readonly machine: string,
    readonly service: string,
    private readonly ports: ClusterPorts,
    private readonly random: () => number,
    private readonly observer: SoakTargetObserver,
  ) {}

  /**
   * Starts a new incarnation without flows, under its earlier name or a new one.
   * @param firstHeartbeatDelay milliseconds by which its first heartbeat arrives late
   */
  async start(keepsName = false, firstHeartbeatDelay = 0): Promise<void> {
    this.incarnation = `${this.machine}-${++this.starts}`;
    this.id = keepsName ? this.id : this.incarnation;
    this.startTime = Date.now();
    this.draining = this.drainKnown = this.full = false;
    this.behaviour = 'usual';
    this.heartbeatCount = 0;
    this.flows = new Map();
    const socket = createSocket('udp4');
    await new Promise<void>((done) => socket.bind(this.ports.application, this.machine, done));
    socket.on('message', (bytes) => this.handlePacket(bytes));
    this.socket = socket;
    this.listener = createServer((stream) => stream.destroy());
    this.listener.listen(this.ports.application, this.machine);
    this.alive = true;
    if (firstHeartbeatDelay === 0) {
      this.startHeartbeats();
      return;
    }
    const late = this.createHeartbeat();
    this.timer = setTimeout(() => {
      this.sendHeartbeat(late);
      this.startHeartbeats();
    }, firstHeartbeatDelay);
  }

  private startHeartbeats(): void {
    this.timer = setInterval(() => this.sendHeartbeat(), HEARTBEAT_INTERVAL_MS);
    this.sendHeartbeat();
  }

  /** Stops without notice to the agent. */
  crash(): void {
    this.alive = false;
    clearInterval(this.timer);
    this.socket?.close();
    this.listener?.close();
    this.socket = undefined;
  }

  drain(): void {
    this.draining = true;
    this.sendHeartbeat();
  }

  /** Announces that it leaves, without having drained, and serves on until it crashes. */
  deregister(): void {
    clearInterval(this.timer);
    const { observed } = this;
    this.sendControlRequest('DELETE', JSON.stringify({ born: this.startTime }), (status) => {
      if (status === 200) {
        this.observer.onDrainAcknowledged(observed);
      }
    });
  }

  /** Stops as planned: announces to the agent that it leaves. */
  leave(): void {
    this.sendControlRequest('DELETE', JSON.stringify({ born: this.startTime }), () => undefined);
    this.crash();
  }

  holds(flow: FlowKey): boolean {
    return this.alive && this.flows.get(flow)?.open === true;
  }

  get observed(): ObservedTarget {
    return { incarnation: this.incarnation, service: this.service };
  }

  /** Sends a heartbeat under this target's name, as a foreign program would. */
  sendForeignHeartbeat(fields: object): void {
    const body = { service: this.service, slots: SLOTS, state: 'draining', seq: 1_000_000 };
    this.sendControlRequest('PUT', JSON.stringify({ ...body, ...fields }), () => undefined);
  }

  private createHeartbeat(): string {
    return JSON.stringify({
      service: this.service,
      addr: `${this.machine}:${this.ports.application}`,
      zone: 'z',
      version: 'v1',
      slots: SLOTS,
      state: this.draining ? 'draining' : 'ready',
      'cold-left-ms': Math.max(0, COLD_TIME_MS - (Date.now() - this.startTime)),
      seq: ++this.heartbeatCount,
      born: this.startTime,
    });
  }

  private sendHeartbeat(body = this.createHeartbeat()): void {
    const { observed, draining } = this;
    this.sendControlRequest('PUT', body, (status) => {
      if (
        status === 200 &&
        draining &&
        !this.drainKnown &&
        observed.incarnation === this.incarnation
      ) {
        this.drainKnown = true;
        this.observer.onDrainAcknowledged(observed);
      }
    });
  }

  private sendControlRequest(
    method: string,
    body: string,
    onStatus: (status: number) => void,
  ): void {
    const call = request(
      {
        host: this.machine,
        port: this.ports.control,
        method,
        path: `/hallhold/instances/${this.id}`,
        headers: { 'Content-Length': Buffer.byteLength(body) },
        agent: false,
        timeout: HEARTBEAT_TIMEOUT_MS,
      },
      (response) => {
        response.resume();
        onStatus(response.statusCode ?? 0);
      },
    );
    call.on('timeout', () => call.destroy());
    call.on('error', () => undefined);
    call.end(body);
  }

  private handlePacket(bytes: Buffer): void {
    const packet = packetFormat.decodeFromClient(bytes);
    if (!packet || !this.alive) {
      return;
    }
    if (!isUnalteredFromClient(bytes) || packet.refused) {
      this.observer.onAlteredPacket(this.observed, packet);
    }
    const flow = this.flows.get(packet.flow);
    if (packet.opens) {
      this.observer.onOpeningPacket(this.observed);
      this.openFlow(packet, flow);
      return;
    }
    this.observer.onPacket(this.observed, packet.flow);
    if (!flow || (!flow.open && packet.acknowledgement !== flow.sequence + 1)) {
      this.rejectPacket(packet);
    } else if (packet.resets || packet.ends) {
      this.flows.delete(packet.flow);
    } else {
      this.handleFlowPacket(packet, flow);
    }
  }

  private openFlow(packet: FlowPacket, known: TargetFlow | undefined): void {
    if (this.full && !known) {
      this.rejectPacket(packet);
      return;
    }
    const sequence = Math.floor(this.random() * SEQUENCE_RANGE);
    const created = { sequence, next: sequence + 1, open: false, answers: new Map() };
    const flow: TargetFlow = known ?? created;
    this.flows.set(packet.flow, flow);
    this.sendPacket(this.encode(packet, Flag.syn | Flag.ack, flow.sequence));
  }

  private handleFlowPacket(packet: FlowPacket, flow: TargetFlow): void {
    if (!flow.open) {
      flow.open = true;
      this.observer.onFlowOpened(this.observed, packet);
    }
    if (packet.payloadLength === 0) {
      return;
    }
    if (flow.answers.has(packet.sequence)) {
      this.sendPacket(flow.answers.get(packet.sequence));
      return;
    }
    const outcome = this.behaviour === 'failing' ? this.random() : 1;
    if (outcome < RESET_SHARE) {
      this.flows.delete(packet.flow);
      this.sendPacket(this.encode(packet, Flag.rst, flow.next));
      return;
    }
    flow.answers.set(packet.sequence, undefined);
    const text = packet.bytes.toString('utf8', HEADER_BYTES);
    this.observer.onRequest(this.observed, text);
    const { incarnation } = this;
    const status = outcome < RESET_SHARE + ERROR_SHARE ? '503 Service Unavailable' : '200 OK';
    const answer = `HTTP/1.1 ${status}\r\n\r\nanswer to ${REQUEST_ID.exec(text)?.[1] ?? ''}`;
    const serviceTime = SERVICE_TIME_MS * (this.behaviour === 'slow' ? SLOW_FACTOR : 1);
    setTimeout(
      () => {
        if (this.alive && incarnation === this.incarnation) {
          this.sendAnswer(packet, flow, answer);
        }
      },
      serviceTime * (0.5 + this.random()),
    );
  }

  /** Buffers and sends an answer; the flow stays open until its client ends it. */
  private sendAnswer(packet: FlowPacket, flow: TargetFlow, text: string): void {
    const flags = Flag.ack | (this.draining ? Flag.fin : 0);
    const bytes = this.encode(packet, flags, flow.next, text);
    flow.next += text.length;
    flow.answers.set(packet.sequence, bytes);
    this.sendPacket(bytes);
  }

  private rejectPacket(packet: FlowPacket): void {
    packet.bytes[30]! |= Flag.bounced;
    this.sendPacket(packet.bytes);
  }

  private encode(packet: FlowPacket, flags: number, sequence: number, text = ''): Buffer {
    const { bytes } = packet;
    const client: AddressAndPort = [bytes.subarray(2, 6).join('.'), bytes.readUInt16BE(0)];
    const route: AddressAndPort = [bytes.subarray(8, 12).join('.'), bytes.readUInt16BE(6)];
    return writeChecksum(encodePacket(route, client, flags, sequence, packet.sequence, text));
  }

  private sendPacket(bytes: Buffer | undefined): void {
    if (bytes) {
      this.socket?.send(bytes, this.ports.outbound, this.machine);
    }
  }
}

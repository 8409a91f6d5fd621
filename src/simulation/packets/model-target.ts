/**
 * Model of a target: opens flows, answers requests and rejects packets of flows that it
 * does not hold. Its flows are lost when it is replaced.
 */
import type { FlowKey, FlowPacket } from '../../packets/flow-packet';
import type { VirtualClock } from '../virtual-clock';
import {
  encodeModelPacket,
  FAILED_ANSWER_PREFIX,
  ModelFlag,
  modelPacketFormat,
  decodePayload,
} from './model-packet-format';

/** Receives the events of a target. */
export interface ModelTargetObserver {
  /** A flow opened: the client's first packet after the opening packet was received. */
  onFlowOpened(target: ModelTarget, packet: FlowPacket): void;
  /** A request started to run. */
  onRequestStarted(target: ModelTarget, request: string): void;
}

/** Sends a target's packets. */
export type TargetOutput = (packet: Buffer) => void;

interface ModelFlow {
  /** Initial sequence number of the target. */
  readonly sequence: number;
  /** Sequence number of the next answer. */
  nextSequence: number;
  open: boolean;
  /** Answers by sequence number of the request; undefined while the request runs. */
  readonly answered: Map<number, ModelAnswer | undefined>;
}

interface ModelAnswer {
  readonly sequence: number;
  readonly text: string;
}

/** Identity of one incarnation of a target. */
export interface ModelTargetIdentity {
  /** Unique for each start. */
  readonly incarnation: string;
  /** Identifier that the target reports; may stay the same across restarts. */
  readonly id: string;
  /** Start time reported by the target. */
  readonly startTime: number;
}

/** One incarnation of a target. */
export class ModelTarget {
  readonly flows = new Map<FlowKey, ModelFlow>();
  /** Requests run, retransmissions not counted. */
  requestsRun = 0;
  alive = true;
  /** End of the cold-start period. */
  coldUntil = 0;
  draining = false;
  /** Has announced its shutdown; sends no heartbeats, and serves until it ends. */
  hasDeregistered = false;
  /** Time at which its shutdown announcement was acknowledged. */
  acknowledgedAt: number | undefined;
  /** Answers every request with a failure immediately. */
  isFailing = false;
  /** Datagrams received while stalled, handled when the stall ends; undefined if not stalled. */
  private postponed: Buffer[] | undefined;
  /** Rejects new flows, like a target with a full queue. */
  isFull = false;

  /**
   * @param nextSequence initial sequence number; differs by target
   * @param serviceTime service time of a request in milliseconds
   */
  constructor(
    readonly identity: ModelTargetIdentity,
    readonly service: string,
    private nextSequence: number,
    private readonly serviceTime: number,
    private readonly clock: VirtualClock,
    private readonly output: TargetOutput,
    private readonly observer: ModelTargetObserver,
  ) {}

  get incarnation(): string {
    return this.identity.incarnation;
  }

  /** Remaining cold-start time in milliseconds. */
  computeColdLeft(now: number): number {
    return Math.max(0, this.coldUntil - now);
  }

  /** Whether the target holds an open flow. */
  holds(flow: FlowKey): boolean {
    return this.alive && this.flows.get(flow)?.open === true;
  }

  /** Stops receiving and sending for a time in milliseconds. */
  stall(milliseconds: number): void {
    this.postponed = [];
    this.clock.schedule(milliseconds, () => {
      const { postponed } = this;
      this.postponed = undefined;
      postponed?.forEach((bytes) => this.receive(bytes));
    });
  }

  /** Handles a datagram from the target's agent. */
  receive(bytes: Buffer): void {
    if (this.postponed) {
      this.postponed.push(Buffer.from(bytes));
      return;
    }
    const packet = this.alive ? modelPacketFormat.decodeFromClient(bytes) : undefined;
    if (packet) {
      this.handlePacket(packet);
    }
  }

  private handlePacket(packet: FlowPacket): void {
    const flow = this.flows.get(packet.flow);
    if (packet.opens) {
      this.handleOpening(packet, flow);
    } else if (!flow || (!flow.open && packet.acknowledgement !== flow.sequence + 1)) {
      this.rejectPacket(packet);
    } else if (packet.resets || packet.ends) {
      this.flows.delete(packet.flow);
    } else {
      if (!flow.open) {
        flow.open = true;
        this.observer.onFlowOpened(this, packet);
      }
      this.handleRequest(packet, flow);
    }
  }

  private handleOpening(packet: FlowPacket, known: ModelFlow | undefined): void {
    if (this.isFull && !known) {
      this.rejectPacket(packet);
      return;
    }
    const flow = known ?? this.createFlow();
    this.flows.set(packet.flow, flow);
    this.send(packet, ModelFlag.opens, flow.sequence, packet.sequence, '');
  }

  private createFlow(): ModelFlow {
    const sequence = this.nextSequence++;
    return { sequence, nextSequence: sequence + 1, open: false, answered: new Map() };
  }

  private handleRequest(packet: FlowPacket, flow: ModelFlow): void {
    if (packet.payloadLength === 0) {
      return;
    }
    if (flow.answered.has(packet.sequence)) {
      this.sendAnswer(packet, flow);
      return;
    }
    const request = decodePayload(packet);
    flow.answered.set(packet.sequence, undefined);
    this.requestsRun++;
    this.observer.onRequestStarted(this, request);
    const text = `${this.isFailing ? FAILED_ANSWER_PREFIX : ''}answer to ${request}`;
    this.clock.schedule(this.isFailing ? 0 : this.serviceTime, () => {
      flow.answered.set(packet.sequence, { sequence: flow.nextSequence, text });
      flow.nextSequence += Buffer.byteLength(text);
      this.sendAnswer(packet, flow);
    });
  }

  private sendAnswer(packet: FlowPacket, flow: ModelFlow): void {
    const answer = flow.answered.get(packet.sequence);
    if (this.postponed) {
      this.clock.schedule(this.serviceTime, () => this.sendAnswer(packet, flow));
      return;
    }
    if (!this.alive || answer === undefined) {
      return;
    }
    const flags = this.draining ? ModelFlag.ends : 0;
    this.send(packet, flags, answer.sequence, packet.sequence, answer.text);
    if (this.draining) {
      this.flows.delete(packet.flow);
    }
  }

  private rejectPacket(packet: FlowPacket): void {
    const bytes = Buffer.from(packet.bytes);
    bytes[0]! |= ModelFlag.refused;
    this.output(bytes);
  }

  private send(
    { client, destination }: FlowPacket,
    flags: number,
    sequence: number,
    acknowledgement: number,
    payload: string,
  ): void {
    const fields = { client, destination, flags, sequence, acknowledgement, payload };
    this.output(encodeModelPacket(fields));
  }
}

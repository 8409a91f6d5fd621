/**
 * A target in the simulation: opens flows, answers requests, and returns every packet of
 * a flow that it does not hold. It forgets its flows when it is replaced.
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

/** What a target shows to the world. */
export interface ModelTargetObserver {
  /** A flow opened: the client's next packet has come. */
  onFlowOpened(target: ModelTarget, packet: FlowPacket): void;
  /** A request began to run. */
  onRequestStarted(target: ModelTarget, request: string): void;
}

/** Where a target's packets go. */
export type TargetOutput = (packet: Buffer) => void;

interface ModelFlow {
  /** The target's own first sequence number. */
  readonly sequence: number;
  /** Sequence number of its next answer. */
  nextSequence: number;
  open: boolean;
  /** By the sequence number of the request; undefined while it works on it. */
  readonly answered: Map<number, ModelAnswer | undefined>;
}

interface ModelAnswer {
  readonly sequence: number;
  readonly text: string;
}

/** How one start of a target is told from others. */
export interface ModelTargetIdentity {
  /** Differs from start to start. */
  readonly incarnation: string;
  /** What the target calls itself, which it may keep. */
  readonly id: string;
  /** When it started, by its own word. */
  readonly startTime: number;
}

/** One start of one target. */
export class ModelTarget {
  readonly flows = new Map<FlowKey, ModelFlow>();
  /** Requests run, repeats not counted. */
  requestsRun = 0;
  alive = true;
  /** Time until which it is slow. */
  coldUntil = 0;
  draining = false;
  /** Answers every request with a failure, at once. */
  isFailing = false;
  /** Stands still: takes and sends nothing, and goes on later with what has come meanwhile. */
  private postponed: Buffer[] | undefined;
  /** Refuses new flows, as one whose queue is full. */
  isFull = false;

  /**
   * @param nextSequence the first sequence number of the target's own; differs by target
   * @param serviceTime milliseconds for a request
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

  /** Milliseconds for which it is still slow. */
  computeColdLeft(now: number): number {
    return Math.max(0, this.coldUntil - now);
  }

  /** Whether the target holds a flow that is open. */
  holds(flow: FlowKey): boolean {
    return this.alive && this.flows.get(flow)?.open === true;
  }

  /** Stands still for so many milliseconds. */
  stall(milliseconds: number): void {
    this.postponed = [];
    this.clock.schedule(milliseconds, () => {
      const { postponed } = this;
      this.postponed = undefined;
      postponed?.forEach((bytes) => this.receive(bytes));
    });
  }

  /** A datagram from the target's agent. */
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
      this.open(packet, flow);
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

  private open(packet: FlowPacket, known: ModelFlow | undefined): void {
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
      this.answer(packet, flow);
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
      this.answer(packet, flow);
    });
  }

  private answer(packet: FlowPacket, flow: ModelFlow): void {
    const known = flow.answered.get(packet.sequence);
    if (this.postponed) {
      this.clock.schedule(this.serviceTime, () => this.answer(packet, flow));
      return;
    }
    if (!this.alive || known === undefined) {
      return;
    }
    const flags = this.draining ? ModelFlag.ends : 0;
    this.send(packet, flags, known.sequence, packet.sequence, known.text);
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

/**
 * A target in the simulation: opens flows, answers requests, and returns every packet of
 * a flow that it does not hold. It forgets its flows when it is replaced.
 */
import type { FlowKey, FlowPacket } from '../../packets/flow-packet';
import type { VirtualClock } from '../virtual-clock';
import {
  encodeModelPacket,
  FAILED_ANSWER,
  ModelFlag,
  modelPacketFormat,
  payloadOf,
} from './model-packet-format';

/** What a target shows to the world. */
export interface ModelTargetObserver {
  /** A flow opened: the client's next packet has come. */
  opened(target: ModelTarget, packet: FlowPacket): void;
  /** A request began to run. */
  ran(target: ModelTarget, request: string): void;
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
export interface ModelLife {
  /** Differs from start to start. */
  readonly incarnation: string;
  /** What the target calls itself, which it may keep. */
  readonly id: string;
  /** When it started, by its own word. */
  readonly born: number;
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
  failing = false;
  /** Stands still: takes and sends nothing, and goes on later with what has come meanwhile. */
  private postponed: Buffer[] | undefined;
  /** Refuses new flows, as one whose queue is full. */
  full = false;

  /**
   * @param nextSequence the first sequence number of the target's own; differs by target
   * @param workTime milliseconds for a request
   */
  constructor(
    readonly life: ModelLife,
    readonly service: string,
    private nextSequence: number,
    private readonly workTime: number,
    private readonly clock: VirtualClock,
    private readonly output: TargetOutput,
    private readonly observer: ModelTargetObserver,
  ) {}

  get incarnation(): string {
    return this.life.incarnation;
  }

  /** Milliseconds for which it is still slow. */
  coldLeft(now: number): number {
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
      this.take(packet);
    }
  }

  private take(packet: FlowPacket): void {
    const flow = this.flows.get(packet.flow);
    if (packet.opens) {
      this.open(packet, flow);
    } else if (!flow || (!flow.open && packet.acknowledgement !== flow.sequence + 1)) {
      this.giveBack(packet);
    } else if (packet.resets || packet.ends) {
      this.flows.delete(packet.flow);
    } else {
      if (!flow.open) {
        flow.open = true;
        this.observer.opened(this, packet);
      }
      this.takeData(packet, flow);
    }
  }

  private open(packet: FlowPacket, known: ModelFlow | undefined): void {
    if (this.full && !known) {
      this.giveBack(packet);
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

  private takeData(packet: FlowPacket, flow: ModelFlow): void {
    if (packet.payloadLength === 0) {
      return;
    }
    if (flow.answered.has(packet.sequence)) {
      this.answer(packet, flow);
      return;
    }
    const request = payloadOf(packet);
    flow.answered.set(packet.sequence, undefined);
    this.requestsRun++;
    this.observer.ran(this, request);
    const text = `${this.failing ? FAILED_ANSWER : ''}answer to ${request}`;
    this.clock.schedule(this.failing ? 0 : this.workTime, () => {
      flow.answered.set(packet.sequence, { sequence: flow.nextSequence, text });
      flow.nextSequence += Buffer.byteLength(text);
      this.answer(packet, flow);
    });
  }

  private answer(packet: FlowPacket, flow: ModelFlow): void {
    const answer = flow.answered.get(packet.sequence);
    if (this.postponed) {
      this.clock.schedule(this.workTime, () => this.answer(packet, flow));
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

  private giveBack(packet: FlowPacket): void {
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

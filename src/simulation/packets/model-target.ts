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
  open: boolean;
  readonly answered: Map<number, string>;
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
  /** Refuses new flows, as one whose queue is full. */
  full = false;

  /**
   * @param nextSequence the first sequence number of the target's own; differs by target
   * @param workTime milliseconds for a request
   */
  constructor(
    readonly incarnation: string,
    readonly service: string,
    private nextSequence: number,
    private readonly workTime: number,
    private readonly clock: VirtualClock,
    private readonly output: TargetOutput,
    private readonly observer: ModelTargetObserver,
  ) {}

  /** Milliseconds for which it is still slow. */
  coldLeft(now: number): number {
    return Math.max(0, this.coldUntil - now);
  }

  /** Whether the target holds a flow that is open. */
  holds(flow: FlowKey): boolean {
    return this.alive && this.flows.get(flow)?.open === true;
  }

  /** A datagram from the target's agent. */
  receive(bytes: Buffer): void {
    const packet = this.alive ? modelPacketFormat.decodeFromClient(bytes) : undefined;
    if (packet) {
      this.take(packet);
    }
  }

  private take(packet: FlowPacket): void {
    const flow = this.flows.get(packet.flow);
    if (packet.opens) {
      this.open(packet, flow);
    } else if (!flow || (!flow.open && packet.acknowledgement !== flow.sequence)) {
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
    const flow = known ?? { sequence: this.nextSequence++, open: false, answered: new Map() };
    this.flows.set(packet.flow, flow);
    this.send(packet, ModelFlag.opens, flow.sequence, packet.sequence, '');
  }

  private takeData(packet: FlowPacket, flow: ModelFlow): void {
    if (packet.payloadLength === 0) {
      return;
    }
    const known = flow.answered.get(packet.sequence);
    if (known !== undefined) {
      this.answer(packet, flow, known);
      return;
    }
    const request = payloadOf(packet);
    flow.answered.set(packet.sequence, '');
    this.requestsRun++;
    this.observer.ran(this, request);
    const answer = `${this.failing ? FAILED_ANSWER : ''}answer to ${request}`;
    this.clock.schedule(this.failing ? 0 : this.workTime, () => {
      flow.answered.set(packet.sequence, answer);
      this.answer(packet, flow, answer);
    });
  }

  private answer(packet: FlowPacket, flow: ModelFlow, text: string): void {
    if (!this.alive || text === '') {
      return;
    }
    const flags = this.draining ? ModelFlag.ends : 0;
    this.send(packet, flags, flow.sequence, packet.sequence, text);
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

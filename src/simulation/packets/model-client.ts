/**
 * Model of a client: opens one flow, sends requests over it one after the other,
 * retransmits unanswered ones and records how the flow ends.
 */
import type { Endpoint } from '../../environment';
import type { FlowPacket } from '../../packets/flow-packet';
import type { VirtualClock } from '../virtual-clock';
import {
  encodeModelPacket,
  FAILED_ANSWER_PREFIX,
  ModelFlag,
  modelPacketFormat,
  decodePayload,
} from './model-packet-format';

const OPENING_RETRANSMISSIONS_MS = [0, 200, 600] as const;
const OPENING_TIMEOUT_MS = 1_400;
const INITIAL_RETRANSMISSION_TIMEOUT_MS = 200;
const MAXIMUM_RETRANSMISSION_TIMEOUT_MS = 1_600;

/** State of a client's flow. */
export type ClientState = 'opening' | 'open' | 'failed' | 'reset' | 'done';

/** Parameters of a client. */
export interface ModelClientPlan {
  readonly client: Endpoint;
  readonly destination: Endpoint;
  readonly requests: number;
  /** Milliseconds between an answer and the next request. */
  readonly pause: number;
}

/** Receives the events of a client. */
export interface ModelClientObserver {
  onReset(client: ModelClient, packet: FlowPacket): void;
  /** An answer to a request was received, with the expected and the received text. */
  onAnswer(expected: string, answered: string): void;
}

/** One flow of one client. */
export class ModelClient {
  state: ClientState = 'opening';
  answers = 0;
  /** Times at which answers were received. */
  readonly answeredAt: number[] = [];
  /** Time of the first opening packet. */
  startedAt = 0;
  private sequence = 1;
  /** All of the target's data before this sequence number has been received. */
  private acknowledged = 0;

  constructor(
    readonly plan: ModelClientPlan,
    private readonly clock: VirtualClock,
    private readonly send: (packet: Buffer) => void,
    private readonly observer: ModelClientObserver,
  ) {}

  start(): void {
    this.startedAt = this.clock.now;
    OPENING_RETRANSMISSIONS_MS.forEach((delay, retransmission) => {
      this.clock.schedule(delay, () => {
        if (this.state === 'opening') {
          this.sendPacket(ModelFlag.opens, this.sequence, retransmission, '');
        }
      });
    });
    this.clock.schedule(OPENING_TIMEOUT_MS, () => {
      if (this.state === 'opening') {
        this.state = 'failed';
      }
    });
  }

  /** Handles a datagram for this client. */
  receive(bytes: Buffer): void {
    const packet = modelPacketFormat.decodeFromTarget(bytes);
    if (!packet || this.state === 'done' || this.state === 'failed') {
      return;
    }
    if (packet.resets) {
      this.observer.onReset(this, packet);
      this.state = 'reset';
    } else if (packet.opens) {
      this.handleOpened(packet);
    } else if (packet.payloadLength > 0 && packet.acknowledgement === this.sequence) {
      this.handleAnswer(packet);
    }
  }

  private handleOpened(packet: FlowPacket): void {
    if (this.state !== 'opening') {
      return;
    }
    this.state = 'open';
    this.acknowledged = packet.sequence + 1;
    this.sendPacket(0, this.sequence, this.acknowledged, '');
    this.sendNextRequest();
  }

  /** Handles an answer; a duplicate is only acknowledged again. */
  private handleAnswer(packet: FlowPacket): void {
    if (packet.sequence !== this.acknowledged) {
      this.sendPacket(0, this.sequence, this.acknowledged, '');
      return;
    }
    this.acknowledged += packet.payloadLength + Number(packet.ends);
    this.recordAnswer(packet);
  }

  private recordAnswer(packet: FlowPacket): void {
    const { client } = this.plan;
    const text = decodePayload(packet).replace(FAILED_ANSWER_PREFIX, '');
    this.observer.onAnswer(`answer to ${client}/${this.sequence}`, text);
    this.answers++;
    this.answeredAt.push(this.clock.now);
    const isFinished = this.answers >= this.plan.requests;
    if (packet.ends || isFinished) {
      this.state = 'done';
      this.sendPacket(ModelFlag.ends, this.sequence + 1, this.acknowledged, '');
      return;
    }
    this.sendPacket(0, this.sequence, this.acknowledged, '');
    this.clock.schedule(this.plan.pause, () => this.sendNextRequest());
  }

  private sendNextRequest(): void {
    if (this.state !== 'open') {
      return;
    }
    this.sequence++;
    this.sendRequest(this.sequence, INITIAL_RETRANSMISSION_TIMEOUT_MS);
  }

  private sendRequest(sequence: number, delay: number): void {
    const answersBefore = this.answers;
    this.sendPacket(0, sequence, this.acknowledged, `${this.plan.client}/${sequence}`);
    this.clock.schedule(delay, () => {
      if (this.state === 'open' && this.answers === answersBefore) {
        this.sendRequest(sequence, Math.min(delay * 2, MAXIMUM_RETRANSMISSION_TIMEOUT_MS));
      }
    });
  }

  private sendPacket(
    flags: number,
    sequence: number,
    acknowledgement: number,
    payload: string,
  ): void {
    const { client, destination } = this.plan;
    const fields = { client, destination, flags, sequence, acknowledgement, payload };
    this.send(encodeModelPacket(fields));
  }
}

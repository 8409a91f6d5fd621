/** One client flow of the soak, with its sequential requests. */
import { packetFormat } from '../../platform/packet-header';
import { getEndpointAddress, getEndpointPort } from '../../src/core/endpoint';
import type { Endpoint } from '../../src/environment';
import type { FlowKey, FlowPacket } from '../../src/packets/flow-packet';
import { computeEndSequence } from '../../src/packets/repair/sequence-numbers';
import { encodePacket, Flag, HEADER_BYTES } from '../support/packet-cluster';
import { writeChecksum } from './packet-seal';

const OPENING_DELAYS_MS = [0, 200, 600] as const;
const OPENING_TIMEOUT_MS = 1_400;
const MINIMUM_RETRANSMISSION_DELAY_MS = 200;
const MAXIMUM_RETRANSMISSION_DELAY_MS = 1_600;
const REQUEST_TIMEOUT_MS = 4_000;
const RESET_WINDOW_BYTES = 76_800;
const FIRST_SEQUENCE = 1;

/** State of a flow, or how it ended. */
export type SoakClientState = 'opening' | 'open' | 'done' | 'unopened' | 'reset' | 'late';

/** Endpoints and requests of a client. */
export interface SoakClientPlan {
  readonly client: Endpoint;
  readonly destination: Endpoint;
  readonly requests: number;
  /** Milliseconds between an answer and the next request. */
  readonly pause: number;
}

/** Callbacks of a client. */
export interface SoakClientObserver {
  onAnswer(client: SoakClient, expected: string, answered: string): void;
  onReset(client: SoakClient): void;
  onEnd(client: SoakClient): void;
}

/** A client with one flow; retransmits opening packets and requests. */
export class SoakClient {
  state: SoakClientState = 'opening';
  answers = 0;
  readonly startedAt: number;
  /** Time of the last answer. */
  answeredAt: number | undefined;
  private acknowledged = 0;
  private sequence = FIRST_SEQUENCE;
  private timers = new Set<NodeJS.Timeout>();

  constructor(
    readonly plan: SoakClientPlan,
    private readonly now: () => number,
    private readonly send: (packet: Buffer) => void,
    private readonly observer: SoakClientObserver,
  ) {
    this.startedAt = now();
  }

  get flow(): FlowKey {
    return packetFormat.decodeFromClient(this.createPacket(Flag.syn, 0, ''))!.flow;
  }

  start(): void {
    OPENING_DELAYS_MS.forEach((delay, copy) =>
      this.schedule(delay, () => {
        if (this.state === 'opening') {
          this.send(this.createPacket(Flag.syn, copy, ''));
        }
      }),
    );
    this.schedule(OPENING_TIMEOUT_MS, () => this.state === 'opening' && this.end('unopened'));
  }

  /** Stops sending, without a call of the observer. */
  stop(): void {
    this.state = 'done';
    this.timers.forEach((timer) => clearTimeout(timer));
  }

  /** Handles a packet to the client of this flow. */
  receive(bytes: Buffer): void {
    const packet = packetFormat.decodeFromTarget(bytes)!;
    if (this.state !== 'opening' && this.state !== 'open') {
      return;
    }
    if (packet.resets) {
      this.handleReset(packet.sequence);
    } else if (packet.opens) {
      this.handleOpened(packet);
    } else if (packet.payloadLength > 0 && this.isWaiting(packet.acknowledgement)) {
      this.acknowledged = computeEndSequence(packet);
      this.handleAnswer(bytes.toString('utf8', HEADER_BYTES), packet.ends);
    } else {
      this.acknowledge();
    }
  }

  /** The id of the request in flight. */
  get requestId(): string {
    return `${this.plan.client}/${this.sequence}`;
  }

  private handleReset(sequence: number): void {
    const inWindow = Math.abs((sequence - this.acknowledged) | 0) <= RESET_WINDOW_BYTES;
    if (this.state === 'opening' || inWindow) {
      this.observer.onReset(this);
      this.end('reset');
    }
  }

  private handleOpened(packet: FlowPacket): void {
    if (this.state === 'opening') {
      this.state = 'open';
      this.acknowledged = computeEndSequence(packet);
      this.acknowledge();
      this.sendRequest();
    } else {
      this.acknowledge();
    }
  }

  private acknowledge(): void {
    this.send(this.createPacket(Flag.ack, this.acknowledged, ''));
  }

  private handleAnswer(text: string, ends: boolean): void {
    this.answers++;
    this.answeredAt = this.now();
    this.observer.onAnswer(this, this.requestId, text.split('answer to ')[1] ?? '');
    if (ends || this.answers >= this.plan.requests) {
      this.send(this.createPacket(Flag.ack | Flag.fin, this.acknowledged, ''));
      this.end('done');
      return;
    }
    this.acknowledge();
    this.schedule(this.plan.pause, () => this.sendRequest());
  }

  private sendRequest(): void {
    if (this.state !== 'open') {
      return;
    }
    this.sequence++;
    const { sequence } = this;
    const text = `GET /map HTTP/1.1\r\nX-Request-Id: ${this.requestId}\r\n\r\n`;
    this.retransmit(sequence, text, MINIMUM_RETRANSMISSION_DELAY_MS);
    this.schedule(REQUEST_TIMEOUT_MS, () => this.isWaiting(sequence) && this.end('late'));
  }

  private retransmit(sequence: number, text: string, delay: number): void {
    if (this.isWaiting(sequence)) {
      this.send(this.createPacket(Flag.ack, this.acknowledged, text));
      this.schedule(delay, () =>
        this.retransmit(sequence, text, Math.min(2 * delay, MAXIMUM_RETRANSMISSION_DELAY_MS)),
      );
    }
  }

  private isWaiting(sequence: number): boolean {
    const unanswered = this.answers < this.sequence - FIRST_SEQUENCE;
    return this.state === 'open' && this.sequence === sequence && unanswered;
  }

  private end(state: SoakClientState): void {
    this.state = state;
    this.timers.forEach((timer) => clearTimeout(timer));
    this.observer.onEnd(this);
  }

  private createPacket(flags: number, acknowledgement: number, text: string): Buffer {
    const { client, destination } = this.plan;
    const from = [getEndpointAddress(client), getEndpointPort(client)] as const;
    const to = [getEndpointAddress(destination), getEndpointPort(destination)] as const;
    return writeChecksum(encodePacket(from, to, flags, this.sequence, acknowledgement, text));
  }

  private schedule(delay: number, action: () => void): void {
    const timer = setTimeout(() => {
      this.timers.delete(timer);
      action();
    }, delay);
    this.timers.add(timer);
  }
}

/** One flow of one client of the soak, with the requests it carries one after the other. */
import { packetFormat } from '../../platform/packet-header';
import { getEndpointAddress, getEndpointPort } from '../../src/core/endpoint';
import type { Endpoint } from '../../src/environment';
import type { FlowKey, FlowPacket } from '../../src/packets/flow-packet';
import { computeEndSequence } from '../../src/packets/repair/sequence-numbers';
import { encodePacket, Flag, HEADER_BYTES } from '../support/packet-cluster';
import { seal } from './packet-seal';

const OPENING_COPIES = [0, 200, 600] as const;
const OPENING_TIME = 1_400;
const FIRST_REPEAT = 200;
const LONGEST_REPEAT = 1_600;
const DEADLINE = 4_000;
const RESET_WINDOW = 76_800;
const FIRST_SEQUENCE = 1;

/** How a flow stands, or ended. */
export type SoakClientState = 'opening' | 'open' | 'done' | 'unopened' | 'reset' | 'late';

/** What a client does. */
export interface SoakClientPlan {
  readonly client: Endpoint;
  readonly destination: Endpoint;
  readonly requests: number;
  /** Milliseconds between an answer and the next request. */
  readonly pause: number;
}

/** What a client tells the soak. */
export interface SoakClientObserver {
  answerCame(client: SoakClient, expected: string, answered: string): void;
  wasReset(client: SoakClient): void;
  ended(client: SoakClient): void;
}

/** The client. */
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
    return packetFormat.decodeFromClient(this.packet(Flag.syn, 0, ''))!.flow;
  }

  start(): void {
    OPENING_COPIES.forEach((delay, copy) =>
      this.later(delay, () => {
        if (this.state === 'opening') {
          this.send(this.packet(Flag.syn, copy, ''));
        }
      }),
    );
    this.later(OPENING_TIME, () => this.state === 'opening' && this.end('unopened'));
  }

  /** Sends nothing any more; nobody is told. */
  stop(): void {
    this.state = 'done';
    this.timers.forEach((timer) => clearTimeout(timer));
  }

  /** A packet of the system for this flow. */
  receive(bytes: Buffer): void {
    const packet = packetFormat.decodeFromTarget(bytes)!;
    if (this.state !== 'opening' && this.state !== 'open') {
      return;
    }
    if (packet.resets) {
      this.takeReset(packet.sequence);
    } else if (packet.opens) {
      this.opened(packet);
    } else if (packet.payloadLength > 0 && this.isWaiting(packet.acknowledgement)) {
      this.acknowledged = computeEndSequence(packet);
      this.answered(bytes.toString('utf8', HEADER_BYTES), packet.ends);
    } else {
      this.acknowledge();
    }
  }

  /** The id of the request under way. */
  get requestId(): string {
    return `${this.plan.client}/${this.sequence}`;
  }

  private takeReset(sequence: number): void {
    const inWindow = Math.abs((sequence - this.acknowledged) | 0) <= RESET_WINDOW;
    if (this.state === 'opening' || inWindow) {
      this.observer.wasReset(this);
      this.end('reset');
    }
  }

  private opened(packet: FlowPacket): void {
    if (this.state === 'opening') {
      this.state = 'open';
      this.acknowledged = computeEndSequence(packet);
      this.acknowledge();
      this.request();
    } else {
      this.acknowledge();
    }
  }

  private acknowledge(): void {
    this.send(this.packet(Flag.ack, this.acknowledged, ''));
  }

  private answered(text: string, ends: boolean): void {
    this.answers++;
    this.answeredAt = this.now();
    this.observer.answerCame(this, this.requestId, text.split('answer to ')[1] ?? '');
    if (ends || this.answers >= this.plan.requests) {
      this.send(this.packet(Flag.ack | Flag.fin, this.acknowledged, ''));
      this.end('done');
      return;
    }
    this.acknowledge();
    this.later(this.plan.pause, () => this.request());
  }

  private request(): void {
    if (this.state !== 'open') {
      return;
    }
    this.sequence++;
    const { sequence } = this;
    const text = `GET /map HTTP/1.1\r\nX-Request-Id: ${this.requestId}\r\n\r\n`;
    this.repeat(sequence, text, FIRST_REPEAT);
    this.later(DEADLINE, () => this.isWaiting(sequence) && this.end('late'));
  }

  private repeat(sequence: number, text: string, delay: number): void {
    if (this.isWaiting(sequence)) {
      this.send(this.packet(Flag.ack, this.acknowledged, text));
      this.later(delay, () => this.repeat(sequence, text, Math.min(2 * delay, LONGEST_REPEAT)));
    }
  }

  private isWaiting(sequence: number): boolean {
    const unanswered = this.answers < this.sequence - FIRST_SEQUENCE;
    return this.state === 'open' && this.sequence === sequence && unanswered;
  }

  private end(state: SoakClientState): void {
    this.state = state;
    this.timers.forEach((timer) => clearTimeout(timer));
    this.observer.ended(this);
  }

  private packet(flags: number, acknowledgement: number, text: string): Buffer {
    const { client, destination } = this.plan;
    const from = [getEndpointAddress(client), getEndpointPort(client)] as const;
    const to = [getEndpointAddress(destination), getEndpointPort(destination)] as const;
    return seal(encodePacket(from, to, flags, this.sequence, acknowledgement, text));
  }

  private later(delay: number, action: () => void): void {
    const timer = setTimeout(() => {
      this.timers.delete(timer);
      action();
    }, delay);
    this.timers.add(timer);
  }
}

/** Message layer of a CoAP client: retransmission, answer matching and notifications. */
import { CoapCode, generateCoap, parseCoap, type CoapMessage } from '../coap/coap-message';
import type { Environment, TimerHandle } from '../environment';

/** Transmission parameters of RFC 7252, section 4.8; the jitter is ACK_RANDOM_FACTOR - 1. */
const ACK_TIMEOUT_MS = 2_000;
const ACK_TIMEOUT_JITTER = 0.5;
const MAX_RETRANSMIT = 4;
const MESSAGE_ID_RANGE = 65_536;
const TOKEN_BYTES = 4;

/** A request of a caller. */
export interface ClientRequest {
  readonly method: 'GET' | 'POST';
  readonly options: CoapMessage['options'];
  readonly payload: Buffer;
  /** Token to reuse; a new one is created if absent. */
  readonly token?: Buffer;
}

/** Receives the answer; undefined on a time-out or an answer with another token. */
export type AnswerHandler = (answer: CoapMessage | undefined) => void;

interface PendingRequest {
  readonly datagram: Buffer;
  readonly messageId: number;
  readonly token: Buffer;
  readonly handleAnswer: AnswerHandler;
  attempts: number;
  initialTimeoutMs: number;
  timer: TimerHandle | undefined;
}

/** CoAP client on the socket of one caller. */
export class CoapClient {
  private readonly pending = new Map<number, PendingRequest>();
  private nextMessageId: number;
  private closed = false;

  /** @param handleNotification receives messages that answer no pending request */
  constructor(
    private readonly environment: Environment,
    private readonly send: (datagram: Buffer) => void,
    private readonly handleNotification: (message: CoapMessage) => void,
  ) {
    this.nextMessageId = Math.floor(environment.random() * MESSAGE_ID_RANGE);
  }

  /** Sends a confirmable request, retransmits it until answered or timed out; returns its token. */
  request(request: ClientRequest, handleAnswer: AnswerHandler): Buffer {
    const messageId = this.allocateMessageId();
    const token = request.token ?? this.createToken();
    const datagram = generateCoap({
      code: request.method,
      confirmable: true,
      messageId,
      token,
      options: request.options,
      payload: request.payload,
    });
    const pending: PendingRequest = {
      datagram,
      messageId,
      token,
      handleAnswer,
      attempts: 0,
      initialTimeoutMs: ACK_TIMEOUT_MS * (1 + ACK_TIMEOUT_JITTER * this.environment.random()),
      timer: undefined,
    };
    this.pending.set(messageId, pending);
    this.transmit(pending);
    return token;
  }

  /** Handles a datagram received on the caller's socket. */
  receive(datagram: Buffer): void {
    const parsed = parseCoap(datagram);
    if (parsed.none || this.closed) {
      return;
    }
    const message = parsed.val;
    const pending = message.ack ? this.pending.get(message.messageId) : undefined;
    if (pending && message.code !== CoapCode.empty) {
      this.finishRequest(pending, pending.token.equals(message.token) ? message : undefined);
    } else if (!message.ack && message.code !== CoapCode.empty) {
      this.handleNotification(message);
    }
  }

  /** Acknowledges or rejects a notification. */
  respond(message: CoapMessage, kind: 'acknowledge' | 'reset'): void {
    const { messageId } = message;
    const ack = kind === 'acknowledge';
    this.send(generateCoap({ code: CoapCode.empty, messageId, ack, reset: !ack }));
  }

  close(): void {
    this.closed = true;
    this.pending.forEach((pending) => pending.timer?.cancel());
    this.pending.clear();
  }

  private transmit(pending: PendingRequest): void {
    if (pending.attempts > MAX_RETRANSMIT) {
      this.finishRequest(pending, undefined);
      return;
    }
    const wait = pending.initialTimeoutMs * 2 ** pending.attempts;
    pending.attempts++;
    this.send(pending.datagram);
    pending.timer = this.environment.startTimer(wait, () => this.transmit(pending));
  }

  private finishRequest(pending: PendingRequest, answer: CoapMessage | undefined): void {
    pending.timer?.cancel();
    if (this.pending.delete(pending.messageId)) {
      pending.handleAnswer(answer);
    }
  }

  private allocateMessageId(): number {
    this.nextMessageId = (this.nextMessageId + 1) % MESSAGE_ID_RANGE;
    return this.nextMessageId;
  }

  private createToken(): Buffer {
    const token = Buffer.alloc(TOKEN_BYTES);
    token.writeUInt32BE(Math.floor(this.environment.random() * 2 ** 32));
    return token;
  }
}

/**
 * Requests and observations between this agent and its back end.
 *
 * Each request goes out once, under a token that no other request of this
 * incarnation has, so a late answer can never be taken for another request's.
 * Holds the back end's slots.
 */
import murmurhash from 'murmurhash';
import {
  CoapCode,
  CoapOption,
  encodeInteger,
  findOption,
  generateCoap,
  isObserveRegistration,
  parseCoap,
  withoutOption,
  type CoapMessage,
} from '../coap/coap-message';
import type { Endpoint } from '../environment';
import { Events } from '../logging/events';
import type { AgentContext } from './agent-context';
import type { BackendAnswer, BackendExchange } from './request-exchange';

const TOKEN_BYTES = 6;
/** Upper half of a token names the agent's run, lower half counts its requests. */
const TOKEN_RUN_RANGE = 2 ** 24;
const MESSAGE_ID_RANGE = 65_536;

/** An observation (RFC 7641) that a caller holds at the back end. */
export interface Observation {
  readonly caller: Endpoint;
  readonly callerToken: Buffer;
  readonly backendToken: number;
  /** Message id of the newest notification, to match a reset. */
  lastMessageId: number;
}

/** Receives notifications for the caller of an observation. */
export type NotificationSink = (caller: Endpoint, message: Buffer) => void;

/** The agent's requests at its back end. */
export class BackendRequests {
  private readonly running = new Map<number, BackendExchange>();
  private readonly observations = new Map<number, Observation>();
  private readonly observationKeys = new Map<string, number>();
  private busy = 0;
  private nextToken: number;
  private nextMessageId: number;

  constructor(
    private readonly context: AgentContext,
    private readonly notify: NotificationSink,
  ) {
    const { incarnation } = context.settings;
    this.nextToken = (incarnation % TOKEN_RUN_RANGE) * TOKEN_RUN_RANGE;
    this.nextMessageId = murmurhash.v3(String(incarnation)) % MESSAGE_ID_RANGE;
  }

  /** Requests now at the back end; each takes a slot. */
  get busySlots(): number {
    return this.busy;
  }

  get observationCount(): number {
    return this.observations.size;
  }

  /**
   * Sends a request to the back end once.
   * @param deadline milliseconds until the answer counts as unknown and the request is cancelled
   */
  send(
    caller: Endpoint,
    request: CoapMessage,
    deadline: number,
    onAnswer: (answer: BackendAnswer) => void,
  ): void {
    const token = this.newToken();
    if (isObserveRegistration(request)) {
      this.addObservation(caller, request.token, token);
    }
    this.busy++;
    this.transmit(request, token, deadline, (answer) => {
      this.busy--;
      onAnswer(answer);
    });
  }

  /** Sends a request of the agent's own, which takes no slot. */
  sendUncounted(
    request: CoapMessage,
    deadline: number,
    onAnswer: (answer: BackendAnswer) => void,
  ): void {
    this.transmit(request, this.newToken(), deadline, onAnswer);
  }

  /** Ends a caller's observation, here and at the back end. */
  cancelObservation(caller: Endpoint, callerToken: Buffer): void {
    const token = this.observationKeys.get(observationKey(caller, callerToken));
    const observation = token === undefined ? undefined : this.observations.get(token);
    if (observation) {
      this.reset(observation.lastMessageId);
      this.removeObservation(observation.backendToken);
    }
  }

  /** Passes a caller's acknowledgement or reset of a notification on. */
  passEmpty(caller: Endpoint, message: CoapMessage): void {
    this.context.backend.sendMessage(
      generateCoap({
        code: CoapCode.empty,
        messageId: message.messageId,
        ack: message.ack,
        reset: message.reset,
      }),
    );
    if (message.reset) {
      this.forgetReset(caller, message.messageId);
    }
  }

  /** Ends every observation of a flow that has ended. */
  flowEnded(caller: Endpoint): void {
    for (const [token, observation] of this.observations) {
      if (observation.caller === caller) {
        this.reset(observation.lastMessageId);
        this.removeObservation(token);
      }
    }
  }

  /** Takes a datagram from the back end. */
  receive(datagram: Buffer): void {
    const parsed = parseCoap(datagram);
    if (parsed.none) {
      this.context.environment.report(Events.backendMessageMalformed, {});
      return;
    }
    const message = parsed.val;
    const token = message.token.length === TOKEN_BYTES ? message.token.readUIntBE(0, 6) : -1;
    const exchange = this.running.get(token);
    if (exchange) {
      this.noteNotification(token, message);
      this.acknowledge(message);
      this.finish(exchange, { outcome: 'answered', message });
    } else if (this.observations.has(token)) {
      this.passNotification(this.observations.get(token)!, message);
    } else if (message.confirmable && message.code !== CoapCode.empty) {
      this.reset(message.messageId);
    }
  }

  private transmit(
    request: CoapMessage,
    token: number,
    deadline: number,
    onAnswer: (answer: BackendAnswer) => void,
  ): void {
    const messageId = this.newMessageId();
    const timer = this.context.environment.startTimer(deadline, () => this.giveUp(token));
    this.running.set(token, { token, messageId, deadline: timer, onAnswer });
    this.context.backend.sendMessage(encodeForBackend(request, token, messageId, deadline));
  }

  private passNotification(observation: Observation, message: CoapMessage): void {
    const notification = generateCoap({ ...message, token: observation.callerToken });
    this.noteNotification(observation.backendToken, message);
    this.notify(observation.caller, notification);
  }

  /** Keeps an observation's message id; an answer without Observe ends the observation. */
  private noteNotification(token: number, message: CoapMessage): void {
    const observation = this.observations.get(token);
    if (!observation) {
      return;
    }
    observation.lastMessageId = message.messageId;
    if (findOption(message, CoapOption.observe) === undefined) {
      this.removeObservation(token);
    }
  }

  private giveUp(token: number): void {
    const exchange = this.running.get(token);
    if (exchange) {
      this.reset(exchange.messageId);
      this.removeObservation(token);
      this.finish(exchange, { outcome: 'unknown' });
    }
  }

  private finish(exchange: BackendExchange, answer: BackendAnswer): void {
    exchange.deadline.cancel();
    this.running.delete(exchange.token);
    exchange.onAnswer(answer);
  }

  private acknowledge(message: CoapMessage): void {
    if (message.confirmable) {
      const { messageId } = message;
      this.context.backend.sendMessage(
        generateCoap({ code: CoapCode.empty, messageId, ack: true }),
      );
    }
  }

  private reset(messageId: number): void {
    const message = generateCoap({ code: CoapCode.empty, messageId, reset: true });
    this.context.backend.sendMessage(message);
  }

  private addObservation(caller: Endpoint, callerToken: Buffer, backendToken: number): void {
    const key = observationKey(caller, callerToken);
    const previous = this.observationKeys.get(key);
    if (previous !== undefined) {
      this.removeObservation(previous);
    }
    this.observationKeys.set(key, backendToken);
    this.observations.set(backendToken, { caller, callerToken, backendToken, lastMessageId: 0 });
  }

  private removeObservation(token: number): void {
    const observation = this.observations.get(token);
    if (observation) {
      this.observations.delete(token);
      this.observationKeys.delete(observationKey(observation.caller, observation.callerToken));
    }
  }

  private forgetReset(caller: Endpoint, messageId: number): void {
    for (const [token, observation] of this.observations) {
      if (observation.caller === caller && observation.lastMessageId === messageId) {
        this.removeObservation(token);
      }
    }
  }

  private newToken(): number {
    this.nextToken++;
    return this.nextToken;
  }

  private newMessageId(): number {
    this.nextMessageId = (this.nextMessageId + 1) % MESSAGE_ID_RANGE;
    return this.nextMessageId;
  }
}

function observationKey(caller: Endpoint, token: Buffer): string {
  return `${caller}/${token.toString('hex')}`;
}

function encodeForBackend(
  request: CoapMessage,
  token: number,
  messageId: number,
  deadline: number,
): Buffer {
  const tokenBytes = Buffer.alloc(TOKEN_BYTES);
  tokenBytes.writeUIntBE(token, 0, TOKEN_BYTES);
  const options = withoutOption(request, CoapOption.echo);
  options.push({ name: CoapOption.deadline, value: encodeInteger(Math.round(deadline)) });
  return generateCoap({
    code: request.code,
    confirmable: true,
    messageId,
    token: tokenBytes,
    options,
    payload: request.payload,
  });
}

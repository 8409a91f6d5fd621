/**
 * Requests and observations between this agent and its back end.
 *
 * Each request is sent once, with a token that is unique within this incarnation, so a
 * late answer cannot be matched to another request. Counts the back end's busy slots.
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
  omitOption,
  type CoapMessage,
} from '../coap/coap-message';
import type { Endpoint, TimerHandle } from '../environment';
import { Events } from '../logging/events';
import type { AgentContext } from './agent-context';
import type { BackendResult, RequestPurpose } from './request-exchange';

const TOKEN_BYTES = 6;
/** A token's upper half is the agent's incarnation, its lower half counts requests. */
const TOKEN_PART_RANGE = 2 ** 24;
const MESSAGE_ID_RANGE = 65_536;

/** A caller's observation (RFC 7641) at the back end. */
export interface Observation {
  readonly caller: Endpoint;
  readonly callerToken: Buffer;
  readonly backendToken: number;
  /** Message id of the latest notification, to match a reset. */
  lastMessageId: number;
}

/** A request that is running at the back end. */
interface BackendExchange {
  /** Token used towards the back end; never reused within an incarnation. */
  readonly token: number;
  readonly messageId: number;
  readonly deadlineAt: number;
  readonly purpose: RequestPurpose;
}

/** State handed to the successor. */
export interface BackendRequestsState {
  readonly nextToken: number;
  readonly nextMessageId: number;
  readonly running: readonly BackendExchange[];
  readonly observations: readonly Observation[];
}

/** Receives the result of every request. */
export type RequestEndCallback = (purpose: RequestPurpose, result: BackendResult) => void;

/** Receives the notifications for an observation's caller. */
export type NotificationCallback = (caller: Endpoint, message: Buffer) => void;

/** The agent's requests and observations at its back end. */
export class BackendRequests {
  private readonly running = new Map<number, BackendExchange>();
  private readonly deadlineTimers = new Map<number, TimerHandle>();
  private readonly observations = new Map<number, Observation>();
  private readonly observationKeys = new Map<string, number>();
  private busyCount = 0;
  private nextToken: number;
  private nextMessageId: number;

  constructor(
    private readonly context: AgentContext,
    private readonly notify: NotificationCallback,
    private readonly onEnded: RequestEndCallback,
  ) {
    const { incarnation } = context.settings;
    this.nextToken = (incarnation % TOKEN_PART_RANGE) * TOKEN_PART_RANGE;
    this.nextMessageId = murmurhash.v3(String(incarnation)) % MESSAGE_ID_RANGE;
  }

  /** Callers' and peers' requests running at the back end; each occupies a slot. */
  get busySlots(): number {
    return this.busyCount;
  }

  get observationCount(): number {
    return this.observations.size;
  }

  /** The purposes of the requests running at the back end. */
  listPurposes(): RequestPurpose[] {
    return [...this.running.values()].map((exchange) => exchange.purpose);
  }

  /**
   * Sends a request to the back end once.
   * @param deadline milliseconds until the answer counts as unknown and the request is cancelled
   */
  send(request: CoapMessage, purpose: RequestPurpose, deadline: number): void {
    const token = this.allocateToken();
    if (purpose.kind === 'caller' && isObserveRegistration(request)) {
      this.addObservation(purpose.caller, request.token, token);
    }
    const messageId = this.allocateMessageId();
    const deadlineAt = this.context.environment.now() + deadline;
    this.track({ token, messageId, deadlineAt, purpose });
    this.context.backend.sendMessage(encodeForBackend(request, token, messageId, deadline));
  }

  exportState(): BackendRequestsState {
    const { nextToken, nextMessageId } = this;
    const running = [...this.running.values()];
    return { nextToken, nextMessageId, running, observations: [...this.observations.values()] };
  }

  importState(state: BackendRequestsState): void {
    this.nextToken = state.nextToken;
    this.nextMessageId = state.nextMessageId;
    state.running.forEach((exchange) => this.track(exchange));
    for (const observation of state.observations) {
      const { caller, callerToken, backendToken } = observation;
      this.observations.set(backendToken, { ...observation });
      this.observationKeys.set(formatObservationKey(caller, callerToken), backendToken);
    }
  }

  /** Cancels a caller's observation, here and at the back end. */
  cancelObservation(caller: Endpoint, callerToken: Buffer): void {
    const token = this.observationKeys.get(formatObservationKey(caller, callerToken));
    const observation = token === undefined ? undefined : this.observations.get(token);
    if (observation) {
      this.sendReset(observation.lastMessageId);
      this.removeObservation(observation.backendToken);
    }
  }

  /** Whether a caller has an observation here. */
  hasObservation(caller: Endpoint): boolean {
    for (const observation of this.observations.values()) {
      if (observation.caller === caller) {
        return true;
      }
    }
    return false;
  }

  /** Forwards a caller's acknowledgement or reset of a notification. */
  forwardEmpty(caller: Endpoint, message: CoapMessage): void {
    this.context.backend.sendMessage(
      generateCoap({
        code: CoapCode.empty,
        messageId: message.messageId,
        ack: message.ack,
        reset: message.reset,
      }),
    );
    if (message.reset) {
      this.removeResetObservation(caller, message.messageId);
    }
  }

  /** Cancels all observations of a flow that has ended. */
  cancelObservationsOf(caller: Endpoint): void {
    for (const [token, observation] of this.observations) {
      if (observation.caller === caller) {
        this.sendReset(observation.lastMessageId);
        this.removeObservation(token);
      }
    }
  }

  /** Handles a datagram from the back end. */
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
      this.recordNotification(token, message);
      this.acknowledge(message);
      this.finish(exchange, { outcome: 'answered', message });
    } else if (this.observations.has(token)) {
      this.forwardNotification(this.observations.get(token)!, message);
    } else if (message.confirmable && message.code !== CoapCode.empty) {
      this.sendReset(message.messageId);
    }
  }

  private track(exchange: BackendExchange): void {
    const { token, deadlineAt, purpose } = exchange;
    this.running.set(token, exchange);
    this.busyCount += purpose.kind === 'load-report' ? 0 : 1;
    const remaining = deadlineAt - this.context.environment.now();
    const timer = this.context.environment.startTimer(remaining, () => this.timeOutRequest(token));
    this.deadlineTimers.set(token, timer);
  }

  private forwardNotification(observation: Observation, message: CoapMessage): void {
    const notification = generateCoap({ ...message, token: observation.callerToken });
    this.recordNotification(observation.backendToken, message);
    this.notify(observation.caller, notification);
  }

  /** Records an observation's message id; a message without Observe ends the observation. */
  private recordNotification(token: number, message: CoapMessage): void {
    const observation = this.observations.get(token);
    if (!observation) {
      return;
    }
    observation.lastMessageId = message.messageId;
    if (findOption(message, CoapOption.observe) === undefined) {
      this.removeObservation(token);
    }
  }

  private timeOutRequest(token: number): void {
    const exchange = this.running.get(token);
    if (exchange) {
      this.sendReset(exchange.messageId);
      this.removeObservation(token);
      this.finish(exchange, { outcome: 'unknown' });
    }
  }

  private finish(exchange: BackendExchange, result: BackendResult): void {
    const { token, purpose } = exchange;
    this.deadlineTimers.get(token)?.cancel();
    this.deadlineTimers.delete(token);
    this.running.delete(token);
    this.busyCount -= purpose.kind === 'load-report' ? 0 : 1;
    this.onEnded(purpose, result);
  }

  private acknowledge(message: CoapMessage): void {
    if (message.confirmable) {
      const { messageId } = message;
      this.context.backend.sendMessage(
        generateCoap({ code: CoapCode.empty, messageId, ack: true }),
      );
    }
  }

  private sendReset(messageId: number): void {
    const message = generateCoap({ code: CoapCode.empty, messageId, reset: true });
    this.context.backend.sendMessage(message);
  }

  private addObservation(caller: Endpoint, callerToken: Buffer, backendToken: number): void {
    const key = formatObservationKey(caller, callerToken);
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
      this.observationKeys.delete(
        formatObservationKey(observation.caller, observation.callerToken),
      );
    }
  }

  private removeResetObservation(caller: Endpoint, messageId: number): void {
    for (const [token, observation] of this.observations) {
      if (observation.caller === caller && observation.lastMessageId === messageId) {
        this.removeObservation(token);
      }
    }
  }

  private allocateToken(): number {
    this.nextToken++;
    return this.nextToken;
  }

  private allocateMessageId(): number {
    this.nextMessageId = (this.nextMessageId + 1) % MESSAGE_ID_RANGE;
    return this.nextMessageId;
  }
}

function formatObservationKey(caller: Endpoint, token: Buffer): string {
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
  const options = omitOption(request, CoapOption.echo);
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

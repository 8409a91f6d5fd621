/**
 * Requests of callers to a coap service: one answer each, slots respected, and a
 * request that may not be repeated run at most once.
 *
 * Answers go out as acknowledgements of the caller's message; a caller that asks
 * again is given the kept answer, or nothing while the request still runs.
 */
import murmurhash from 'murmurhash';
import {
  CoapCode,
  CoapOption,
  continuesTransfer,
  encodeInteger,
  generateCoap,
  isObserveCancellation,
  isObserveRegistration,
  isPost,
  isRequest,
  parseCoap,
  withoutOption,
  type CoapMessage,
} from '../coap/coap-message';
import type { Permit } from '../core/permit';
import { ANSWER_KEPT_FOR, RETRY_AFTER_SECONDS } from '../core/timing';
import type { Endpoint } from '../environment';
import { Events } from '../logging/events';
import type { AgentContext } from './agent-context';
import type { BackendRequests } from './backend-requests';
import type { PermitAnswer, PermitOffice } from './permit-office';
import type { PermitQueries } from './permit-queries';
import type { RequestExchange } from './request-exchange';
import type { PassResult, RequestPassing } from './request-passing';

const NO_PAYLOAD = Buffer.alloc(0);
/** Class of the response codes that say the request was done. */
const SUCCESS_CODE_CLASS = '2.';

/** How the guard reaches its surroundings. */
export interface GuardSurroundings {
  /** Sends a datagram to a caller of a hosted flow. */
  reply(caller: Endpoint, payload: Buffer): void;
  /** Slots free at the own back end. */
  freeSlots(): number;
  /** False while this agent drains. */
  takesNewWork(): boolean;
}

/** Counts of final answers, for metrics. */
export interface GuardCounts {
  answered: number;
  refused: number;
  unknown: number;
  passed: number;
}

/** Guards the requests of the flows hosted at one agent. */
export class RequestGuard {
  readonly counts: GuardCounts = { answered: 0, refused: 0, unknown: 0, passed: 0 };
  private readonly exchanges = new Map<Endpoint, Map<number, RequestExchange>>();

  constructor(
    private readonly context: AgentContext,
    private readonly requests: BackendRequests,
    private readonly passing: RequestPassing,
    private readonly permits: PermitOffice,
    private readonly queries: PermitQueries,
    private readonly surroundings: GuardSurroundings,
  ) {}

  /** Takes a datagram of a hosted flow. */
  receive(caller: Endpoint, datagram: Buffer): void {
    const parsed = parseCoap(datagram);
    if (parsed.none) {
      this.context.environment.report(Events.callerMessageMalformed, {});
    } else if (isRequest(parsed.val)) {
      this.receiveRequest(caller, parsed.val, murmurhash.v3(datagram));
    } else if (parsed.val.code === CoapCode.empty) {
      this.receiveEmpty(caller, parsed.val);
    }
  }

  /** A flow has ended: its observations end, its kept answers go. */
  flowEnded(caller: Endpoint): void {
    this.requests.flowEnded(caller);
    this.exchanges.delete(caller);
  }

  /** Periodic housekeeping. */
  tick(): void {
    const now = this.context.environment.now();
    for (const [caller, byMessageId] of this.exchanges) {
      for (const [messageId, exchange] of byMessageId) {
        if (exchange.answer && exchange.forgetAt <= now) {
          byMessageId.delete(messageId);
        }
      }
      if (byMessageId.size === 0) {
        this.exchanges.delete(caller);
      }
    }
  }

  private receiveEmpty(caller: Endpoint, message: CoapMessage): void {
    if (message.ack || message.reset) {
      this.requests.passEmpty(caller, message);
    } else if (message.confirmable) {
      const { messageId } = message;
      const pong = generateCoap({ code: CoapCode.empty, messageId, reset: true });
      this.surroundings.reply(caller, pong);
    }
  }

  private receiveRequest(caller: Endpoint, request: CoapMessage, fingerprint: number): void {
    const known = this.exchanges.get(caller)?.get(request.messageId);
    if (known && known.fingerprint === fingerprint) {
      this.repeat(known);
      return;
    }
    const exchange = this.openExchange(caller, request, fingerprint);
    if (isObserveCancellation(request)) {
      this.requests.cancelObservation(caller, request.token);
    }
    if (isPost(request) && this.context.safeguards.has('permits')) {
      this.judgePost(exchange, request);
    } else {
      this.dispatch(exchange, request, undefined);
    }
  }

  private repeat(exchange: RequestExchange): void {
    if (exchange.answer) {
      this.surroundings.reply(exchange.caller, exchange.answer);
    }
  }

  private openExchange(
    caller: Endpoint,
    request: CoapMessage,
    fingerprint: number,
  ): RequestExchange {
    const exchange: RequestExchange = {
      caller,
      messageId: request.messageId,
      token: request.token,
      confirmable: request.confirmable,
      fingerprint,
      method: isPost(request) ? 'post' : 'other',
      superseded: false,
      answer: undefined,
      forgetAt: Infinity,
    };
    const byMessageId = this.exchanges.get(caller) ?? new Map<number, RequestExchange>();
    for (const other of byMessageId.values()) {
      if (!other.answer && other.token.equals(request.token)) {
        other.superseded = true;
      }
    }
    byMessageId.set(request.messageId, exchange);
    this.exchanges.set(caller, byMessageId);
    return exchange;
  }

  private judgePost(exchange: RequestExchange, request: CoapMessage): void {
    const verdict = this.permits.judge(exchange.caller, request);
    switch (verdict.kind) {
      case 'run':
        this.permits.record(verdict.permit, { outcome: 'running' });
        this.dispatch(exchange, request, verdict.permit);
        break;
      case 'not-run':
        this.askForPermit(exchange);
        break;
      case 'repeat':
        this.answer(exchange, verdict.answer);
        break;
      case 'running':
        this.forgetExchange(exchange);
        break;
      case 'unknown':
        this.answerUnknown(exchange, undefined);
        break;
      case 'foreign':
        this.askIssuer(exchange, verdict.permit);
        break;
    }
  }

  /** Only the issuer can say that nothing ran under its permit; without it the outcome is unknown. */
  private askIssuer(exchange: RequestExchange, permit: Permit): void {
    this.queries.ask(permit, (burnt) => {
      if (burnt) {
        this.askForPermit(exchange);
      } else {
        this.answerUnknown(exchange, undefined);
      }
    });
  }

  private dispatch(
    exchange: RequestExchange,
    request: CoapMessage,
    permit: Permit | undefined,
  ): void {
    const takesIt = this.surroundings.takesNewWork() || continuesTransfer(request);
    const done = (result: PassResult): void => this.finish(exchange, permit, result);
    if (takesIt && this.surroundings.freeSlots() > 0) {
      const { requestDeadline } = this.context.settings;
      this.requests.send(exchange.caller, request, requestDeadline, done);
    } else if (isObserveRegistration(request)) {
      done({ outcome: 'refused' });
    } else {
      this.counts.passed++;
      const stripped = { ...request, options: withoutOption(request, CoapOption.echo) };
      this.passing.pass(stripped, done);
    }
  }

  private finish(exchange: RequestExchange, permit: Permit | undefined, result: PassResult): void {
    if (result.outcome === 'answered') {
      this.answerFromBackend(exchange, permit, result.message);
    } else if (result.outcome === 'unknown') {
      this.answerUnknown(exchange, permit);
    } else {
      this.refuse(exchange, permit);
    }
  }

  private answerFromBackend(
    exchange: RequestExchange,
    permit: Permit | undefined,
    message: CoapMessage,
  ): void {
    const { code, payload } = message;
    const answer = { code, payload, options: withoutOption(message, CoapOption.echo) };
    if (permit) {
      this.permits.record(permit, { outcome: 'answered', answer });
    }
    this.counts[code.startsWith(SUCCESS_CODE_CLASS) ? 'answered' : 'refused']++;
    this.answer(exchange, answer);
  }

  private answerUnknown(exchange: RequestExchange, permit: Permit | undefined): void {
    const answer = { code: CoapCode.gatewayTimeout, options: [], payload: NO_PAYLOAD };
    if (permit) {
      this.permits.record(permit, { outcome: 'answered', answer });
    }
    this.counts.unknown++;
    this.context.environment.report(Events.requestOutcomeUnknown, {});
    this.answer(exchange, answer);
  }

  /** Refuses for good: the permit is burnt, so a copy that comes later is refused too. */
  private refuse(exchange: RequestExchange, permit: Permit | undefined): void {
    const answer = refusal();
    if (permit && this.context.safeguards.has('burn')) {
      this.permits.record(permit, { outcome: 'burnt', answer });
    } else if (permit) {
      this.permits.forget(permit);
    }
    this.counts.refused++;
    this.context.environment.report(Events.requestRefused, {});
    this.answer(exchange, answer);
  }

  private askForPermit(exchange: RequestExchange): void {
    this.answer(exchange, { code: CoapCode.unauthorized, options: [], payload: NO_PAYLOAD });
  }

  private answer(exchange: RequestExchange, answer: PermitAnswer): void {
    const options = [...answer.options];
    if (exchange.method === 'post' && this.context.safeguards.has('permits')) {
      options.push({ name: CoapOption.echo, value: this.permits.issue(exchange.caller) });
    }
    exchange.answer = generateCoap({
      code: answer.code,
      ack: exchange.confirmable,
      messageId: exchange.messageId,
      token: exchange.token,
      options,
      payload: answer.payload,
    });
    exchange.forgetAt = this.context.environment.now() + ANSWER_KEPT_FOR;
    if (!exchange.superseded) {
      this.surroundings.reply(exchange.caller, exchange.answer);
    }
  }

  /** A copy of a request that runs already: the copy that runs will be answered. */
  private forgetExchange(exchange: RequestExchange): void {
    this.exchanges.get(exchange.caller)?.delete(exchange.messageId);
  }
}

/** The final refusal, with the time after which to come back. */
export function refusal(): PermitAnswer {
  const maxAge = { name: CoapOption.maxAge, value: encodeInteger(RETRY_AFTER_SECONDS) };
  return { code: CoapCode.serviceUnavailable, options: [maxAge], payload: NO_PAYLOAD };
}

/** A refusal of a datagram whose flow has no host: none unless it is a request. */
export function refusalOf(datagram: Buffer): Buffer | undefined {
  const parsed = parseCoap(datagram);
  if (parsed.none || !isRequest(parsed.val)) {
    return undefined;
  }
  const request = parsed.val;
  return generateCoap({
    ...refusal(),
    ack: request.confirmable,
    messageId: request.messageId,
    token: request.token,
  });
}

/**
 * Callers' requests to a coap service: gives each one answer, respects the slot limit,
 * and runs a request that is not idempotent at most once.
 *
 * Answers are sent as acknowledgements of the caller's message; a retransmission gets
 * the retained answer, or nothing while the request is still running.
 */
import murmurhash from 'murmurhash';
import {
  CoapCode,
  CoapOption,
  isTransferContinuation,
  encodeInteger,
  generateCoap,
  isObserveCancellation,
  isObserveRegistration,
  isPost,
  isRequest,
  parseCoap,
  omitOption,
  type CoapMessage,
} from '../coap/coap-message';
import type { Permit } from '../core/permit';
import { ANSWER_RETENTION_MS, RETRY_AFTER_SECONDS } from '../core/timing';
import type { Endpoint } from '../environment';
import { Events } from '../logging/events';
import type { AgentContext } from './agent-context';
import type { BackendRequests } from './backend-requests';
import type { PermitAnswer, PermitAuthority } from './permit-authority';
import type { PermitQueries } from './permit-queries';
import type { CallerRequest, RequestExchange, RequestResult } from './request-exchange';
import type { RequestPassing } from './request-passing';

const NO_PAYLOAD = Buffer.alloc(0);
/** Class of the response codes for success. */
const SUCCESS_CODE_CLASS = '2.';

/** Dependencies of {@link RequestGuard}. */
export interface RequestGuardDependencies {
  /** Sends a datagram to a caller of a hosted flow. */
  reply(caller: Endpoint, payload: Buffer): void;
  /** Free slots at this agent's back end. */
  getFreeSlots(): number;
  /** False while this agent drains. */
  acceptsNewWork(): boolean;
  /** Ends a hosted flow. */
  endFlow(caller: Endpoint): void;
}

/** Counts of final answers, for metrics. */
export interface GuardCounts {
  answered: number;
  refused: number;
  unknown: number;
  passed: number;
}

/** The exchanges of one caller. */
interface CallerExchanges {
  readonly byMessageId: Map<number, RequestExchange>;
  /** Exchanges without a final answer. */
  readonly unanswered: Set<RequestExchange>;
}

/** State handed to the successor. */
export interface RequestGuardState {
  readonly exchanges: readonly RequestExchange[];
}

/** Handles the requests of the flows hosted by one agent. */
export class RequestGuard {
  readonly counts: GuardCounts = { answered: 0, refused: 0, unknown: 0, passed: 0 };
  private readonly exchanges = new Map<Endpoint, CallerExchanges>();

  constructor(
    private readonly context: AgentContext,
    private readonly requests: BackendRequests,
    private readonly passing: RequestPassing,
    private readonly permits: PermitAuthority,
    private readonly queries: PermitQueries,
    private readonly dependencies: RequestGuardDependencies,
  ) {}

  /** Handles a datagram of a hosted flow. */
  receive(caller: Endpoint, datagram: Buffer): void {
    const parsed = parseCoap(datagram);
    if (parsed.none) {
      this.context.environment.report(Events.callerMessageMalformed, {});
    } else if (isRequest(parsed.val)) {
      this.handleRequest(caller, parsed.val, murmurhash.v3(datagram));
    } else if (parsed.val.code === CoapCode.empty) {
      this.handleEmpty(caller, parsed.val);
    }
  }

  /**
   * Refuses a datagram whose flow this agent does not host. No duplicate of a refused
   * request may run later, so the permit is first revoked by its issuer.
   * @param reply sends an answer to the caller; not called when there is no answer
   */
  refuseUnhosted(caller: Endpoint, datagram: Buffer, reply: (answer: Buffer) => void): void {
    const parsed = parseCoap(datagram);
    if (parsed.none || !isRequest(parsed.val)) {
      return;
    }
    const request = parsed.val;
    const respond = (answer: PermitAnswer): void => reply(encodeAnswer(request, answer, []));
    if (!isPost(request) || !this.context.safeguards.has('permits')) {
      respond(createRefusal());
      return;
    }
    this.refuseUnhostedPost(caller, request, respond);
  }

  /** Cancels the observations and discards the retained answers of an ended flow. */
  handleFlowEnd(caller: Endpoint): void {
    this.requests.cancelObservationsOf(caller);
    this.exchanges.delete(caller);
  }

  /** Answers a caller's request that has ended, here or at another target. */
  finish(request: CallerRequest, result: RequestResult): void {
    const latest = this.exchanges.get(request.caller)?.byMessageId.get(request.messageId);
    const exchange = latest?.fingerprint === request.fingerprint ? latest : undefined;
    const { permit } = request;
    if (result.outcome === 'answered') {
      this.answerFromBackend(exchange, permit, result.message);
    } else if (result.outcome === 'unknown') {
      this.answerUnknown(exchange, permit);
    } else {
      this.refuse(exchange, permit);
    }
  }

  /** Removes exchanges whose answers need no longer be retained. */
  removeExpiredExchanges(): void {
    const now = this.context.environment.now();
    for (const [caller, { byMessageId }] of this.exchanges) {
      for (const [messageId, exchange] of byMessageId) {
        if (exchange.forgetAt > now) {
          break;
        }
        byMessageId.delete(messageId);
      }
      if (byMessageId.size === 0) {
        this.exchanges.delete(caller);
      }
    }
  }

  /** Exports exchanges that are answered or running; the others start again at the successor. */
  exportState(running: readonly CallerRequest[]): RequestGuardState {
    const isRunning = new Set(running.map(({ caller, messageId }) => `${caller}/${messageId}`));
    const all = [...this.exchanges.values()].flatMap(({ byMessageId }) => [
      ...byMessageId.values(),
    ]);
    const exchanges = all.filter(
      ({ answer, caller, messageId }) => answer || isRunning.has(`${caller}/${messageId}`),
    );
    return { exchanges };
  }

  importState(state: RequestGuardState): void {
    state.exchanges.forEach((exchange) => this.storeExchange({ ...exchange }));
  }

  private refuseUnhostedPost(
    caller: Endpoint,
    request: CoapMessage,
    respond: (answer: PermitAnswer) => void,
  ): void {
    const verdict = this.permits.evaluate(caller, request);
    switch (verdict.kind) {
      case 'run':
        this.revokePermit(verdict.permit, createRefusal());
        respond(createRefusal());
        break;
      case 'not-run':
        respond(createRefusal());
        break;
      case 'repeat':
        respond(verdict.answer);
        break;
      case 'unknown':
        respond(createUnknownOutcome());
        break;
      case 'foreign':
        this.queries.queryIssuer(verdict.permit, (isRevoked) =>
          respond(isRevoked ? createRefusal() : createUnknownOutcome()),
        );
        break;
      case 'running':
        break;
    }
  }

  private revokePermit(permit: Permit, answer: PermitAnswer): void {
    if (this.context.safeguards.has('burn')) {
      this.permits.record(permit, { outcome: 'burnt', answer });
    } else {
      this.permits.forget(permit);
    }
  }

  private handleEmpty(caller: Endpoint, message: CoapMessage): void {
    if (message.ack || message.reset) {
      this.requests.forwardEmpty(caller, message);
    } else if (message.confirmable) {
      const { messageId } = message;
      const pong = generateCoap({ code: CoapCode.empty, messageId, reset: true });
      this.dependencies.reply(caller, pong);
    }
  }

  private handleRequest(caller: Endpoint, request: CoapMessage, fingerprint: number): void {
    const known = this.exchanges.get(caller)?.byMessageId.get(request.messageId);
    if (known && known.fingerprint === fingerprint) {
      this.retransmitAnswer(known);
      return;
    }
    const exchange = this.openExchange(caller, request, fingerprint);
    if (isObserveCancellation(request)) {
      this.requests.cancelObservation(caller, request.token);
    }
    if (isPost(request) && this.context.safeguards.has('permits')) {
      this.handlePost(exchange, request);
    } else {
      this.dispatch(exchange, request, undefined);
    }
  }

  private retransmitAnswer(exchange: RequestExchange): void {
    if (exchange.answer) {
      this.dependencies.reply(exchange.caller, exchange.answer);
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
    this.supersede(caller, request.token);
    this.storeExchange(exchange);
    return exchange;
  }

  /** Suppresses the pending answers to earlier requests that used the same token. */
  private supersede(caller: Endpoint, token: Buffer): void {
    for (const other of this.exchanges.get(caller)?.unanswered ?? []) {
      if (other.token.equals(token)) {
        other.superseded = true;
      }
    }
  }

  private storeExchange(exchange: RequestExchange): void {
    const known = this.exchanges.get(exchange.caller);
    const callerExchanges: CallerExchanges = known ?? {
      byMessageId: new Map(),
      unanswered: new Set(),
    };
    // Reinserted to keep the map in order of expiry.
    callerExchanges.byMessageId.delete(exchange.messageId);
    callerExchanges.byMessageId.set(exchange.messageId, exchange);
    if (!exchange.answer) {
      callerExchanges.unanswered.add(exchange);
    }
    this.exchanges.set(exchange.caller, callerExchanges);
  }

  private handlePost(exchange: RequestExchange, request: CoapMessage): void {
    const verdict = this.permits.evaluate(exchange.caller, request);
    switch (verdict.kind) {
      case 'run':
        this.permits.record(verdict.permit, { outcome: 'running' });
        this.dispatch(exchange, request, verdict.permit);
        break;
      case 'not-run':
        this.issuePermit(exchange);
        break;
      case 'repeat':
        this.answer(exchange, verdict.answer);
        break;
      case 'running':
        this.removeExchange(exchange);
        break;
      case 'unknown':
        this.answerUnknown(exchange, undefined);
        break;
      case 'foreign':
        this.queryIssuer(exchange, verdict.permit);
        break;
    }
  }

  /** Only the issuer can confirm that nothing ran under its permit; else the outcome is unknown. */
  private queryIssuer(exchange: RequestExchange, permit: Permit): void {
    this.queries.queryIssuer(permit, (isRevoked) => {
      if (isRevoked) {
        this.issuePermit(exchange);
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
    const isAccepted = this.dependencies.acceptsNewWork() || isTransferContinuation(request);
    const { caller, messageId, fingerprint } = exchange;
    const purpose: CallerRequest = { kind: 'caller', caller, messageId, fingerprint, permit };
    if (isAccepted && this.dependencies.getFreeSlots() > 0) {
      this.requests.send(request, purpose, this.context.settings.requestDeadline);
    } else if (isObserveRegistration(request)) {
      this.finish(purpose, { outcome: 'refused' });
      this.endFlowIfIdle(caller);
    } else {
      this.counts.passed++;
      const stripped = { ...request, options: omitOption(request, CoapOption.echo) };
      this.passing.pass(stripped, purpose);
    }
  }

  /**
   * A draining host cannot accept an observation. If the flow has no other observation
   * and no pending request, it ends here, so that the caller's next attempt is placed anew.
   */
  private endFlowIfIdle(caller: Endpoint): void {
    const isIdle =
      !this.requests.hasObservation(caller) && !this.exchanges.get(caller)?.unanswered.size;
    if (isIdle && !this.dependencies.acceptsNewWork()) {
      this.dependencies.endFlow(caller);
    }
  }

  private answerFromBackend(
    exchange: RequestExchange | undefined,
    permit: Permit | undefined,
    message: CoapMessage,
  ): void {
    const { code, payload } = message;
    const answer = { code, payload, options: omitOption(message, CoapOption.echo) };
    if (permit) {
      this.permits.record(permit, { outcome: 'answered', answer });
    }
    this.counts[code.startsWith(SUCCESS_CODE_CLASS) ? 'answered' : 'refused']++;
    this.answer(exchange, answer);
  }

  private answerUnknown(exchange: RequestExchange | undefined, permit: Permit | undefined): void {
    const answer = createUnknownOutcome();
    if (permit) {
      this.permits.record(permit, { outcome: 'answered', answer });
    }
    this.counts.unknown++;
    this.context.environment.report(Events.requestOutcomeUnknown, {});
    this.answer(exchange, answer);
  }

  /** Refuses a request finally: the permit is revoked, so a later duplicate is refused too. */
  private refuse(exchange: RequestExchange | undefined, permit: Permit | undefined): void {
    const answer = createRefusal();
    if (permit) {
      this.revokePermit(permit, answer);
    }
    this.counts.refused++;
    this.context.environment.report(Events.requestRefused, {});
    this.answer(exchange, answer);
  }

  private issuePermit(exchange: RequestExchange): void {
    this.answer(exchange, { code: CoapCode.unauthorized, options: [], payload: NO_PAYLOAD });
  }

  /** Answers an exchange; none is left to answer if its flow has ended meanwhile. */
  private answer(exchange: RequestExchange | undefined, answer: PermitAnswer): void {
    if (!exchange) {
      return;
    }
    const carriesPermit = exchange.method === 'post' && this.context.safeguards.has('permits');
    const echo = carriesPermit
      ? [{ name: CoapOption.echo, value: this.permits.issue(exchange.caller) }]
      : [];
    exchange.answer = encodeAnswer(exchange, answer, echo);
    exchange.forgetAt = this.context.environment.now() + ANSWER_RETENTION_MS;
    this.exchanges.get(exchange.caller)?.unanswered.delete(exchange);
    this.storeExchange(exchange);
    if (!exchange.superseded) {
      this.dependencies.reply(exchange.caller, exchange.answer);
    }
  }

  /** Removes a duplicate of a running request; the running one will be answered. */
  private removeExchange(exchange: RequestExchange): void {
    const callerExchanges = this.exchanges.get(exchange.caller);
    callerExchanges?.byMessageId.delete(exchange.messageId);
    callerExchanges?.unanswered.delete(exchange);
  }
}

/** The final refusal, with the time after which to retry. */
function createRefusal(): PermitAnswer {
  const maxAge = { name: CoapOption.maxAge, value: encodeInteger(RETRY_AFTER_SECONDS) };
  return { code: CoapCode.serviceUnavailable, options: [maxAge], payload: NO_PAYLOAD };
}

/** The answer when it is unknown whether the request ran. */
function createUnknownOutcome(): PermitAnswer {
  return { code: CoapCode.gatewayTimeout, options: [], payload: NO_PAYLOAD };
}

/** Encodes an answer to a request as its acknowledgement. */
function encodeAnswer(
  request: Pick<CoapMessage, 'messageId' | 'token' | 'confirmable'>,
  answer: PermitAnswer,
  additionalOptions: CoapMessage['options'],
): Buffer {
  return generateCoap({
    code: answer.code,
    ack: request.confirmable,
    messageId: request.messageId,
    token: request.token,
    options: [...answer.options, ...additionalOptions],
    payload: answer.payload,
  });
}

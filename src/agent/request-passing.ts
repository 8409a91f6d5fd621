/**
 * Requests that their flow's host passes to another target with a free slot, both
 * as the host and as the target that helps.
 */
import type { CoapMessage } from '../coap/coap-message';
import { generateCoap, parseCoap } from '../coap/coap-message';
import { ANSWER_KEPT_FOR } from '../core/timing';
import type { Endpoint, TimerHandle } from '../environment';
import {
  AgentState,
  MessageType,
  PassedOutcome,
  type PassedAnswerMessage,
  type PassedOutcomeValue,
  type PassedRequestMessage,
} from '../wire/messages';
import type { AgentContext } from './agent-context';
import type { BackendRequests } from './backend-requests';
import type { GroupMembership, Peer } from './group-membership';
import type { BackendAnswer } from './request-exchange';

const ATTEMPTS_MAXIMUM = 3;
const RESEND_INTERVAL = 500;
const NO_PAYLOAD = Buffer.alloc(0);

/** How passing a request on ended. */
export type PassResult = BackendAnswer | { readonly outcome: 'refused' };

interface PassedRequest {
  readonly id: number;
  readonly request: Buffer;
  readonly deadlineAt: number;
  readonly tried: Set<string>;
  readonly done: (result: PassResult) => void;
  helper: Peer;
  helperIncarnation: number;
  timer: TimerHandle | undefined;
}

interface HelpedRequest {
  answer: PassedAnswerMessage | undefined;
  readonly since: number;
}

/** Passing of requests among the targets of one service. */
export class RequestPassing {
  private readonly passed = new Map<number, PassedRequest>();
  private readonly helped = new Map<string, HelpedRequest>();
  private nextId = 1;

  constructor(
    private readonly context: AgentContext,
    private readonly membership: GroupMembership,
    private readonly requests: BackendRequests,
    private readonly freeSlots: () => number,
  ) {}

  /** Passes a request to a target believed to have a free slot; `done` is called once. */
  pass(request: CoapMessage, done: (result: PassResult) => void): void {
    const tried = new Set<string>();
    const helper = this.findHelper(tried);
    if (!helper) {
      done({ outcome: 'refused' });
      return;
    }
    const entry: PassedRequest = {
      id: this.nextId++,
      request: generateCoap(request),
      deadlineAt: this.context.environment.now() + this.context.settings.requestDeadline,
      tried,
      done,
      helper,
      helperIncarnation: helper.incarnation,
      timer: undefined,
    };
    this.passed.set(entry.id, entry);
    this.sendTo(entry, helper);
  }

  /** The helper's answer to a passed request. */
  receiveAnswer(message: PassedAnswerMessage): void {
    const entry = this.passed.get(message.passId);
    if (!entry || entry.helper.target !== message.target) {
      return;
    }
    entry.helper.freeSlots = message.freeSlots;
    entry.timer?.cancel();
    if (message.outcome === PassedOutcome.refused) {
      this.tryNext(entry);
    } else if (message.outcome === PassedOutcome.unknown) {
      this.finish(entry, { outcome: 'unknown' });
    } else {
      this.finishAnswered(entry, message.payload);
    }
  }

  /** A helper is gone: what was passed to it has an unknown outcome, said at once. */
  peerLost(peer: Peer): void {
    for (const entry of [...this.passed.values()]) {
      if (entry.helper === peer && entry.helperIncarnation === peer.incarnation) {
        this.finish(entry, { outcome: 'unknown' });
      }
    }
  }

  /** Runs a request for a peer, at most once however often it is asked. */
  receiveRequest(message: PassedRequestMessage, from: Endpoint): void {
    const { settings } = this.context;
    const meantForHere =
      message.target === settings.target && message.targetIncarnation === settings.incarnation;
    if (!meantForHere) {
      return;
    }
    const key = `${message.origin}/${message.originIncarnation}/${message.passId}`;
    const known = this.helped.get(key);
    if (known) {
      if (known.answer) {
        this.context.send(from, known.answer);
      }
      return;
    }
    const entry: HelpedRequest = { answer: undefined, since: this.context.environment.now() };
    this.helped.set(key, entry);
    this.help(message, (outcome, payload) => {
      entry.answer = this.answerTo(message, outcome, payload);
      this.context.send(from, entry.answer);
    });
  }

  /** Periodic housekeeping. */
  tick(): void {
    const oldest =
      this.context.environment.now() - ANSWER_KEPT_FOR - this.context.settings.requestDeadline;
    for (const [key, entry] of this.helped) {
      if (entry.since < oldest) {
        this.helped.delete(key);
      }
    }
  }

  private help(
    message: PassedRequestMessage,
    done: (outcome: PassedOutcomeValue, payload: Buffer) => void,
  ): void {
    const request = parseCoap(message.payload);
    if (request.none || this.freeSlots() <= 0) {
      done(PassedOutcome.refused, NO_PAYLOAD);
      return;
    }
    this.requests.send(0, request.val, message.deadline, (answer) => {
      if (answer.outcome === 'answered') {
        done(PassedOutcome.answered, generateCoap(answer.message));
      } else {
        done(PassedOutcome.unknown, NO_PAYLOAD);
      }
    });
  }

  private answerTo(
    message: PassedRequestMessage,
    outcome: PassedOutcomeValue,
    payload: Buffer,
  ): PassedAnswerMessage {
    return {
      type: MessageType.passedAnswer,
      service: this.context.settings.service,
      target: this.context.settings.target,
      passId: message.passId,
      outcome,
      freeSlots: Math.max(0, this.freeSlots()),
      payload,
    };
  }

  private findHelper(tried: ReadonlySet<string>): Peer | undefined {
    let best: Peer | undefined;
    for (const peer of this.membership.peersToAsk()) {
      const serving = peer.state === AgentState.serving && (peer.row?.share ?? 0) > 0;
      const free = serving && peer.incarnation > 0 && !tried.has(peer.target) ? peer.freeSlots : 0;
      if (free > (best?.freeSlots ?? 0)) {
        best = peer;
      }
    }
    return best;
  }

  private sendTo(entry: PassedRequest, helper: Peer): void {
    entry.helper = helper;
    entry.helperIncarnation = helper.incarnation;
    entry.tried.add(helper.target);
    helper.freeSlots--;
    this.transmit(entry);
  }

  private transmit(entry: PassedRequest): void {
    const left = entry.deadlineAt - this.context.environment.now();
    if (left <= 0) {
      this.finish(entry, { outcome: 'unknown' });
      return;
    }
    const { settings } = this.context;
    this.context.send(entry.helper.endpoint, {
      type: MessageType.passedRequest,
      service: settings.service,
      target: entry.helper.target,
      targetIncarnation: entry.helperIncarnation,
      origin: settings.target,
      originIncarnation: settings.incarnation,
      passId: entry.id,
      deadline: Math.ceil(left),
      payload: entry.request,
    });
    const wait = Math.min(RESEND_INTERVAL, left);
    entry.timer = this.context.environment.startTimer(wait, () => this.transmit(entry));
  }

  private tryNext(entry: PassedRequest): void {
    const helper = entry.tried.size < ATTEMPTS_MAXIMUM ? this.findHelper(entry.tried) : undefined;
    if (helper) {
      this.sendTo(entry, helper);
    } else {
      this.finish(entry, { outcome: 'refused' });
    }
  }

  private finishAnswered(entry: PassedRequest, payload: Buffer): void {
    const message = parseCoap(payload);
    const result: PassResult = message.some
      ? { outcome: 'answered', message: message.val }
      : { outcome: 'unknown' };
    this.finish(entry, result);
  }

  private finish(entry: PassedRequest, result: PassResult): void {
    entry.timer?.cancel();
    if (this.passed.delete(entry.id)) {
      entry.done(result);
    }
  }
}

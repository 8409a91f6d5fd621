/**
 * Requests that the flow's host forwards to another target with a free slot, at both
 * the host and the target that runs them (the helper).
 */
import type { CoapMessage } from '../coap/coap-message';
import { generateCoap, parseCoap } from '../coap/coap-message';
import { ANSWER_RETENTION_MS } from '../core/timing';
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
import type { BackendResult, CallerRequest, PeerRequest, RequestResult } from './request-exchange';

const MAXIMUM_ATTEMPTS = 3;
const RETRANSMIT_INTERVAL_MS = 500;
const NO_PAYLOAD = Buffer.alloc(0);

/** A request that another target runs for this agent. */
interface PassedRequest {
  readonly id: number;
  readonly purpose: CallerRequest;
  readonly request: Buffer;
  readonly deadlineAt: number;
  /** Targets tried so far. */
  readonly tried: string[];
  helper: string;
  helperIncarnation: number;
}

/** A request run for a peer. */
interface PeerRequestEntry {
  readonly key: string;
  readonly since: number;
  answer: PassedAnswerMessage | undefined;
}

/** State handed to the successor. */
export interface RequestPassingState {
  readonly nextId: number;
  readonly passed: readonly PassedRequest[];
  readonly helped: readonly PeerRequestEntry[];
}

/** Receives the result of every forwarded request. */
export type PassEndCallback = (purpose: CallerRequest, result: RequestResult) => void;

/** Forwards requests among the targets of one service. */
export class RequestPassing {
  private readonly passed = new Map<number, PassedRequest>();
  private readonly timers = new Map<number, TimerHandle>();
  private readonly helped = new Map<string, PeerRequestEntry>();
  private nextId = 1;

  constructor(
    private readonly context: AgentContext,
    private readonly membership: GroupMembership,
    private readonly requests: BackendRequests,
    private readonly getFreeSlots: () => number,
    private readonly onEnded: PassEndCallback,
  ) {}

  /** Forwards a request to a target that last reported a free slot. */
  pass(request: CoapMessage, purpose: CallerRequest): void {
    const helper = this.findHelper([]);
    if (!helper) {
      this.onEnded(purpose, { outcome: 'refused' });
      return;
    }
    const entry: PassedRequest = {
      id: this.nextId++,
      purpose,
      request: generateCoap(request),
      deadlineAt: this.context.environment.now() + this.context.settings.requestDeadline,
      tried: [],
      helper: helper.target,
      helperIncarnation: helper.incarnation,
    };
    this.passed.set(entry.id, entry);
    this.sendToHelper(entry, helper);
  }

  /** The purposes of the requests that other targets are running. */
  listPurposes(): CallerRequest[] {
    return [...this.passed.values()].map((entry) => entry.purpose);
  }

  /** Handles the helper's answer to a forwarded request. */
  receiveAnswer(message: PassedAnswerMessage): void {
    const entry = this.passed.get(message.passId);
    if (!entry || entry.helper !== message.target) {
      return;
    }
    const helper = this.membership.peer(entry.helper);
    if (helper) {
      helper.freeSlots = message.freeSlots;
    }
    this.timers.get(entry.id)?.cancel();
    if (message.outcome === PassedOutcome.refused) {
      this.tryNext(entry);
    } else if (message.outcome === PassedOutcome.unknown) {
      this.finish(entry, { outcome: 'unknown' });
    } else {
      this.finishAnswered(entry, message.payload);
    }
  }

  /** Ends the requests forwarded to a lost helper, with an unknown outcome. */
  handlePeerLost(peer: Peer): void {
    for (const entry of [...this.passed.values()]) {
      if (entry.helper === peer.target && entry.helperIncarnation === peer.incarnation) {
        this.finish(entry, { outcome: 'unknown' });
      }
    }
  }

  /** Runs a request for a peer, at most once despite retransmissions. */
  receiveRequest(message: PassedRequestMessage, from: Endpoint): void {
    const { settings } = this.context;
    const isAddressedHere =
      message.target === settings.target && message.targetIncarnation === settings.incarnation;
    if (!isAddressedHere) {
      return;
    }
    const { origin, originIncarnation, passId } = message;
    const purpose: PeerRequest = {
      kind: 'peer',
      origin,
      originIncarnation,
      originEndpoint: from,
      passId,
    };
    const known = this.helped.get(formatKey(purpose));
    if (known?.answer) {
      this.context.send(from, known.answer);
    } else if (!known) {
      this.runPeerRequest(message, purpose);
    }
  }

  /** Answers the peer whose request has ended. */
  finishPeerRequest(purpose: PeerRequest, result: BackendResult): void {
    if (result.outcome === 'answered') {
      this.answerPeer(purpose, PassedOutcome.answered, generateCoap(result.message));
    } else {
      this.answerPeer(purpose, PassedOutcome.unknown, NO_PAYLOAD);
    }
  }

  exportState(): RequestPassingState {
    const { nextId } = this;
    return { nextId, passed: [...this.passed.values()], helped: [...this.helped.values()] };
  }

  importState(state: RequestPassingState): void {
    this.nextId = state.nextId;
    state.helped.forEach((entry) => this.helped.set(entry.key, { ...entry }));
    for (const entry of state.passed) {
      this.passed.set(entry.id, { ...entry });
      this.transmit(this.passed.get(entry.id)!);
    }
  }

  /** Removes requests run for peers once no retransmission can arrive. */
  removeOldEntries(): void {
    const oldest =
      this.context.environment.now() - ANSWER_RETENTION_MS - this.context.settings.requestDeadline;
    for (const [key, entry] of this.helped) {
      if (entry.since < oldest) {
        this.helped.delete(key);
      }
    }
  }

  private runPeerRequest(message: PassedRequestMessage, purpose: PeerRequest): void {
    const key = formatKey(purpose);
    this.helped.set(key, { key, since: this.context.environment.now(), answer: undefined });
    const request = parseCoap(message.payload);
    if (request.none || this.getFreeSlots() <= 0) {
      this.answerPeer(purpose, PassedOutcome.refused, NO_PAYLOAD);
    } else {
      this.requests.send(request.val, purpose, message.deadline);
    }
  }

  private answerPeer(purpose: PeerRequest, outcome: PassedOutcomeValue, payload: Buffer): void {
    const answer: PassedAnswerMessage = {
      type: MessageType.passedAnswer,
      service: this.context.settings.service,
      target: this.context.settings.target,
      passId: purpose.passId,
      outcome,
      freeSlots: Math.max(0, this.getFreeSlots()),
      payload,
    };
    const entry = this.helped.get(formatKey(purpose));
    if (entry) {
      entry.answer = answer;
    }
    this.context.send(purpose.originEndpoint, answer);
  }

  private findHelper(tried: readonly string[]): Peer | undefined {
    let best: Peer | undefined;
    for (const peer of this.membership.listPeersToQuery()) {
      const isServing = peer.state === AgentState.serving && (peer.row?.share ?? 0) > 0;
      const freeSlotCount =
        isServing && peer.incarnation > 0 && !tried.includes(peer.target) ? peer.freeSlots : 0;
      if (freeSlotCount > (best?.freeSlots ?? 0)) {
        best = peer;
      }
    }
    return best;
  }

  private sendToHelper(entry: PassedRequest, helper: Peer): void {
    entry.helper = helper.target;
    entry.helperIncarnation = helper.incarnation;
    entry.tried.push(helper.target);
    helper.freeSlots--;
    this.transmit(entry);
  }

  private transmit(entry: PassedRequest): void {
    const remaining = entry.deadlineAt - this.context.environment.now();
    const helper = this.membership.peer(entry.helper);
    if (remaining <= 0 || !helper) {
      this.finish(entry, { outcome: 'unknown' });
      return;
    }
    const { settings } = this.context;
    this.context.send(helper.endpoint, {
      type: MessageType.passedRequest,
      service: settings.service,
      target: entry.helper,
      targetIncarnation: entry.helperIncarnation,
      origin: settings.target,
      originIncarnation: settings.incarnation,
      passId: entry.id,
      deadline: Math.ceil(remaining),
      payload: entry.request,
    });
    const wait = Math.min(RETRANSMIT_INTERVAL_MS, remaining);
    const timer = this.context.environment.startTimer(wait, () => this.transmit(entry));
    this.timers.set(entry.id, timer);
  }

  private tryNext(entry: PassedRequest): void {
    const mayTry = entry.tried.length < MAXIMUM_ATTEMPTS;
    const helper = mayTry ? this.findHelper(entry.tried) : undefined;
    if (helper) {
      this.sendToHelper(entry, helper);
    } else {
      this.finish(entry, { outcome: 'refused' });
    }
  }

  private finishAnswered(entry: PassedRequest, payload: Buffer): void {
    const message = parseCoap(payload);
    const result: RequestResult = message.some
      ? { outcome: 'answered', message: message.val }
      : { outcome: 'unknown' };
    this.finish(entry, result);
  }

  private finish(entry: PassedRequest, result: RequestResult): void {
    this.timers.get(entry.id)?.cancel();
    this.timers.delete(entry.id);
    if (this.passed.delete(entry.id)) {
      this.onEnded(entry.purpose, result);
    }
  }
}

function formatKey(purpose: PeerRequest): string {
  return `${purpose.origin}/${purpose.originIncarnation}/${purpose.passId}`;
}

/**
 * One agent: hosts the flows of one target, guards its limits, and owns a part of
 * its service's flow directory. The same class runs in the real process and in the
 * simulator; everything outside comes in through {@link AgentDependencies}.
 */
import { computeBucket, computeServiceSeed } from '../core/hashing';
import { chooseTarget } from '../core/placement';
import type { ServiceTable } from '../core/table';
import { HEARTBEAT_INTERVAL_MS, HELLO_INTERVAL_MS } from '../core/timing';
import type { Endpoint, TimerHandle } from '../environment';
import { Events } from '../logging/events';
import { FrameLink } from '../wire/frame-link';
import {
  AgentState,
  MessageType,
  type ForwardMessage,
  type HelloAnswerMessage,
  type Message,
} from '../wire/messages';
import type { AgentContext, AgentNodeSettings } from './agent-context';
import type { AgentDependencies, AgentStatistics } from './agent-dependencies';
import type { AgentSnapshot } from './agent-snapshot';
import { BackendMonitor } from './backend-monitor';
import { BackendRequests } from './backend-requests';
import { BalancerContacts } from './balancer-contacts';
import { BucketDirectory } from './bucket-directory';
import { DrainState } from './drain-state';
import { unpackCallers } from './flow-entries';
import { FlowRouter } from './flow-router';
import { FlowTable, type HostedFlow } from './flow-table';
import { GroupMembership, type OwnStatus, type Peer } from './group-membership';
import { PermitOffice } from './permit-office';
import { PermitQueries } from './permit-queries';
import { RequestGuard } from './request-guard';
import type { BackendResult, RequestPurpose } from './request-exchange';
import { RequestPassing } from './request-passing';
import { Safeguards } from './safeguards';

/** Interval of hellos while the agent has no table yet, in milliseconds. */
const FIRST_HELLO_INTERVAL = 200;
/** Least time between two hellos that a newer table revision in a frame prompts. */
const PROMPTED_HELLO_PAUSE = 100;

/** The agent of one target. */
export class AgentNode {
  private readonly context: AgentContext;
  private readonly link: FrameLink;
  private readonly membership: GroupMembership;
  private readonly directory: BucketDirectory;
  private readonly flows: FlowTable;
  private readonly contacts: BalancerContacts;
  private readonly router: FlowRouter;
  private readonly requests: BackendRequests;
  private readonly passing: RequestPassing;
  private readonly permits: PermitOffice;
  private readonly queries: PermitQueries;
  private readonly guard: RequestGuard;
  private readonly monitor: BackendMonitor;
  private readonly drain: DrainState;
  private flowsOpened = 0;
  private flowsClosed = 0;
  private lastHello = -Infinity;
  private running = false;
  private heartbeatTimer: TimerHandle | undefined;
  private helloTimer: TimerHandle | undefined;

  constructor(
    private readonly settings: AgentNodeSettings,
    private readonly dependencies: AgentDependencies,
  ) {
    const { environment, codec, transport } = dependencies;
    this.link = new FrameLink(codec, transport, environment);
    this.context = this.createContext();
    const { context } = this;
    this.drain = new DrainState(dependencies.environment, context.safeguards.has('drain'), () =>
      this.stateChanged(),
    );
    this.membership = new GroupMembership(context, {
      membersChanged: () => this.directory.reconcile(),
      peerAppeared: (peer) => this.directory.refreshFrom(peer),
      peerLost: (peer) => this.peerLost(peer),
      wasAway: () => this.directory.reclaimOwned(),
      flowsClosed: (peer, closed) => this.router.flowsClosed(peer, closed),
      takeClosedFor: (target) => this.takeClosedFor(target),
      ownStatus: () => this.ownStatus(),
    });
    this.flows = new FlowTable(context);
    this.contacts = new BalancerContacts(context);
    this.directory = new BucketDirectory(
      context,
      this.membership,
      {
        callersIn: (buckets) => this.flows.callersIn(buckets),
        hosts: (caller) => this.flows.get(caller) !== undefined,
        end: (caller) => this.endFlow(caller),
      },
      () => this.router.retryParked(),
    );
    this.router = new FlowRouter(
      context,
      this.membership,
      this.directory,
      this.flows,
      this.contacts,
      {
        deliver: (caller, flow, payload) => this.deliver(caller, flow, payload),
        refuse: (caller, balancer, payload) => this.refuse(caller, balancer, payload),
      },
    );
    this.requests = new BackendRequests(
      context,
      (caller, message) => this.replyToCaller(caller, message),
      (purpose, result) => this.requestEnded(purpose, result),
    );
    this.passing = new RequestPassing(
      context,
      this.membership,
      this.requests,
      () => this.freeSlotsForNewWork(),
      (request, result) => this.guard.finish(request, result),
    );
    this.permits = new PermitOffice(context);
    this.queries = new PermitQueries(context, this.membership, this.permits);
    this.guard = this.createGuard();
    this.monitor = new BackendMonitor(context, this.requests, () => this.backendChanged());
  }

  /** Begins heartbeats, hellos and back end reports. */
  start(): void {
    this.running = true;
    const { environment } = this.dependencies;
    const delay = environment.random() * HEARTBEAT_INTERVAL_MS;
    this.heartbeatTimer = environment.startTimer(delay, () => this.heartbeat());
    this.hello();
  }

  /** Ends this node in favour of a successor, and returns all that the successor needs. */
  handOver(): AgentSnapshot {
    this.halt();
    const running = [...this.requests.purposes(), ...this.passing.purposes()];
    const callers = running.filter((purpose) => purpose.kind === 'caller');
    return {
      incarnation: this.settings.incarnation,
      membership: this.membership.exportState(),
      directory: this.directory.exportState(),
      flows: this.flows.exportState(),
      requests: this.requests.exportState(),
      passing: this.passing.exportState(),
      permits: this.permits.exportState(),
      guard: this.guard.exportState(callers),
      monitor: this.monitor.exportState(),
      drain: this.drain.exportState(),
    };
  }

  /** Takes over from a predecessor; call before {@link start}, with its incarnation in settings. */
  takeOver(snapshot: AgentSnapshot): void {
    this.membership.importState(snapshot.membership);
    this.drain.importState(snapshot.drain);
    this.flows.importState(snapshot.flows);
    this.directory.importState(snapshot.directory);
    this.permits.importState(snapshot.permits);
    this.guard.importState(snapshot.guard);
    this.monitor.importState(snapshot.monitor);
    this.requests.importState(snapshot.requests);
    this.passing.importState(snapshot.passing);
    this.directory.reconcile();
    this.membership.heartbeat();
  }

  /** Begins a planned stop: no new work; hosted flows run out. */
  beginStop(): void {
    this.drain.set('stop', true);
  }

  /** Ends the node: peers hear that it stopped, timers run out. */
  stop(): void {
    this.drain.markStopped();
    this.membership.heartbeat();
    this.halt();
  }

  /** True while flows or requests are here. */
  get busy(): boolean {
    return this.flows.size > 0 || this.requests.busySlots > 0;
  }

  /** Callers of the flows hosted here. */
  hostedCallers(): Endpoint[] {
    return [...this.flows.all()].map(([caller]) => caller);
  }

  /** Revision of the table in force here; 0 before the first. */
  get tableRevision(): number {
    return this.membership.tableRevision;
  }

  /** The service's table in force here. */
  get tableInForce(): ServiceTable | undefined {
    return this.membership.table;
  }

  /** Buckets of the service's directory that this agent owns. */
  get ownedBuckets(): number {
    return this.directory.ownedCount();
  }

  get statistics(): AgentStatistics {
    return {
      flows: this.flows.size,
      flowsOpened: this.flowsOpened,
      flowsClosed: this.flowsClosed,
      bucketsOwned: this.directory.ownedCount(),
      directoryEntries: this.directory.entryCount(),
      busySlots: this.requests.busySlots,
      observations: this.requests.observationCount,
      ledgerEntries: this.permits.ledgerSize,
      requestsAnswered: this.guard.counts.answered,
      requestsRefused: this.guard.counts.refused,
      requestsUnknown: this.guard.counts.unknown,
      requestsPassed: this.guard.counts.passed,
      controlBytesSent: this.link.controlBytesSent,
      framesRejected: this.link.framesRejected,
      tableRevision: this.membership.tableRevision,
      draining: this.drain.state !== AgentState.serving,
    };
  }

  /** Takes a datagram that arrived at the agent's frame address. */
  receiveFrame(frame: Buffer, from: Endpoint): void {
    const message = this.link.receive(frame);
    if (message) {
      this.receive(message, from);
    }
  }

  /** Takes a datagram from the back end of a coap service. */
  receiveBackendMessage(datagram: Buffer): void {
    this.requests.receive(datagram);
  }

  /** Takes a datagram from the back end for one flow of a datagram service. */
  receiveBackendDatagram(caller: Endpoint, payload: Buffer): void {
    this.replyToCaller(caller, payload);
  }

  private halt(): void {
    this.running = false;
    this.heartbeatTimer?.cancel();
    this.helloTimer?.cancel();
  }

  private createGuard(): RequestGuard {
    const { context, requests, passing, permits, queries } = this;
    return new RequestGuard(context, requests, passing, permits, queries, {
      reply: (caller, payload) => this.replyToCaller(caller, payload),
      freeSlots: () => this.freeSlots(),
      takesNewWork: () => this.drain.state === AgentState.serving,
      endFlow: (caller) => this.endFlow(caller),
    });
  }

  private createContext(): AgentContext {
    const { environment, codec, backend, safeguards, place, hostsAnyFlow } = this.dependencies;
    const seed = computeServiceSeed(this.settings.service);
    return {
      settings: this.settings,
      environment,
      backend,
      safeguards: safeguards ?? new Safeguards(),
      place: place ?? chooseTarget,
      hostsAnyFlow: hostsAnyFlow ?? false,
      keys: () => codec.keys,
      bucketOf: (caller) => computeBucket(caller, seed),
      send: (to, message) => this.link.send(to, message),
    };
  }

  private receive(message: Message, from: Endpoint): void {
    if (message.type === MessageType.forward) {
      this.receiveForward(message);
      return;
    }
    const service = 'service' in message ? message.service : this.settings.service;
    if (service !== this.settings.service) {
      this.dependencies.environment.report(Events.frameWrongService, { service });
      return;
    }
    this.receiveControl(message, from);
  }

  private receiveControl(message: Message, from: Endpoint): void {
    switch (message.type) {
      case MessageType.heartbeat:
        this.membership.receive(message, from);
        break;
      case MessageType.claim:
        this.directory.answerClaim(message, from);
        break;
      case MessageType.claimAnswer:
        this.directory.receiveAnswer(message);
        break;
      case MessageType.helloAnswer:
        this.receiveHelloAnswer(message, from);
        break;
      case MessageType.passedRequest:
        this.passing.receiveRequest(message, from);
        break;
      case MessageType.passedAnswer:
        this.passing.receiveAnswer(message);
        break;
      case MessageType.permitQuery:
        this.queries.receiveQuery(message, from);
        break;
      case MessageType.permitAnswer:
        this.queries.receiveAnswer(message);
        break;
      case MessageType.flowEviction:
        unpackCallers(message.callers).forEach((caller) => this.endFlow(caller));
        break;
      case MessageType.drainNotice:
        this.drain.noticeMachineLeaving();
        break;
      default:
        this.dependencies.environment.report(Events.frameUnexpected, { type: message.type });
    }
  }

  private receiveForward(message: ForwardMessage): void {
    if (message.hops === 0) {
      this.contacts.heard(message.balancer);
    }
    if (message.tableRevision > this.membership.tableRevision) {
      this.promptedHello(message.balancer);
    }
    const before = this.flows.size;
    this.router.receive(message);
    this.flowsOpened += Math.max(0, this.flows.size - before);
  }

  private receiveHelloAnswer(message: HelloAnswerMessage, from: Endpoint): void {
    this.contacts.heard(from);
    this.contacts.learn(message.balancers);
    message.tables.forEach((table) => this.applyTable(table));
    const calledDead = message.notices.some(
      (notice) =>
        notice.incarnation === this.settings.incarnation &&
        notice.state === AgentState.stopped &&
        notice.stateSequence >= this.drain.sequence,
    );
    if (calledDead) {
      this.drain.refute();
    }
  }

  private applyTable(table: ServiceTable): void {
    if (table.service !== this.settings.service || !this.membership.applyTable(table)) {
      return;
    }
    const { revision } = table;
    this.dependencies.environment.report(Events.tableApplied, { revision });
    this.drain.set('table', (this.membership.ownRow?.share ?? 0) === 0);
  }

  private heartbeat(): void {
    if (!this.running) {
      return;
    }
    this.monitor.poll();
    this.drain.tick();
    this.permits.tick();
    this.guard.tick();
    this.passing.tick();
    this.router.tick();
    this.endIdleFlows();
    this.membership.heartbeat();
    this.directory.claimMissing();
    this.directory.checkStrays();
    const { environment } = this.dependencies;
    this.heartbeatTimer = environment.startTimer(HEARTBEAT_INTERVAL_MS, () => this.heartbeat());
  }

  private endIdleFlows(): void {
    this.flows.idleCallers().forEach((caller) => this.endFlow(caller));
  }

  private endFlow(caller: Endpoint): void {
    if (!this.flows.close(caller)) {
      return;
    }
    this.flowsClosed++;
    this.guard.flowEnded(caller);
    this.dependencies.backend.closeFlow(caller);
    this.directory.removeIfHost(this.context.bucketOf(caller), caller, this.settings.target);
  }

  private takeClosedFor(target: string): Buffer {
    return this.flows.takeClosed((bucket) => this.directory.ownerOf(bucket) === target);
  }

  private hello(): void {
    if (!this.running) {
      return;
    }
    const balancer = this.contacts.forHello();
    if (balancer !== undefined) {
      this.sendHello(balancer);
    }
    const interval = this.membership.table ? HELLO_INTERVAL_MS : FIRST_HELLO_INTERVAL;
    this.helloTimer = this.dependencies.environment.startTimer(interval, () => this.hello());
  }

  private promptedHello(balancer: Endpoint): void {
    if (this.dependencies.environment.now() - this.lastHello >= PROMPTED_HELLO_PAUSE) {
      this.sendHello(balancer);
    }
  }

  private sendHello(balancer: Endpoint): void {
    this.lastHello = this.dependencies.environment.now();
    this.context.send(balancer, {
      type: MessageType.hello,
      service: this.settings.service,
      target: this.settings.target,
      incarnation: this.settings.incarnation,
      state: this.drain.state,
      stateSequence: this.drain.sequence,
      tableRevision: this.membership.tableRevision,
      notices: this.membership.notices(),
    });
  }

  private stateChanged(): void {
    this.directory.reconcile();
    this.membership.heartbeat();
    const balancer = this.contacts.forHello();
    if (balancer !== undefined) {
      this.sendHello(balancer);
    }
  }

  private requestEnded(purpose: RequestPurpose, result: BackendResult): void {
    switch (purpose.kind) {
      case 'caller':
        this.guard.finish(purpose, result);
        break;
      case 'peer':
        this.passing.finishHelp(purpose, result);
        break;
      case 'load-report':
        this.monitor.receiveReport(result);
        break;
    }
  }

  private backendChanged(): void {
    this.drain.set('backend-draining', this.monitor.draining);
    this.drain.set('backend-silent', !this.monitor.ready);
  }

  private peerLost(peer: Peer): void {
    this.passing.peerLost(peer);
    this.directory.forgetHost(peer.target);
  }

  private ownStatus(): OwnStatus {
    return {
      state: this.drain.state,
      stateSequence: this.drain.sequence,
      flows: this.flows.size,
      freeSlots: Math.max(0, this.freeSlotsForNewWork()),
      load: this.monitor.load,
      age: this.dependencies.environment.now() - this.monitor.servingSince,
    };
  }

  private freeSlots(): number {
    return (this.membership.ownRow?.slots ?? 0) - this.requests.busySlots;
  }

  private freeSlotsForNewWork(): number {
    return this.drain.state === AgentState.serving ? this.freeSlots() : 0;
  }

  private deliver(caller: Endpoint, flow: HostedFlow, payload: Buffer): void {
    if (this.settings.protocol === 'datagram') {
      this.dependencies.backend.sendDatagram(caller, payload);
    } else {
      this.guard.receive(caller, payload);
    }
    flow.lastActive = this.dependencies.environment.now();
  }

  private refuse(caller: Endpoint, balancer: Endpoint, payload: Buffer): void {
    if (this.settings.protocol === 'coap') {
      this.guard.refuseUnhosted(caller, payload, (answer) =>
        this.sendReply(caller, balancer, answer, 0),
      );
    }
  }

  private replyToCaller(caller: Endpoint, payload: Buffer): void {
    const flow = this.flows.get(caller);
    if (flow) {
      flow.lastActive = this.dependencies.environment.now();
      this.sendReply(caller, this.contacts.forReply(flow.balancer), payload, 1);
    }
  }

  private sendReply(caller: Endpoint, balancer: Endpoint, payload: Buffer, hosted: number): void {
    this.context.send(balancer, {
      type: MessageType.reply,
      service: this.settings.service,
      target: this.settings.target,
      hosted,
      caller,
      payload,
    });
  }
}

/**
 * One agent: hosts the flows of one target, enforces its limits, and owns a part of
 * its service's flow directory. The same class runs in the real process and in the
 * simulator; all dependencies are passed in as {@link AgentDependencies}.
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
import { PermitAuthority } from './permit-authority';
import { PermitQueries } from './permit-queries';
import { RequestGuard } from './request-guard';
import type { BackendResult, RequestPurpose } from './request-exchange';
import { RequestPassing } from './request-passing';
import { Safeguards } from './safeguards';

/** Interval between hellos while the agent has no table yet. */
const FIRST_HELLO_INTERVAL_MS = 200;
/** Between two hellos that a newer table revision in a frame prompts. */
const MINIMUM_PROMPTED_HELLO_INTERVAL_MS = 100;

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
  private readonly permits: PermitAuthority;
  private readonly queries: PermitQueries;
  private readonly guard: RequestGuard;
  private readonly monitor: BackendMonitor;
  private readonly drain: DrainState;
  private flowsOpened = 0;
  private flowsClosed = 0;
  private lastHelloAt = -Infinity;
  private isRunning = false;
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
      this.handleStateChange(),
    );
    this.membership = new GroupMembership(context, {
      onMembersChanged: () => this.directory.reconcile(),
      onPeerAppeared: (peer) => this.directory.refreshFrom(peer),
      onPeerLost: (peer) => this.handlePeerLost(peer),
      onDisconnected: () => this.directory.reclaimOwned(),
      onFlowsClosed: (peer, closed) => this.router.removeClosedFlows(peer, closed),
      takeClosedFlows: (target) => this.takeClosedFlows(target),
      getOwnStatus: () => this.getOwnStatus(),
    });
    this.flows = new FlowTable(context);
    this.contacts = new BalancerContacts(context);
    this.directory = new BucketDirectory(
      context,
      this.membership,
      {
        listCallersIn: (buckets) => this.flows.listCallersIn(buckets),
        isHosted: (caller) => this.flows.get(caller) !== undefined,
        endFlow: (caller) => this.endFlow(caller),
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
      (purpose, result) => this.handleRequestEnd(purpose, result),
    );
    this.passing = new RequestPassing(
      context,
      this.membership,
      this.requests,
      () => this.getFreeSlotsForNewWork(),
      (request, result) => this.guard.finish(request, result),
    );
    this.permits = new PermitAuthority(context);
    this.queries = new PermitQueries(context, this.membership, this.permits);
    this.guard = this.createGuard();
    this.monitor = new BackendMonitor(context, this.requests, () => this.handleBackendChange());
  }

  /** Starts heartbeats, hellos and polls of the back end. */
  start(): void {
    this.isRunning = true;
    const { environment } = this.dependencies;
    const delay = environment.random() * HEARTBEAT_INTERVAL_MS;
    this.heartbeatTimer = environment.startTimer(delay, () => this.runPeriodicTasks());
    this.sendPeriodicHello();
  }

  /** Stops this node and returns the state for its successor process. */
  handOver(): AgentSnapshot {
    this.halt();
    const runningRequests = [...this.requests.listPurposes(), ...this.passing.listPurposes()];
    const callers = runningRequests.filter((purpose) => purpose.kind === 'caller');
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

  /** Restores a predecessor's state; call before {@link start}, with the same incarnation. */
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
    this.membership.sendHeartbeats();
  }

  /** Begins a planned stop: accepts no new work while hosted flows finish. */
  beginStop(): void {
    this.drain.setReason('stop', true);
  }

  /** Stops the node: announces the stop to its peers and cancels its timers. */
  stop(): void {
    this.drain.markStopped();
    this.membership.sendHeartbeats();
    this.halt();
  }

  /** True while the agent hosts flows or runs requests. */
  get isBusy(): boolean {
    return this.flows.size > 0 || this.requests.busySlots > 0;
  }

  /** Callers of the flows hosted here. */
  listHostedCallers(): Endpoint[] {
    return [...this.flows.getAll()].map(([caller]) => caller);
  }

  /** Revision of the active table; 0 before the first. */
  get tableRevision(): number {
    return this.membership.tableRevision;
  }

  /** The service's active table. */
  get activeTable(): ServiceTable | undefined {
    return this.membership.table;
  }

  /** Number of directory buckets that this agent owns. */
  get ownedBucketCount(): number {
    return this.directory.countOwned();
  }

  get statistics(): AgentStatistics {
    return {
      flows: this.flows.size,
      flowsOpened: this.flowsOpened,
      flowsClosed: this.flowsClosed,
      bucketsOwned: this.directory.countOwned(),
      directoryEntries: this.directory.countEntries(),
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

  /** Handles a datagram that arrived at the agent's frame address. */
  receiveFrame(frame: Buffer, from: Endpoint): void {
    const message = this.link.receive(frame);
    if (message) {
      this.handleMessage(message, from);
    }
  }

  /** Handles a datagram from the back end of a coap service. */
  receiveBackendMessage(datagram: Buffer): void {
    this.requests.receive(datagram);
  }

  /** Handles a datagram from the back end for one flow of a datagram service. */
  receiveBackendDatagram(caller: Endpoint, payload: Buffer): void {
    this.replyToCaller(caller, payload);
  }

  private halt(): void {
    this.isRunning = false;
    this.heartbeatTimer?.cancel();
    this.helloTimer?.cancel();
  }

  private createGuard(): RequestGuard {
    const { context, requests, passing, permits, queries } = this;
    return new RequestGuard(context, requests, passing, permits, queries, {
      reply: (caller, payload) => this.replyToCaller(caller, payload),
      getFreeSlots: () => this.getFreeSlots(),
      acceptsNewWork: () => this.drain.state === AgentState.serving,
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
      getKeys: () => codec.keys,
      getBucket: (caller) => computeBucket(caller, seed),
      send: (to, message) => this.link.send(to, message),
    };
  }

  private handleMessage(message: Message, from: Endpoint): void {
    if (message.type === MessageType.forward) {
      this.handleForward(message);
      return;
    }
    const service = 'service' in message ? message.service : this.settings.service;
    if (service !== this.settings.service) {
      this.dependencies.environment.report(Events.frameWrongService, { service });
      return;
    }
    this.handleControlMessage(message, from);
  }

  private handleControlMessage(message: Message, from: Endpoint): void {
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
        this.handleHelloAnswer(message, from);
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
        this.drain.recordMachineLeaving();
        break;
      default:
        this.dependencies.environment.report(Events.frameUnexpected, { type: message.type });
    }
  }

  private handleForward(message: ForwardMessage): void {
    if (message.hops === 0) {
      this.contacts.recordContact(message.balancer);
    }
    if (message.tableRevision > this.membership.tableRevision) {
      this.sendPromptedHello(message.balancer);
    }
    const before = this.flows.size;
    this.router.receive(message);
    this.flowsOpened += Math.max(0, this.flows.size - before);
  }

  private handleHelloAnswer(message: HelloAnswerMessage, from: Endpoint): void {
    this.contacts.recordContact(from);
    this.contacts.replaceKnown(message.balancers);
    message.tables.forEach((table) => this.applyTable(table));
    const isReportedDead = message.notices.some(
      (notice) =>
        notice.incarnation === this.settings.incarnation &&
        notice.state === AgentState.stopped &&
        notice.stateSequence >= this.drain.sequence,
    );
    if (isReportedDead) {
      this.drain.refute();
    }
  }

  private applyTable(table: ServiceTable): void {
    if (table.service !== this.settings.service || !this.membership.applyTable(table)) {
      return;
    }
    const { revision } = table;
    this.dependencies.environment.report(Events.tableApplied, { revision });
    this.drain.setReason('table', (this.membership.ownRow?.share ?? 0) === 0);
  }

  private runPeriodicTasks(): void {
    if (!this.isRunning) {
      return;
    }
    this.monitor.poll();
    this.drain.expireMachineNotice();
    this.permits.removeExpired();
    this.guard.removeExpiredExchanges();
    this.passing.removeOldEntries();
    this.router.removeOldPlacements();
    this.endIdleFlows();
    this.membership.sendHeartbeats();
    this.directory.claimMissing();
    this.directory.checkMisplacedBuckets();
    const { environment } = this.dependencies;
    this.heartbeatTimer = environment.startTimer(HEARTBEAT_INTERVAL_MS, () =>
      this.runPeriodicTasks(),
    );
  }

  private endIdleFlows(): void {
    this.flows.listIdleCallers().forEach((caller) => this.endFlow(caller));
  }

  private endFlow(caller: Endpoint): void {
    if (!this.flows.close(caller)) {
      return;
    }
    this.flowsClosed++;
    this.guard.handleFlowEnd(caller);
    this.dependencies.backend.closeFlow(caller);
    this.directory.removeIfHost(this.context.getBucket(caller), caller, this.settings.target);
  }

  private takeClosedFlows(target: string): Buffer {
    return this.flows.takeClosed((bucket) => this.directory.getOwner(bucket) === target);
  }

  private sendPeriodicHello(): void {
    if (!this.isRunning) {
      return;
    }
    const balancer = this.contacts.selectForHello();
    if (balancer !== undefined) {
      this.sendHello(balancer);
    }
    const interval = this.membership.table ? HELLO_INTERVAL_MS : FIRST_HELLO_INTERVAL_MS;
    this.helloTimer = this.dependencies.environment.startTimer(interval, () =>
      this.sendPeriodicHello(),
    );
  }

  private sendPromptedHello(balancer: Endpoint): void {
    if (
      this.dependencies.environment.now() - this.lastHelloAt >=
      MINIMUM_PROMPTED_HELLO_INTERVAL_MS
    ) {
      this.sendHello(balancer);
    }
  }

  private sendHello(balancer: Endpoint): void {
    this.lastHelloAt = this.dependencies.environment.now();
    this.context.send(balancer, {
      type: MessageType.hello,
      service: this.settings.service,
      target: this.settings.target,
      incarnation: this.settings.incarnation,
      state: this.drain.state,
      stateSequence: this.drain.sequence,
      tableRevision: this.membership.tableRevision,
      notices: this.membership.listNotices(),
    });
  }

  private handleStateChange(): void {
    this.directory.reconcile();
    this.membership.sendHeartbeats();
    const balancer = this.contacts.selectForHello();
    if (balancer !== undefined) {
      this.sendHello(balancer);
    }
  }

  private handleRequestEnd(purpose: RequestPurpose, result: BackendResult): void {
    switch (purpose.kind) {
      case 'caller':
        this.guard.finish(purpose, result);
        break;
      case 'peer':
        this.passing.finishPeerRequest(purpose, result);
        break;
      case 'load-report':
        this.monitor.receiveReport(result);
        break;
    }
  }

  private handleBackendChange(): void {
    this.drain.setReason('backend-draining', this.monitor.draining);
    this.drain.setReason('backend-silent', !this.monitor.isReady);
  }

  private handlePeerLost(peer: Peer): void {
    this.passing.handlePeerLost(peer);
    this.directory.removeHost(peer.target);
  }

  private getOwnStatus(): OwnStatus {
    return {
      state: this.drain.state,
      stateSequence: this.drain.sequence,
      flows: this.flows.size,
      freeSlots: Math.max(0, this.getFreeSlotsForNewWork()),
      load: this.monitor.load,
      age: this.dependencies.environment.now() - this.monitor.servingSince,
    };
  }

  private getFreeSlots(): number {
    return (this.membership.ownRow?.slots ?? 0) - this.requests.busySlots;
  }

  private getFreeSlotsForNewWork(): number {
    return this.drain.state === AgentState.serving ? this.getFreeSlots() : 0;
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
      this.sendReply(caller, this.contacts.selectForReply(flow.balancer), payload, 1);
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

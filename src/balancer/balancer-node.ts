/**
 * One balancer: forwards callers' datagrams to agents and their replies back, distributes
 * tables and membership, and accepts operators' edits. All its state can be rebuilt from
 * peers and the store. The same class runs in the real process and in the simulator.
 */
import { getEndpointAddress } from '../core/endpoint';
import type { ServiceTable } from '../core/table';
import type { Endpoint, Environment, FrameTransport } from '../environment';
import { Events } from '../logging/events';
import type { MachineRecord, StorePort } from '../table-store/store-port';
import type { FrameCodec } from '../wire/frame-codec';
import { FrameLink } from '../wire/frame-link';
import {
  AgentState,
  MessageType,
  type HelloMessage,
  type MemberRecord,
  type Message,
  type ReplyMessage,
  type ServiceTargetNotice,
  type TargetNotice,
} from '../wire/messages';
import type { BalancerContext, BalancerNodeSettings } from './balancer-context';
import { BalancerMembership } from './balancer-membership';
import { FlowCacheBudget } from './flow-host-cache';
import { DirectoryRouting, type FlowRouting } from './flow-routing';
import { StoreReader } from './store-reader';
import { TableAcceptance } from './table-acceptance';
import { TableDistribution } from './table-distribution';
import { TargetStates } from './target-states';

/** Other balancers listed in the answer to the hello of an agent. */
const BALANCERS_PER_HELLO_ANSWER = 3;

/** Sends a datagram to a caller from a service's address. */
export interface CallerPort {
  send(service: string, caller: Endpoint, payload: Buffer): void;
}

/** Creates the routing of one service; the simulator's baselines pass their own. */
export type RoutingFactory = (
  service: string,
  targetStates: TargetStates,
  budget: FlowCacheBudget,
) => FlowRouting;

/** Dependencies of a balancer. */
export interface BalancerDependencies {
  readonly environment: Environment;
  readonly transport: FrameTransport;
  readonly codec: FrameCodec;
  readonly callers: CallerPort;
  readonly store: StorePort;
  readonly routing?: RoutingFactory;
}

/** Counters and gauges of a balancer for metrics and status. */
export interface BalancerStatistics {
  readonly datagramsForwarded: number;
  readonly datagramsDropped: number;
  readonly repliesSent: number;
  readonly controlBytesSent: number;
  readonly framesRejected: number;
  readonly knownFlows: number;
  readonly tableRevision: number;
  readonly members: number;
  readonly storeReader: boolean;
}

/** A balancer of the datagram interface. */
export class BalancerNode {
  readonly membership: BalancerMembership;
  readonly distribution: TableDistribution;
  readonly acceptance: TableAcceptance;
  private readonly context: BalancerContext;
  private readonly link: FrameLink;
  private readonly storeReader: StoreReader;
  private readonly targetStates = new TargetStates();
  private readonly cacheBudget: FlowCacheBudget;
  private readonly routings = new Map<string, FlowRouting>();
  private datagramsForwarded = 0;
  private datagramsDropped = 0;
  private repliesSent = 0;
  private lastDatagramAt = -Infinity;

  constructor(
    private readonly settings: BalancerNodeSettings,
    private readonly dependencies: BalancerDependencies,
  ) {
    const { environment, store, codec, transport } = dependencies;
    this.cacheBudget = new FlowCacheBudget(settings.learntFlows);
    this.link = new FrameLink(codec, transport, environment);
    this.context = { settings, environment, send: (to, message) => this.link.send(to, message) };
    this.distribution = new TableDistribution(this.context, {
      sampleMembers: (count) => this.membership.sample(count),
      listActiveMembers: () => this.membership.listActive(),
      handleChangedTables: (tables) => this.invalidateRoutings(tables),
    });
    this.membership = new BalancerMembership(this.context, {
      handlePeerRevision: (revision, aheadDigest, from) =>
        this.distribution.handlePeerRevision(revision, aheadDigest, from),
      applyTargetNotice: (notice) => this.applyNotice(notice.service, notice),
      handleMembersChanged: () => undefined,
      getCompleteRevision: () => this.distribution.cache.revision,
      getAheadDigest: () => this.distribution.cache.aheadDigest,
      listTargetNotices: () => this.targetStates.listAll(),
    });
    this.storeReader = new StoreReader(this.context, store, {
      listActiveNames: () => this.membership.listActive().map((member) => member.name),
      getCompleteRevision: () => this.distribution.cache.revision,
      applyDelta: (delta) => this.distribution.applyAndPush(delta, undefined),
      handleMachineList: (machines) => this.notifyLeavingMachines(machines),
    });
    this.acceptance = new TableAcceptance(this.context, store, {
      distributeTable: (table, copies, onDone) => this.distributeTable(table, copies, onDone),
    });
  }

  start(): void {
    this.membership.start();
    this.storeReader.start();
  }

  /** Begins a planned stop: announces it to peers and goes on forwarding. */
  beginStop(): void {
    this.membership.leave();
    this.storeReader.stop();
  }

  stop(): void {
    this.storeReader.stop();
    this.membership.stop();
  }

  /** True when this balancer can forward callers' datagrams. */
  get isReady(): boolean {
    return this.membership.hasJoined && this.distribution.isCaughtUp;
  }

  /** Milliseconds since the last caller's datagram; infinite before the first. */
  get idleTimeMs(): number {
    return this.dependencies.environment.now() - this.lastDatagramAt;
  }

  get statistics(): BalancerStatistics {
    let knownFlows = 0;
    for (const routing of this.routings.values()) {
      knownFlows += routing.knownFlows;
    }
    return {
      datagramsForwarded: this.datagramsForwarded,
      datagramsDropped: this.datagramsDropped,
      repliesSent: this.repliesSent,
      controlBytesSent: this.link.controlBytesSent,
      framesRejected: this.link.framesRejected,
      knownFlows,
      tableRevision: this.distribution.cache.revision,
      members: this.membership.listLive().length + 1,
      storeReader: this.storeReader.isReading,
    };
  }

  /** All known members, this balancer first. */
  listMembers(): MemberRecord[] {
    return [this.membership.self, ...this.membership.listKnown()];
  }

  /** Targets that are draining or stopped, as far as known here. */
  listUnavailableTargets(): ServiceTargetNotice[] {
    return this.targetStates.listAll().filter((notice) => notice.state !== AgentState.serving);
  }

  /** Handles a caller's datagram that arrived at the address of a service. */
  receiveDatagram(service: string, caller: Endpoint, payload: Buffer): void {
    this.lastDatagramAt = this.dependencies.environment.now();
    const host = this.isReady ? this.getOrCreateRouting(service)?.route(caller) : undefined;
    if (!host) {
      this.datagramsDropped++;
      this.dependencies.environment.report(Events.serviceUnknown, { service });
      return;
    }
    this.datagramsForwarded++;
    this.link.send(host.endpoint, {
      type: MessageType.forward,
      service,
      target: host.target,
      caller,
      balancer: this.settings.endpoint,
      tableRevision: this.distribution.cache.get(service)?.revision ?? 0,
      hops: 0,
      placedBy: '',
      payload,
    });
  }

  /** Handles a datagram that arrived at the balancer's frame address. */
  receiveFrame(frame: Buffer, from: Endpoint): void {
    const message = this.link.receive(frame);
    if (message) {
      this.handleMessage(message, from);
    }
  }

  private handleMessage(message: Message, from: Endpoint): void {
    switch (message.type) {
      case MessageType.reply:
        this.handleReply(message, from);
        break;
      case MessageType.hello:
        this.handleHello(message, from);
        break;
      case MessageType.tableRequest:
        this.distribution.handleRequest(message, from);
        break;
      case MessageType.tableDelta:
        this.distribution.handleDelta(message, from);
        break;
      case MessageType.tableConfirm:
        this.distribution.handleConfirm(message);
        break;
      default:
        this.handleGossip(message, from);
    }
  }

  private handleGossip(message: Message, from: Endpoint): void {
    switch (message.type) {
      case MessageType.ping:
        this.membership.handlePing(message, from);
        break;
      case MessageType.pingAnswer:
        this.membership.handlePingAnswer(message, from);
        break;
      case MessageType.pingRequest:
        this.membership.handlePingRequest(message, from);
        break;
      case MessageType.join:
        this.membership.handleJoin(message, from);
        break;
      case MessageType.memberList:
        this.membership.handleMemberList(message);
        break;
      default:
        this.dependencies.environment.report(Events.frameUnexpected, { type: message.type });
    }
  }

  private handleReply(message: ReplyMessage, from: Endpoint): void {
    if (message.hosted === 1) {
      this.getOrCreateRouting(message.service)?.recordHost(message.caller, message.target, from);
    }
    this.repliesSent++;
    this.dependencies.callers.send(message.service, message.caller, message.payload);
  }

  private handleHello(message: HelloMessage, from: Endpoint): void {
    const { service, target, incarnation, stateSequence, state } = message;
    const ownNotice = { target, incarnation, stateSequence, state };
    const knownNotice = this.targetStates.get(service, target);
    for (const notice of [ownNotice, ...message.notices]) {
      if (this.applyNotice(service, notice)) {
        this.membership.queueTargetNotice({ service, ...notice });
      }
    }
    const table = this.distribution.cache.get(service);
    const isNewer = table !== undefined && table.revision > message.tableRevision;
    const otherBalancers = this.membership.sample(BALANCERS_PER_HELLO_ANSWER);
    this.link.send(from, {
      type: MessageType.helloAnswer,
      service,
      tables: isNewer ? [table] : [],
      balancers: [this.settings.endpoint, ...otherBalancers.map((member) => member.endpoint)],
      notices: knownNotice ? [knownNotice] : [],
    });
  }

  private applyNotice(service: string, notice: TargetNotice): boolean {
    const hasChanged = this.targetStates.apply(service, notice);
    if (hasChanged) {
      this.routings.get(service)?.invalidate(this.distribution.cache.get(service));
    }
    return hasChanged;
  }

  private invalidateRoutings(tables: readonly ServiceTable[]): void {
    for (const table of tables) {
      this.routings.get(table.service)?.invalidate(table);
    }
  }

  private getOrCreateRouting(service: string): FlowRouting | undefined {
    const known = this.routings.get(service);
    if (known) {
      return known;
    }
    const table = this.distribution.cache.get(service);
    if (!table) {
      return undefined;
    }
    const routing = this.createRouting(service);
    routing.invalidate(table);
    this.routings.set(service, routing);
    return routing;
  }

  private createRouting(service: string): FlowRouting {
    const factory = this.dependencies.routing;
    return factory
      ? factory(service, this.targetStates, this.cacheBudget)
      : new DirectoryRouting(service, this.targetStates, this.cacheBudget);
  }

  private distributeTable(
    table: ServiceTable,
    copies: number,
    onDone: (confirmed: number) => void,
  ): void {
    const { revision } = table;
    const delta = { fromRevision: revision, throughRevision: revision, tables: [table] };
    this.distribution.applyAndPush(delta, undefined);
    this.distribution.replicateTable(table, copies, onDone);
  }

  /** Sends a drain notice to the agents on machines that the machine list marks as leaving. */
  private notifyLeavingMachines(machines: readonly MachineRecord[]): void {
    const leavingAddresses = new Set(
      machines.filter((machine) => machine.leaving).map((machine) => machine.address),
    );
    if (leavingAddresses.size === 0) {
      return;
    }
    for (const { service, rows } of this.distribution.cache.listTables()) {
      for (const { target, address } of rows) {
        if (leavingAddresses.has(getEndpointAddress(address))) {
          this.link.send(address, { type: MessageType.drainNotice, service, target });
        }
      }
    }
  }
}

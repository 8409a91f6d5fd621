/**
 * One balancer: carries callers' datagrams to agents and replies back, spreads
 * tables and membership, and takes operators' edits. Holds nothing that cannot be
 * rebuilt. The same class runs in the real process and in the simulator.
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
  type TargetNotice,
  type TargetRumour,
} from '../wire/messages';
import type { BalancerContext, BalancerNodeSettings } from './balancer-context';
import { BalancerMembership } from './balancer-membership';
import { DirectoryRouting, type FlowRouting } from './flow-routing';
import { LearntBudget } from './learnt-hosts';
import { StoreReader } from './store-reader';
import { TableAcceptance } from './table-acceptance';
import { TableDistribution } from './table-distribution';
import { TargetStates } from './target-states';

/** Balancers named to an agent in the answer to its hello. */
const BALANCERS_PER_HELLO_ANSWER = 3;

/** Sends a datagram to a caller from a service's address. */
export interface CallerPort {
  send(service: string, caller: Endpoint, payload: Buffer): void;
}

/** Makes the routing of one service; the simulator's baselines pass their own. */
export type RoutingFactory = (
  service: string,
  states: TargetStates,
  budget: LearntBudget,
) => FlowRouting;

/** What a balancer is given by its surroundings. */
export interface BalancerDependencies {
  readonly environment: Environment;
  readonly transport: FrameTransport;
  readonly codec: FrameCodec;
  readonly callers: CallerPort;
  readonly store: StorePort;
  readonly routing?: RoutingFactory;
}

/** Figures of a balancer for metrics and status. */
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

/** The balancer node. */
export class BalancerNode {
  readonly membership: BalancerMembership;
  readonly distribution: TableDistribution;
  readonly acceptance: TableAcceptance;
  private readonly context: BalancerContext;
  private readonly link: FrameLink;
  private readonly reader: StoreReader;
  private readonly states = new TargetStates();
  private readonly learntBudget: LearntBudget;
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
    this.learntBudget = new LearntBudget(settings.learntFlows);
    this.link = new FrameLink(codec, transport, environment);
    this.context = { settings, environment, send: (to, message) => this.link.send(to, message) };
    this.distribution = new TableDistribution(this.context, {
      sample: (count) => this.membership.sample(count),
      active: () => this.membership.active(),
      changed: (tables) => this.tablesChanged(tables),
    });
    this.membership = new BalancerMembership(this.context, {
      peerHasThrough: (revision, beyond, from) =>
        this.distribution.peerHasThrough(revision, beyond, from),
      targetRumour: (rumour) => this.applyNotice(rumour.service, rumour),
      membersChanged: () => undefined,
      haveThrough: () => this.distribution.cache.revision,
      beyond: () => this.distribution.cache.aheadDigest,
      allTargetRumours: () => this.states.all(),
    });
    this.reader = new StoreReader(this.context, store, {
      activeNames: () => this.membership.active().map((member) => member.name),
      haveThrough: () => this.distribution.cache.revision,
      take: (delta) => this.distribution.take(delta, undefined),
      takeMachines: (machines) => this.noticeLeavingMachines(machines),
    });
    this.acceptance = new TableAcceptance(this.context, store, {
      distribute: (table, copies, done) => this.distribute(table, copies, done),
    });
  }

  start(): void {
    this.membership.start();
    this.reader.start();
  }

  /** Begins a planned stop: peers hear of it; forwarding goes on. */
  beginStop(): void {
    this.membership.leave();
    this.reader.stop();
  }

  stop(): void {
    this.reader.stop();
    this.membership.stop();
  }

  /** True when this balancer may carry callers' datagrams. */
  get isReady(): boolean {
    return this.membership.hasJoined && this.distribution.isCaughtUp;
  }

  /** Milliseconds since the last caller's datagram. */
  get quietFor(): number {
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
      members: this.membership.live().length + 1,
      storeReader: this.reader.isReading,
    };
  }

  /** Every known member with this balancer first. */
  members(): MemberRecord[] {
    return [this.membership.self, ...this.membership.known()];
  }

  /** Targets that do not simply serve, as far as known here. */
  leavingTargets(): TargetRumour[] {
    return this.states.all().filter((rumour) => rumour.state !== AgentState.serving);
  }

  /** Takes a caller's datagram that arrived at a service's address. */
  receiveDatagram(service: string, caller: Endpoint, payload: Buffer): void {
    this.lastDatagramAt = this.dependencies.environment.now();
    const host = this.isReady ? this.routingOf(service)?.route(caller) : undefined;
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

  /** Takes a datagram that arrived at the balancer's frame address. */
  receiveFrame(frame: Buffer, from: Endpoint): void {
    const message = this.link.receive(frame);
    if (message) {
      this.receive(message, from);
    }
  }

  private receive(message: Message, from: Endpoint): void {
    switch (message.type) {
      case MessageType.reply:
        this.receiveReply(message, from);
        break;
      case MessageType.hello:
        this.receiveHello(message, from);
        break;
      case MessageType.tableRequest:
        this.distribution.receiveRequest(message, from);
        break;
      case MessageType.tableDelta:
        this.distribution.receiveDelta(message, from);
        break;
      case MessageType.tableConfirm:
        this.distribution.receiveConfirm(message);
        break;
      default:
        this.receiveGossip(message, from);
    }
  }

  private receiveGossip(message: Message, from: Endpoint): void {
    switch (message.type) {
      case MessageType.ping:
        this.membership.receivePing(message, from);
        break;
      case MessageType.pingAnswer:
        this.membership.receivePingAnswer(message, from);
        break;
      case MessageType.pingRequest:
        this.membership.receivePingRequest(message, from);
        break;
      case MessageType.join:
        this.membership.receiveJoin(message, from);
        break;
      case MessageType.memberList:
        this.membership.receiveMemberList(message);
        break;
      default:
        this.dependencies.environment.report(Events.frameUnexpected, { type: message.type });
    }
  }

  private receiveReply(message: ReplyMessage, from: Endpoint): void {
    if (message.hosted === 1) {
      this.routingOf(message.service)?.learn(message.caller, message.target, from);
    }
    this.repliesSent++;
    this.dependencies.callers.send(message.service, message.caller, message.payload);
  }

  private receiveHello(message: HelloMessage, from: Endpoint): void {
    const { service, target, incarnation, stateSequence, state } = message;
    const own = { target, incarnation, stateSequence, state };
    const believed = this.states.get(service, target);
    for (const notice of [own, ...message.notices]) {
      if (this.applyNotice(service, notice)) {
        this.membership.spread({ service, ...notice });
      }
    }
    const table = this.distribution.cache.get(service);
    const isNewer = table !== undefined && table.revision > message.tableRevision;
    const others = this.membership.sample(BALANCERS_PER_HELLO_ANSWER);
    this.link.send(from, {
      type: MessageType.helloAnswer,
      service,
      tables: isNewer ? [table] : [],
      balancers: [this.settings.endpoint, ...others.map((member) => member.endpoint)],
      notices: believed ? [believed] : [],
    });
  }

  private applyNotice(service: string, notice: TargetNotice): boolean {
    const isNews = this.states.apply(service, notice);
    if (isNews) {
      this.routings.get(service)?.invalidate(this.distribution.cache.get(service));
    }
    return isNews;
  }

  private tablesChanged(tables: readonly ServiceTable[]): void {
    for (const table of tables) {
      this.routings.get(table.service)?.invalidate(table);
    }
  }

  private routingOf(service: string): FlowRouting | undefined {
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
      ? factory(service, this.states, this.learntBudget)
      : new DirectoryRouting(service, this.states, this.learntBudget);
  }

  private distribute(table: ServiceTable, copies: number, done: (confirmed: number) => void): void {
    const { revision } = table;
    const delta = { fromRevision: revision, throughRevision: revision, tables: [table] };
    this.distribution.take(delta, undefined);
    this.distribution.confirmCopies(table, copies, done);
  }

  /** Tells the agents on leaving machines, as the machine list has them. */
  private noticeLeavingMachines(machines: readonly MachineRecord[]): void {
    const leaving = new Set(machines.filter((one) => one.leaving).map((one) => one.address));
    if (leaving.size === 0) {
      return;
    }
    for (const { service, rows } of this.distribution.cache.listTables()) {
      for (const { target, address } of rows) {
        if (leaving.has(getEndpointAddress(address))) {
          this.link.send(address, { type: MessageType.drainNotice, service, target });
        }
      }
    }
  }
}

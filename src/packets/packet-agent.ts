/**
 * An agent of the packet interface: the only process that hands packets to its target.
 *
 * It therefore has the last word on what the target receives: it checks the service and
 * refuses new flows once its target drains. Answers go from here straight to the client.
 */
import { formatEndpoint } from '../core/endpoint';
import type { Endpoint } from '../environment';
import { Events } from '../logging/events';
import { AgentRegistration } from './agent-registration';
import type { FlowPacket } from './flow-packet';
import { FlowTracker } from './flow-tracker';
import { LoadReporter } from './load-reporter';
import { FlowBytes } from './locality/flow-bytes';
import { NodeTimers } from './node-timers';
import type {
  PacketAgentCounters,
  PacketAgentDependencies,
  PacketAgentFigures,
  PacketAgentSettings,
} from './packet-agent-contracts';
import {
  PacketMessageType,
  RefusalReason,
  SearchPhase,
  TargetState,
  type AgentRecord,
  type DeliverMessage,
  type ListingStateValue,
  type MessageToBalancer,
  type RefusalReasonValue,
  type SearchMessage,
  type SearchPhaseValue,
  type SubscribeMessage,
  type TargetStateValue,
} from './packet-messages';
import { PacketLink } from './packet-link';
import { PendingDeliveries } from './pending-deliveries';
import { AnswerRepair } from './repair/answer-repair';
import type { PlainMessage } from './repair/hop-messages';
import { HopRepair } from './repair/hop-repair';
import { SHORTEST_REPORT_INTERVAL } from './report-interval';
import { stepAfter } from './search-steps';
import { TargetPresence } from './startup/target-presence';
import { TargetAdmission } from './target-admission';
import { TargetGuard } from './target-guard';
import { TargetHealth } from './target-health';
import { TargetLifecycle, type TargetHeartbeat } from './target-lifecycle';

/** Milliseconds after a change of state at which the report is repeated, against loss. */
const REPORT_REPEATS = [15, 60] as const;
const EXPIRY_INTERVAL = 1_000;
const TOKEN_RANGE = 2 ** 32;
/** One packet agent. */
export class PacketAgent {
  readonly counters: PacketAgentCounters = {
    packetsDelivered: 0,
    packetsSent: 0,
    packetsReturned: 0,
    packetsRefused: 0,
    packetsMalformed: 0,
    requestsQueued: 0,
    heartbeats: 0,
  };
  private readonly link: PacketLink;
  private readonly hops: HopRepair;
  private readonly target: TargetLifecycle;
  private readonly tracker = new FlowTracker(() => this.target.slots);
  private readonly health = new TargetHealth();
  private readonly flowBytes = new FlowBytes();
  private readonly admission: TargetAdmission;
  private readonly reporter: LoadReporter;
  private readonly pending: PendingDeliveries;
  private readonly timers: NodeTimers;
  private readonly registration: AgentRegistration;
  private readonly guard: TargetGuard;
  private readonly answers: AnswerRepair;
  private readonly presence: TargetPresence;
  private restarting = false;
  /** The target has sent a packet of its own in this run. */
  private hasTargetSent = false;

  constructor(
    private readonly settings: PacketAgentSettings,
    private readonly dependencies: PacketAgentDependencies,
  ) {
    const { environment, codec, transport, registry } = dependencies;
    this.timers = new NodeTimers(environment);
    this.registration = new AgentRegistration(
      environment,
      registry,
      this.timers,
      () => this.record,
      () => this.isTargetHeard,
    );
    this.presence = this.createPresence();
    this.link = new PacketLink(codec, transport, environment);
    this.hops = new HopRepair({
      environment,
      link: this.link,
      isEnabled: settings.repairHops,
      // Which balancers are there, an agent does not know; acknowledgements alone tell.
      isReachable: () => true,
    });
    this.target = new TargetLifecycle(settings.service, settings.heartbeatInterval);
    const { coldLimit, zone } = settings;
    const { health, target } = this;
    this.guard = new TargetGuard({ environment, zone, coldLimit, target, health });
    this.admission = new TargetAdmission({
      target: this.target,
      tracker: this.tracker,
      latencyGoal: () => this.guard.latencyGoal,
      handOver: (packet, balancer, searchId) =>
        this.handToTarget(packet, balancer, this.pending.add(balancer, searchId)),
    });
    this.reporter = new LoadReporter({
      environment,
      zone: settings.zone,
      link: this.link,
      target: this.target,
      tracker: this.tracker,
      health: this.health,
      state: () => this.state,
      busyRequests: () => this.busyRequests,
      answerTime: (now) => this.admission.answerTimeAt(now),
      answers: (now) => this.admission.answersAt(now),
      flowBytes: () => this.flowBytes.mean,
      knowsAllFlows: () => this.target.isKnownFromStart,
    });
    this.answers = new AnswerRepair({
      environment,
      isEnabled: settings.repairAnswers,
      flowLifetime: settings.flowLifetime,
      sendToClient: (client, packet) => dependencies.sendToClient(client, packet),
    });
    this.pending = new PendingDeliveries(Math.floor(environment.random() * TOKEN_RANGE));
  }

  start(): void {
    const { environment } = this.dependencies;
    this.reporter.reportTo(this.settings.seeds);
    this.timers.repeat(SHORTEST_REPORT_INTERVAL, () => this.report());
    this.timers.repeat(EXPIRY_INTERVAL, () => {
      this.tracker.expire(this.settings.flowLifetime, environment.now());
      this.hops.expire(environment.now());
    });
    this.registration.start(this.settings.seeds.length > 0);
    if (this.settings.earlyStart) {
      this.presence.start();
    }
  }

  /** Takes other seeds, which the settings name now, and makes itself known there. */
  replaceSeeds(seeds: readonly Endpoint[]): void {
    this.reporter.reportTo(seeds);
  }

  /** Ends all timers. */
  stop(): void {
    this.registration.stop();
    this.hops.stop();
    this.answers.stop();
    this.presence.stop();
    this.timers.cancel();
  }

  /**
   * Prepares a planned end: balancers learn at once that this agent goes, and the
   * registry entry of a target that has ended is removed.
   * @param done called when nothing is left to do
   */
  beginStop(done: () => void): void {
    this.restarting = true;
    this.admission.releaseAll();
    this.announce();
    if (this.target.state === TargetState.gone) {
      this.dependencies.registry.remove(this.record, undefined, done);
    } else {
      done();
    }
  }

  get state(): TargetStateValue {
    const state = this.presence.isMissing ? TargetState.gone : this.target.state;
    return this.restarting && state !== TargetState.gone ? TargetState.agentRestarting : state;
  }

  get figures(): PacketAgentFigures {
    return {
      busyRequests: this.busyRequests,
      openFlows: this.tracker.openFlows,
      registrations: this.registration.calls,
      ...this.hops.counters,
      ...this.answers.figures,
      targetLooks: this.presence.looks,
    };
  }

  /** Requests that wait here or are under way at the target. */
  private get busyRequests(): number {
    return this.tracker.busyRequests + this.admission.waitingRequests;
  }

  /** A heartbeat of the target; its acknowledgement is up to the caller, and due at once. */
  heartbeat(heartbeat: TargetHeartbeat): void {
    this.counters.heartbeats++;
    const change = this.target.heartbeat(heartbeat, this.dependencies.environment.now());
    if (change === 'incarnation') {
      this.tracker.clear();
      this.answers.clear();
      this.health.clear();
      this.flowBytes.clear();
      this.admission.targetReplaced();
    }
    if (change !== 'none') {
      this.health.stateTold();
      this.reportTarget();
      this.announce();
    }
    this.registration.targetHeard();
  }

  /** The target says that it leaves. */
  targetLeaves(incarnation: string): void {
    if (this.target.leave(incarnation) !== 'none') {
      this.reportTarget();
      this.announce();
    }
  }

  /** A frame of another node. */
  frame(bytes: Buffer, from: Endpoint): void {
    const message = this.link.receiveFrom(from, bytes);
    const unpacked = message && this.hops.unpack(from, message);
    if (unpacked) {
      this.take(unpacked, from);
    }
  }

  private take(message: PlainMessage, from: Endpoint): void {
    switch (message.type) {
      case PacketMessageType.deliver:
        this.deliver(message, from);
        return;
      case PacketMessageType.search:
        this.search(message);
        return;
      case PacketMessageType.locate:
        this.answerLocate(message.flow, from);
        return;
      case PacketMessageType.subscribe:
        this.link.noteRepairs(from, message.frameVersion);
        this.learnNews(message, from);
        this.reporter.subscribe(from, message.interval);
        this.takeListing(message.listing);
        return;
      case PacketMessageType.distanceProbe:
        this.link.send(from, { ...message, type: PacketMessageType.distanceReply });
        return;
      default:
        this.refuseMessage(message);
    }
  }

  private refuseMessage({ type }: MessageToBalancer): void {
    this.dependencies.environment.report(Events.frameUnexpected, { type });
  }

  /** Balancers are told at once if the agent knows its target from its start, by what it learns. */
  private learnNews(message: SubscribeMessage, balancer: Endpoint): void {
    const wasKnown = this.target.isKnownFromStart;
    this.guard.learn(message, balancer);
    if (this.target.isKnownFromStart !== wasKnown) {
      this.reporter.report();
    }
  }

  /** A target that leaves takes its entry with it. */
  private takeListing(listing: ListingStateValue): void {
    if (this.target.state !== TargetState.gone) {
      this.registration.takeListing(listing);
    }
  }

  /** Tells a balancer that the target holds a flow, if it does; says nothing else. */
  private answerLocate(flow: Buffer, balancer: Endpoint): void {
    if (this.tracker.isHeldFor(flow.toString('latin1'), balancer)) {
      this.link.send(balancer, { type: PacketMessageType.held, flow });
    }
  }

  /** A datagram that the target sent or returned. */
  targetDatagram(bytes: Buffer): void {
    const { environment, format, sendToClient } = this.dependencies;
    const packet = format.decodeFromTarget(bytes);
    if (!packet) {
      this.counters.packetsMalformed++;
      environment.report(Events.packetMalformed, { length: bytes.length });
      return;
    }
    this.health.heard();
    if (packet.refused) {
      this.returnPacket(packet);
      return;
    }
    this.counters.packetsSent++;
    this.flowBytes.sent(packet);
    sendToClient(packet.client, bytes);
    this.answers.sent(packet);
    this.noteTargetSends();
    this.judgeAnswer(packet);
    const balancer = this.tracker.sent(packet, environment.now());
    if (balancer !== undefined) {
      const flow = Buffer.from(packet.flow, 'latin1');
      this.link.send(balancer, { type: PacketMessageType.held, flow });
    }
    this.admission.releaseWaiting(environment.now());
  }

  private noteTargetSends(): void {
    this.health.served();
    if (!this.hasTargetSent) {
      this.hasTargetSent = true;
      this.registration.targetHeard();
    }
  }

  private get isTargetHeard(): boolean {
    return this.hasTargetSent || this.target.state !== TargetState.unknown;
  }

  private get record(): AgentRecord {
    const { address, zone } = this.settings;
    return { address, zone, service: this.target.service };
  }

  private deliver(message: DeliverMessage, balancer: Endpoint): void {
    const packet = this.decodeFromClient(message.payload);
    if (!packet) {
      return;
    }
    this.reporter.subscribe(balancer);
    this.answers.received(packet);
    const refusal = this.refusalOf(packet, message.services);
    if (refusal !== undefined) {
      this.refuse(packet, message.searchId, balancer, refusal);
      return;
    }
    this.admit(packet, balancer, message.searchId);
  }

  private refusalOf(
    { opens }: FlowPacket,
    services: readonly string[],
  ): RefusalReasonValue | undefined {
    return this.presence.isMissing ? RefusalReason.noTarget : this.guard.refusalOf(opens, services);
  }

  /** An agent without a target is none: it takes itself out, and is back with the target. */
  private createPresence(): TargetPresence {
    const { environment, targetProbe } = this.dependencies;
    return new TargetPresence({
      environment,
      probe: targetProbe,
      heartbeatInterval: this.settings.heartbeatInterval,
      isTargetHeard: () => this.isTargetHeard,
      missed: () => {
        this.registration.withdraw();
        this.announce();
      },
    });
  }

  /** Takes the packet of a search if this agent's target holds its flow, or passes it on. */
  private search(message: SearchMessage): void {
    const { balancer, searchId } = message;
    const packet = this.decodeFromClient(message.payload);
    if (!packet) {
      return;
    }
    this.link.noteCompact(balancer);
    this.answers.received(packet);
    const isRefused = this.refusalOf(packet, message.services) !== undefined;
    if (isRefused || packet.opens) {
      this.passOn(message);
    } else if (this.isHolderFor(packet, balancer)) {
      const flow = Buffer.from(packet.flow, 'latin1');
      this.link.send(balancer, { type: PacketMessageType.held, flow });
      this.admit(packet, balancer, searchId);
    } else if (this.mustOffer(message.phase, packet)) {
      this.handToTarget(packet, balancer, this.pending.add(balancer, searchId, message));
    } else {
      this.passOn(message);
    }
  }

  /** Whether the target holds a packet's flow, or will as soon as it has this packet. */
  private isHolderFor(packet: FlowPacket, balancer: Endpoint): boolean {
    const { earlyStart } = this.settings;
    const isHeld = this.tracker.isHeldFor(packet.flow, balancer);
    return isHeld || (earlyStart && this.tracker.isOpenedBy(packet, balancer));
  }

  /** Whether only the target itself can tell if it holds a searched packet's flow. */
  private mustOffer(phase: SearchPhaseValue, { flow }: FlowPacket): boolean {
    switch (phase) {
      case SearchPhase.ask:
      case SearchPhase.askOnly:
        return false;
      case SearchPhase.offer:
        return true;
      case SearchPhase.sure:
        return !this.target.isKnownFromStart || this.tracker.hasSeen(flow);
    }
  }

  /** Hands a search to the next agent, or its outcome to the balancer. */
  private passOn(message: SearchMessage): void {
    const step = stepAfter(message);
    switch (step.kind) {
      case 'next':
        this.link.send(step.agent, step.message);
        return;
      case 'over':
        this.link.send(step.balancer, step.message);
    }
  }

  private decodeFromClient(bytes: Buffer): FlowPacket | undefined {
    const packet = this.dependencies.format.decodeFromClient(bytes);
    if (!packet) {
      this.counters.packetsMalformed++;
      this.dependencies.environment.report(Events.packetMalformed, { length: bytes.length });
    }
    return packet;
  }

  private admit(packet: FlowPacket, balancer: Endpoint, searchId: number): void {
    const now = this.dependencies.environment.now();
    if (this.admission.admit(packet, balancer, searchId, now)) {
      this.counters.requestsQueued++;
    }
  }

  private handToTarget(packet: FlowPacket, balancer: Endpoint, token: number): void {
    const { environment, format, sendToTarget } = this.dependencies;
    this.counters.packetsDelivered++;
    this.flowBytes.delivered(packet);
    this.tracker.delivered(packet, balancer, environment.now());
    if (packet.opens) {
      this.guard.openingDelivered();
    }
    this.reportRequest(packet, balancer);
    format.writeToken(packet.bytes, token);
    sendToTarget(packet.bytes);
  }

  private reportRequest(packet: FlowPacket, balancer: Endpoint): void {
    const request = this.dependencies.format.requestId(packet);
    if (request !== undefined) {
      this.dependencies.environment.report(Events.requestDelivered, {
        request,
        client: formatEndpoint(packet.client),
        destination: formatEndpoint(packet.destination),
        balancer: formatEndpoint(balancer),
        state: this.state,
        busy: this.busyRequests,
        working: this.tracker.workingRequests,
        waiting: this.admission.waitingRequests,
      });
    }
  }

  /** Notes how a request ended when the target's packet begins its answer or breaks it off. */
  private judgeAnswer(packet: FlowPacket): void {
    const { environment, format } = this.dependencies;
    const endsRequest = packet.payloadLength > 0 || packet.resets;
    if (endsRequest && this.tracker.awaitsAnswer(packet.flow)) {
      const now = environment.now();
      const succeeded = !packet.resets && !format.isFailure(packet);
      this.health.requestEnded(succeeded, now);
      const workTime = this.tracker.workTime(packet.flow, now);
      if (succeeded && workTime !== undefined) {
        this.admission.answered(workTime, now);
      }
      this.reporter.reportIfWorse();
    }
  }

  /** Tells the balancers of the target's load and health, and looks at the clock for both. */
  private report(): void {
    const now = this.dependencies.environment.now();
    const wasDown = this.health.isDown(now);
    this.health.tick();
    for (let left = this.tracker.giveUpRequests(now); left > 0; left--) {
      this.health.requestGivenUp(now);
    }
    if (this.health.isDown(now) && !wasDown) {
      this.reportTarget();
      this.refuseWaiting();
    }
    this.admission.expire(now);
    this.admission.releaseWaiting(now);
    this.reporter.reportIfWorse();
    this.reporter.reportWhereDue();
  }

  private returnPacket(packet: FlowPacket): void {
    const { format } = this.dependencies;
    this.counters.packetsReturned++;
    this.tracker.returned(packet);
    this.answers.drop(packet.flow);
    this.admission.returned(packet);
    if (packet.opens) {
      this.health.openingReturned(this.dependencies.environment.now());
    }
    this.admission.releaseWaiting(this.dependencies.environment.now());
    const delivery = this.pending.take(format.readToken(packet.bytes));
    if (!delivery) {
      return;
    }
    format.restoreClientForm(packet.bytes);
    const { searchId, balancer, search } = delivery;
    if (search) {
      this.counters.packetsRefused++;
      this.passOn({ ...search, payload: packet.bytes });
    } else {
      this.refuse(packet, searchId, balancer, RefusalReason.returnedByTarget);
    }
  }

  /** The target is down: clients whose requests wait for it are told now. */
  private refuseWaiting(): void {
    for (const { packet, searchId, balancer } of this.admission.takeAll()) {
      this.refuse(packet, searchId, balancer, RefusalReason.targetDown);
    }
  }

  private refuse(
    packet: FlowPacket,
    searchId: number,
    balancer: Endpoint,
    reason: RefusalReasonValue,
  ): void {
    this.counters.packetsRefused++;
    this.dependencies.environment.report(Events.packetRefused, {
      client: formatEndpoint(packet.client),
      destination: formatEndpoint(packet.destination),
      opens: packet.opens,
      reason,
      state: this.state,
      busy: this.tracker.busyRequests,
    });
    const { bytes: payload } = packet;
    const message = { type: PacketMessageType.notHeld, searchId, reason, payload };
    this.hops.send(balancer, message, packet);
  }

  /** Tells every balancer of a change at once, and again shortly after. */
  private announce(): void {
    this.reporter.report();
    REPORT_REPEATS.forEach((delay) => this.timers.once(delay, () => this.reporter.report()));
  }

  private reportTarget(): void {
    this.dependencies.environment.report(Events.targetStateChanged, {
      incarnation: this.target.incarnation,
      service: this.target.service,
      state: this.target.state,
      slots: this.target.slots,
      openFlows: this.tracker.openFlows,
      isDown: this.health.isDown(this.dependencies.environment.now()),
    });
  }
}

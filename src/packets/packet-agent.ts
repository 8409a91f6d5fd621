/**
 * An agent of the packet interface: the only process that hands packets to its target.
 *
 * It therefore has the last word on what the target receives: it checks the service and
 * refuses new flows once its target drains. Answers go from here straight to the client.
 */
import type { Endpoint } from '../environment';
import { Events } from '../logging/events';
import { AgentRegistration } from './agent-registration';
import { ClientPacketHandler } from './client-packet-handler';
import type { FlowPacket } from './flow-packet';
import { FlowTracker } from './flow-tracker';
import { LoadReporter } from './load-reporter';
import { MeanFlowBytes } from './locality/mean-flow-bytes';
import { NodeTimers } from './node-timers';
import type {
  PacketAgentCounters,
  PacketAgentDependencies,
  PacketAgentFigures,
  PacketAgentSettings,
} from './packet-agent-contracts';
import {
  FlowKnowledge,
  PacketMessageType,
  TargetState,
  type FlowKnowledgeValue,
  type AgentRecord,
  type ListingStateValue,
  type MessageToBalancer,
  type RouteTermsMessage,
  type SubscribeMessage,
  type TargetStateValue,
} from './packet-messages';
import { PacketLink } from './packet-link';
import { AnswerRepair } from './repair/answer-repair';
import type { PlainMessage } from './repair/hop-messages';
import { HopRepair } from './repair/hop-repair';
import { MINIMUM_REPORT_INTERVAL_MS } from './report-interval';
import { TargetPresence } from './startup/target-presence';
import { TargetAdmission } from './target-admission';
import { TargetLiveness } from './target-liveness';
import { TargetGuard } from './target-guard';
import { TargetHealth } from './target-health';
import { TargetLifecycle, type TargetHeartbeat } from './target-lifecycle';
import { RouteTermsCache } from './terms/route-terms-cache';

/** Milliseconds after a change of state at which the report is repeated, against loss. */
const REPORT_REPEAT_DELAYS_MS = [15, 60] as const;
const EXPIRY_INTERVAL_MS = 1_000;
/** One packet agent. */
export class PacketAgent {
  readonly counters: PacketAgentCounters = {
    packetsDelivered: 0,
    packetsSent: 0,
    packetsReturned: 0,
    packetsRefused: 0,
    packetsMalformed: 0,
    requestsQueued: 0,
    requestsGivenUp: 0,
    heartbeats: 0,
    heartbeatsRefused: 0,
  };
  private readonly link: PacketLink;
  private readonly hops: HopRepair;
  private readonly target: TargetLifecycle;
  private readonly tracker = new FlowTracker(() => this.target.slots);
  private readonly health = new TargetHealth();
  private readonly flowBytes = new MeanFlowBytes();
  private readonly admission: TargetAdmission;
  private readonly intake: ClientPacketHandler;
  private readonly reporter: LoadReporter;
  private readonly timers: NodeTimers;
  private readonly registration: AgentRegistration;
  private readonly guard: TargetGuard;
  private readonly answers: AnswerRepair;
  private readonly presence: TargetPresence;
  private readonly terms = new RouteTermsCache();
  private readonly liveness: TargetLiveness;
  private isRestarting = false;
  /** The target has sent a packet of its own in this run. */
  private hasTargetSent = false;
  /** The earliest era of the store that this run has heard of; 0 before any. */
  private firstStoreEra = 0;
  private seeds: readonly Endpoint[];

  constructor(
    private readonly settings: PacketAgentSettings,
    private readonly dependencies: PacketAgentDependencies,
  ) {
    const { environment, codec, transport, registry } = dependencies;
    this.seeds = settings.seeds;
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
    this.target = new TargetLifecycle(
      settings.service,
      settings.heartbeatInterval,
      dependencies.startedAt,
    );
    const { coldLimit, zone } = settings;
    const { health, target } = this;
    this.liveness = new TargetLiveness(dependencies.targetProbe, () => this.handleTargetDeath());
    const { liveness: death } = this;
    this.guard = new TargetGuard({ environment, zone, coldLimit, target, health, liveness: death });
    this.admission = this.createAdmission();
    this.reporter = new LoadReporter({
      environment,
      zone: settings.zone,
      link: this.link,
      target: this.target,
      tracker: this.tracker,
      health: this.health,
      getState: () => this.state,
      countBusyRequests: () => this.busyRequests,
      computeAnswerTime: (now) => this.admission.computeAnswerTime(now),
      countRecentAnswers: (now) => this.admission.countRecentAnswers(now),
      getFlowBytes: () => this.flowBytes.mean,
      getFlowKnowledge: () => this.flowKnowledge,
    });
    this.answers = new AnswerRepair({
      environment,
      isEnabled: settings.repairAnswers,
      flowLifetime: settings.flowLifetime,
      sendToClient: (client, packet) => dependencies.sendToClient(client, packet),
    });
    this.intake = this.createIntake();
  }

  start(): void {
    const { environment } = this.dependencies;
    this.reporter.reportTo(this.seeds);
    this.timers.scheduleRepeating(MINIMUM_REPORT_INTERVAL_MS, () => this.runPeriodicChecks());
    this.timers.scheduleRepeating(EXPIRY_INTERVAL_MS, () => {
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
    this.seeds = seeds;
    this.reporter.reportTo(seeds);
  }

  /** Ends all timers. */
  stop(): void {
    this.registration.stop();
    this.hops.stop();
    this.answers.stop();
    this.guard.stop();
    this.presence.stop();
    this.timers.cancelAll();
  }

  /**
   * Prepares a planned end: balancers learn at once that this agent goes, and the
   * registry entry of a target that has ended, or of none, is removed.
   * @param done called when nothing is left to do
   */
  beginStop(done: () => void): void {
    this.isRestarting = true;
    this.admission.releaseAll();
    this.announceState();
    if (this.settings.earlyStart) {
      this.presence.probeBeforeStop(() => this.endStop(done));
    } else {
      this.endStop(done);
    }
  }

  private endStop(done: () => void): void {
    if (this.state === TargetState.gone) {
      this.dependencies.registry.remove(this.record, undefined, done);
    } else {
      done();
    }
  }

  get state(): TargetStateValue {
    const state = this.presence.isMissing ? TargetState.gone : this.target.state;
    return this.isRestarting && state !== TargetState.gone ? TargetState.agentRestarting : state;
  }

  get figures(): PacketAgentFigures {
    return {
      busyRequests: this.busyRequests,
      openFlows: this.tracker.openFlows,
      registrations: this.registration.callCount,
      ...this.hops.counters,
      ...this.answers.figures,
      targetLooks: this.presence.looks,
    };
  }

  /** Requests that wait here or are under way at the target. */
  private get busyRequests(): number {
    return this.tracker.busyRequests + this.admission.waitingRequests;
  }

  /**
   * A heartbeat of the target; its acknowledgement is up to the caller, and due at once.
   * @returns false for one of a service that there is not: another program wrote it
   */
  heartbeat(heartbeat: TargetHeartbeat): boolean {
    const { service } = heartbeat;
    if (service !== this.settings.service && !this.guard.mayServiceExist(service)) {
      return false;
    }
    this.applyHeartbeat(heartbeat);
    return true;
  }

  /** A heartbeat was not of the target, or of no form that is known. */
  heartbeatRefused(): void {
    const refused = ++this.counters.heartbeatsRefused;
    this.dependencies.environment.report(Events.heartbeatRefused, { refused });
  }

  private applyHeartbeat(heartbeat: TargetHeartbeat): void {
    this.counters.heartbeats++;
    this.liveness.recordActivity();
    const wasMissing = this.presence.isMissing;
    const change = this.target.applyHeartbeat(heartbeat, this.dependencies.environment.now());
    if (change === 'incarnation') {
      this.tracker.handleTargetReplaced();
      this.answers.clear();
      this.health.clear();
      this.flowBytes.clear();
      this.admission.handleTargetReplaced();
    }
    if (change !== 'none') {
      this.health.recordStateChange();
      this.logTargetState();
      this.announceState();
    }
    if (wasMissing && !this.presence.isMissing) {
      // Balancers forget an agent without a target, and the store may be out of reach.
      this.reporter.reportTo(this.seeds);
    }
    this.registration.handleTargetHeard();
  }

  /**
   * The target says that it leaves.
   * @param born as in its heartbeats
   */
  targetLeaves(incarnation: string, born: number | undefined): void {
    if (this.target.applyLeave({ incarnation, born }) !== 'none') {
      this.logTargetState();
      this.announceState();
    }
  }

  /** A frame of another node. */
  handleFrame(bytes: Buffer, from: Endpoint): void {
    const message = this.link.receiveFrom(from, bytes);
    const unpacked = message && this.hops.receive(from, message);
    if (unpacked) {
      this.handleMessage(unpacked, from);
    }
  }

  private handleMessage(message: PlainMessage, from: Endpoint): void {
    switch (message.type) {
      case PacketMessageType.deliver:
        this.intake.handleDelivery(message, from);
        return;
      case PacketMessageType.search:
        this.intake.handleSearch(message);
        return;
      case PacketMessageType.locate:
        this.intake.confirmIfHeld(message.flow, from);
        return;
      case PacketMessageType.subscribe:
        this.link.recordHopRepair(from, message.frameVersion);
        this.learnDeploymentState(message, from);
        this.sendFirstStoreEra(message, from);
        this.reporter.subscribe(from, message.interval);
        this.applyListingState(message.listing);
        return;
      case PacketMessageType.distanceProbe:
        this.link.send(from, { ...message, type: PacketMessageType.distanceReply });
        return;
      case PacketMessageType.routeTerms:
        this.learnRouteTerms(message);
        return;
      default:
        this.reportUnexpectedMessage(message);
    }
  }

  /** Without the setting all requests are served alike, as of routes of which nothing is known. */
  private learnRouteTerms(message: RouteTermsMessage): void {
    if (this.settings.priorityQueue) {
      this.terms.learn(message);
    }
  }

  private reportUnexpectedMessage({ type }: MessageToBalancer): void {
    this.dependencies.environment.report(Events.frameUnexpected, { type });
  }

  /** Balancers are told at once if the agent knows its target from its start, by what it learns. */
  private learnDeploymentState(message: SubscribeMessage, balancer: Endpoint): void {
    const wasKnown = this.target.isKnownFromStart;
    this.guard.learn(message, balancer);
    if (this.target.isKnownFromStart !== wasKnown) {
      this.reporter.reportToAll();
    }
  }

  /** A balancer that starts learns whether the store has come back from a copy in this run's time. */
  private sendFirstStoreEra({ asksEra, storeEra }: SubscribeMessage, balancer: Endpoint): void {
    this.firstStoreEra = this.firstStoreEra === 0 ? storeEra : this.firstStoreEra;
    if (asksEra === 1 && this.firstStoreEra < storeEra) {
      this.link.send(balancer, { type: PacketMessageType.eraSeen, era: this.firstStoreEra });
    }
  }

  /** A target that leaves takes its entry with it. */
  private applyListingState(listing: ListingStateValue): void {
    if (this.target.state !== TargetState.gone) {
      this.registration.applyListingState(listing);
    }
  }

  /** A datagram that the target sent or returned. */
  handleTargetDatagram(bytes: Buffer): void {
    const { environment, format, sendToClient } = this.dependencies;
    const packet = format.decodeFromTarget(bytes);
    if (!packet) {
      this.counters.packetsMalformed++;
      environment.report(Events.packetMalformed, { length: bytes.length });
      return;
    }
    this.health.recordActivity();
    this.liveness.recordActivity();
    if (packet.refused) {
      this.intake.handleReturned(packet);
      return;
    }
    this.counters.packetsSent++;
    this.flowBytes.addTargetPacket(packet);
    sendToClient(packet.client, bytes);
    this.answers.recordSent(packet);
    this.recordTargetPacket();
    this.recordRequestOutcome(packet);
    const balancer = this.tracker.recordSentPacket(packet, environment.now());
    if (balancer !== undefined) {
      const flow = Buffer.from(packet.flow, 'latin1');
      this.link.send(balancer, { type: PacketMessageType.held, flow });
    }
    this.admission.releaseWaiting(environment.now());
  }

  private recordTargetPacket(): void {
    this.health.recordSentPacket();
    if (!this.hasTargetSent) {
      this.hasTargetSent = true;
      this.registration.handleTargetHeard();
    }
  }

  private get flowKnowledge(): FlowKnowledgeValue {
    if (this.presence.isMissing) {
      return FlowKnowledge.noTarget;
    }
    return this.target.isKnownFromStart ? FlowKnowledge.complete : FlowKnowledge.partial;
  }

  private get isTargetHeard(): boolean {
    return this.hasTargetSent || this.target.state !== TargetState.unknown;
  }

  private get record(): AgentRecord {
    const { address, zone } = this.settings;
    return { address, zone, service: this.target.service };
  }

  /** Whether there is nobody to hand a packet to; where nobody was heard yet, it is looked for. */
  private isTargetAbsent(): boolean {
    if (this.settings.earlyStart) {
      this.presence.probeForPacket();
    }
    return this.presence.isAbsent;
  }

  private createAdmission(): TargetAdmission {
    return new TargetAdmission({
      target: this.target,
      tracker: this.tracker,
      lowerShare: this.settings.lowerPriorityShare,
      getTerms: (destination) => this.terms.getTerms(destination),
      getLatencyGoal: () => this.guard.latencyGoal,
      handOver: (packet, balancer, searchId) =>
        this.intake.deliverAdmitted(packet, balancer, searchId),
    });
  }

  private createIntake(): ClientPacketHandler {
    const { settings, dependencies, admission, answers, counters, flowBytes } = this;
    const { guard, health, hops, link, target, tracker } = this;
    return new ClientPacketHandler({
      environment: dependencies.environment,
      format: dependencies.format,
      recognizesHandshakes: settings.earlyStart,
      admission,
      answers,
      counters,
      flowBytes,
      guard,
      health,
      hops,
      link,
      target,
      tracker,
      isTargetMissing: () => this.isTargetAbsent(),
      state: () => this.state,
      recordLoad: () => this.reporter.reportIfLoadSpiked(),
      recordBalancer: (balancer) => this.reporter.subscribe(balancer),
      sendToTarget: (packet) => dependencies.sendToTarget(packet),
    });
  }

  /** An agent without a target is none: it takes itself out, and is back with the target. */
  private createPresence(): TargetPresence {
    const { environment, targetProbe } = this.dependencies;
    return new TargetPresence({
      environment,
      probe: targetProbe,
      heartbeatInterval: this.settings.heartbeatInterval,
      isTargetHeard: () => this.isTargetHeard,
      onMissing: () => {
        this.registration.withdraw();
        this.announceState();
      },
    });
  }

  /** Notes how a request ended when the target's packet begins its answer or breaks it off. */
  private recordRequestOutcome(packet: FlowPacket): void {
    const { environment, format } = this.dependencies;
    const endsRequest = packet.payloadLength > 0 || packet.resets;
    if (endsRequest && this.tracker.awaitsAnswer(packet.flow)) {
      const now = environment.now();
      const succeeded = !packet.resets && !format.isFailure(packet);
      this.health.recordOutcome(succeeded, now);
      const workTime = this.tracker.getServiceTime(packet.flow, now);
      if (succeeded && workTime !== undefined) {
        this.admission.recordAnswer(workTime, now);
      }
      this.reporter.reportIfWorse();
    }
  }

  /** Tells the balancers of the target's load and health, and looks at the clock for both. */
  private runPeriodicChecks(): void {
    const now = this.dependencies.environment.now();
    const wasDown = this.health.isDown(now);
    this.health.recordTick();
    for (let left = this.tracker.timeOutRequests(now); left > 0; left--) {
      this.health.recordTimeout(now);
    }
    const isDown = this.health.isDown(now);
    if (isDown && !wasDown) {
      this.logTargetState();
    }
    this.liveness.probeIfSilent(isDown, now);
    this.dropAbandonedRequests(now);
    this.admission.releaseWaiting(now);
    this.reporter.reportIfWorse();
    this.reporter.sendDueReports();
  }

  /** Nobody awaits the answers of these any more. */
  private dropAbandonedRequests(now: number): void {
    const dropped = this.admission.expire(now);
    if (dropped.length === 0) {
      return;
    }
    this.counters.requestsGivenUp += dropped.length;
    const longest = Math.min(...dropped.map(({ since }) => since));
    this.dependencies.environment.report(Events.requestsGivenUp, {
      dropped: dropped.length,
      waiting: this.admission.waitingRequests,
      longestWait: Math.round(now - longest),
    });
  }

  /** Clients of its flows are told now, those whose requests wait here among them. */
  private handleTargetDeath(): void {
    this.logTargetState();
    this.intake.refuseQueued();
  }

  /** Tells every balancer of a change at once, and again shortly after. */
  private announceState(): void {
    this.reporter.reportToAll();
    REPORT_REPEAT_DELAYS_MS.forEach((delay) =>
      this.timers.scheduleOnce(delay, () => this.reporter.reportToAll()),
    );
  }

  private logTargetState(): void {
    this.dependencies.environment.report(Events.targetStateChanged, {
      incarnation: this.target.incarnation,
      born: this.target.born,
      service: this.target.service,
      state: this.target.state,
      slots: this.target.slots,
      openFlows: this.tracker.openFlows,
      knowsAllFlows: this.target.isKnownFromStart,
      isDown: this.health.isDown(this.dependencies.environment.now()),
      isDead: this.liveness.isDead,
    });
  }
}

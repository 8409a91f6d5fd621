/**
 * Agent of the packet interface: the only process that forwards packets to its target.
 *
 * It therefore makes the final decision on what the target receives: it checks the service and
 * refuses new flows while the target drains. Answers go from the agent directly to the client.
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
  DEREGISTRATION_VERSION,
  FlowKnowledge,
  PacketMessageType,
  TargetState,
  type FlowKnowledgeValue,
  type AgentRecord,
  type MessageToBalancer,
  type RouteTermsMessage,
  type SubscribeMessage,
  type TargetStateValue,
} from './packet-messages';
import { PacketLink } from './packet-link';
import { RecentDestinations } from './recent-destinations';
import { AnswerRepair } from './repair/answer-repair';
import type { PlainMessage } from './repair/hop-messages';
import { HopRepair } from './repair/hop-repair';
import { MINIMUM_REPORT_INTERVAL_MS } from './report-interval';
import { SubscriberSearch } from './subscriber-search';
import { TargetPresence } from './startup/target-presence';
import { TargetAdmission } from './target-admission';
import { TargetDeregistration } from './target-deregistration';
import { TargetLiveness } from './target-liveness';
import { TargetGuard } from './target-guard';
import { TargetHealth } from './target-health';
import { TargetLifecycle, type TargetHeartbeat } from './target-lifecycle';
import { RouteTermsCache } from './terms/route-terms-cache';

/** Delays after a state change at which the report is repeated, in case it was lost. */
const REPORT_REPEAT_DELAYS_MS = [15, 60] as const;
const EXPIRY_INTERVAL_MS = 1_000;
/** Packet agent of one target. */
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
  private readonly destinations: RecentDestinations;
  private readonly admission: TargetAdmission;
  private readonly packetHandler: ClientPacketHandler;
  private readonly reporter: LoadReporter;
  private readonly timers: NodeTimers;
  private readonly registration: AgentRegistration;
  private readonly guard: TargetGuard;
  private readonly answers: AnswerRepair;
  private readonly presence: TargetPresence;
  private readonly terms = new RouteTermsCache();
  private readonly liveness: TargetLiveness;
  private readonly deregistration: TargetDeregistration;
  private isRestarting = false;
  /** Whether the target has sent a packet in this incarnation of the agent, other than rejections. */
  private hasTargetSent = false;
  /** First store era that a balancer has announced to this agent process; 0 before any. */
  private firstStoreEra = 0;
  private seeds: readonly Endpoint[];

  constructor(
    private readonly settings: PacketAgentSettings,
    private readonly dependencies: PacketAgentDependencies,
  ) {
    const { environment, codec, transport } = dependencies;
    this.seeds = settings.seeds;
    this.destinations = new RecentDestinations(settings.flowLifetime);
    this.timers = new NodeTimers(environment);
    this.registration = this.createRegistration();
    this.presence = this.createPresence();
    this.link = new PacketLink(codec, transport, environment);
    this.hops = new HopRepair({
      environment,
      link: this.link,
      isEnabled: settings.repairHops,
      // An agent has no list of running balancers; only acknowledgements show one is reachable.
      isReachable: () => true,
    });
    this.target = new TargetLifecycle(
      settings.service,
      settings.heartbeatInterval,
      dependencies.startedAt,
      dependencies.born,
    );
    this.deregistration = this.createDeregistration();
    const { coldLimit, zone } = settings;
    const { health, target } = this;
    this.liveness = new TargetLiveness(dependencies.targetProbe, () => this.handleTargetDeath());
    const { liveness } = this;
    this.guard = new TargetGuard({ environment, zone, coldLimit, target, health, liveness });
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
    this.packetHandler = this.createPacketHandler();
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
    this.createSubscriberSearch().start();
    if (this.settings.earlyStart) {
      this.presence.start();
    }
  }

  /** Replaces the seed balancers after a change of settings and reports to the new ones. */
  replaceSeeds(seeds: readonly Endpoint[]): void {
    this.seeds = seeds;
    this.reporter.reportTo(seeds);
  }

  /** Cancels all timers. */
  stop(): void {
    this.registration.stop();
    this.hops.stop();
    this.answers.stop();
    this.guard.stop();
    this.presence.stop();
    this.timers.cancelAll();
  }

  /**
   * Prepares a planned shutdown: notifies balancers at once, and removes the registry entry if the
   * target has ended or there is none. A target that has only deregistered keeps its entry, since
   * searches for the holders of its flows need it.
   * @param done called when the process may exit
   */
  beginStop(done: () => void): void {
    this.isRestarting = true;
    this.admission.releaseAll();
    this.announceState();
    this.probeBeforeStop(() => this.endStop(done));
  }

  private probeBeforeStop(done: () => void): void {
    if (this.hasTargetDeregistered) {
      this.liveness.probe(done);
    } else if (this.settings.earlyStart) {
      this.presence.probeBeforeStop(done);
    } else {
      done();
    }
  }

  private endStop(done: () => void): void {
    if (this.hasTargetEnded) {
      this.registration.removeBeforeStop(done);
    } else {
      done();
    }
  }

  get state(): TargetStateValue {
    if (this.hasTargetEnded) {
      return TargetState.gone;
    }
    return this.isRestarting ? TargetState.agentRestarting : this.target.state;
  }

  /** Whether the target has announced its shutdown; it may still serve its open flows. */
  private get hasTargetDeregistered(): boolean {
    return this.target.state === TargetState.gone;
  }

  /** Whether nothing listens at the target's address and no target is expected there. */
  private get hasTargetEnded(): boolean {
    return this.presence.isMissing || (this.hasTargetDeregistered && this.liveness.isDead);
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

  /** Requests queued here or in flight at the target. */
  private get busyRequests(): number {
    return this.tracker.busyRequests + this.admission.waitingRequests;
  }

  /**
   * Handles a heartbeat of the target; the caller must acknowledge it immediately.
   * @returns false if its service does not exist: another program sent it
   */
  handleHeartbeat(heartbeat: TargetHeartbeat): boolean {
    const { service } = heartbeat;
    if (service !== this.settings.service && !this.guard.mayServiceExist(service)) {
      return false;
    }
    this.applyHeartbeat(heartbeat);
    return true;
  }

  /** Counts a heartbeat that is malformed or not from the target. */
  recordRefusedHeartbeat(): void {
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
      this.registration.updateDeregistration();
    }
    if (wasMissing && !this.presence.isMissing) {
      // Balancers drop agents without a target, and the store may be unreachable.
      this.reporter.reportTo(this.seeds);
    }
    this.registration.handleTargetHeard();
  }

  /**
   * Handles the target's announcement that it shuts down.
   * @param born as in its heartbeats
   * @param acknowledge called once the registry has recorded it, or after a limited time
   */
  handleTargetLeaving(
    incarnation: string,
    born: number | undefined,
    acknowledge: () => void,
  ): void {
    this.deregistration.handleAnnouncement({ incarnation, born }, acknowledge);
  }

  /** Handles a frame from another node. */
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
        this.packetHandler.handleDelivery(message, from);
        return;
      case PacketMessageType.search:
        this.packetHandler.handleSearch(message);
        return;
      case PacketMessageType.locate:
        this.packetHandler.confirmIfHeld(message.flow, from);
        return;
      case PacketMessageType.subscribe:
        this.link.recordHopRepair(from, message.frameVersion);
        this.learnDeploymentState(message, from);
        this.sendFirstStoreEra(message, from);
        this.sendDestinations(message, from);
        this.reporter.subscribe(from, message.interval);
        this.applyListing(message);
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

  /** Without the setting the terms of all routes stay unknown, so requests have equal priority. */
  private learnRouteTerms(message: RouteTermsMessage): void {
    if (this.settings.priorityQueue) {
      this.terms.apply(message);
    }
  }

  private reportUnexpectedMessage({ type }: MessageToBalancer): void {
    this.dependencies.environment.report(Events.frameUnexpected, { type });
  }

  /** Reports at once if the agent now knows its target from its start, or no longer does. */
  private learnDeploymentState(message: SubscribeMessage, balancer: Endpoint): void {
    const wasKnown = this.target.isKnownFromStart;
    this.guard.learn(message, balancer);
    if (this.target.isKnownFromStart !== wasKnown) {
      this.reporter.reportToAll();
    }
  }

  /** Tells a starting balancer whether the store was restored from a backup since this agent started. */
  private sendFirstStoreEra({ asksEra, storeEra }: SubscribeMessage, balancer: Endpoint): void {
    this.firstStoreEra = this.firstStoreEra === 0 ? storeEra : this.firstStoreEra;
    if (asksEra === 1 && this.firstStoreEra < storeEra) {
      this.link.send(balancer, { type: PacketMessageType.eraSeen, era: this.firstStoreEra });
    }
  }

  /** Tells a starting balancer the destinations of flows that their routes may not lead here any more. */
  private sendDestinations({ asksDestinations }: SubscribeMessage, balancer: Endpoint): void {
    if (asksDestinations !== 1) {
      return;
    }
    const { destinations, isTruncated } = this.destinations.list(
      this.dependencies.environment.now(),
    );
    const complete = this.hasSeenAllDestinations && !isTruncated ? 1 : 0;
    const type = PacketMessageType.flowDestinations;
    this.link.send(balancer, { type, complete, destinations });
  }

  /** Whether any open flow of the target must have sent a packet through this agent process. */
  private get hasSeenAllDestinations(): boolean {
    const { environment, startedAt } = this.dependencies;
    const runTime = environment.now() - startedAt;
    return runTime >= this.settings.flowLifetime || this.flowKnowledge !== FlowKnowledge.partial;
  }

  /** The registry entry of a target that has ended is not renewed. */
  private applyListing({ listing, deregistered, frameVersion }: SubscribeMessage): void {
    if (!this.hasTargetEnded) {
      const reportsDeregistration = frameVersion >= DEREGISTRATION_VERSION;
      this.registration.applyListing({ listing, deregistered, reportsDeregistration });
    }
  }

  /** Handles a datagram that the target sent or rejected. */
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
      this.packetHandler.handleReturned(packet);
      return;
    }
    this.counters.packetsSent++;
    this.flowBytes.addTargetPacket(packet);
    this.destinations.record(packet.destination, environment.now());
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
    if (this.hasTargetEnded) {
      return FlowKnowledge.noTarget;
    }
    return this.target.isKnownFromStart ? FlowKnowledge.complete : FlowKnowledge.partial;
  }

  private get isTargetHeard(): boolean {
    return this.hasTargetSent || this.target.state !== TargetState.unknown;
  }

  private get record(): AgentRecord {
    const { address, zone } = this.settings;
    const record = { address, zone, service: this.target.service };
    const deregistered = this.deregistration.recorded;
    return deregistered === undefined ? record : { ...record, deregistered };
  }

  /** Whether there is no target to forward to; probes for one that has sent nothing yet. */
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
      deliver: (packet, balancer, searchId) =>
        this.packetHandler.deliverAdmitted(packet, balancer, searchId),
    });
  }

  private createPacketHandler(): ClientPacketHandler {
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

  private createRegistration(): AgentRegistration {
    const { environment, registry } = this.dependencies;
    return new AgentRegistration({
      environment,
      registry,
      timers: this.timers,
      getRecord: () => this.record,
      isTargetPresent: () => this.isTargetHeard && !this.hasTargetEnded,
      onDeregistrationFound: (incarnation) => this.deregistration.apply(incarnation),
      onDeregistrationStored: () => this.deregistration.handleRecorded(),
    });
  }

  private createDeregistration(): TargetDeregistration {
    return new TargetDeregistration({
      target: this.target,
      timers: this.timers,
      onChanged: () => {
        this.logTargetState();
        this.announceState();
      },
      updateEntry: () => this.registration.updateDeregistration(),
    });
  }

  private createSubscriberSearch(): SubscriberSearch {
    return new SubscriberSearch({
      timers: this.timers,
      now: () => this.dependencies.environment.now(),
      hasSubscribers: () => this.reporter.hasSubscribers,
      report: () => {
        this.reporter.reportTo(this.seeds);
        this.reporter.reportToFormerSubscribers();
      },
      register: () => this.registration.registerAgain(),
    });
  }

  /** An agent without a target withdraws from the registry until a target sends something. */
  private createPresence(): TargetPresence {
    const { environment, targetProbe } = this.dependencies;
    return new TargetPresence({
      environment,
      probe: targetProbe,
      heartbeatInterval: this.settings.heartbeatInterval,
      isTargetHeard: () => this.isTargetHeard,
      onMissing: () => this.handleTargetEnd(),
    });
  }

  /** Records the outcome of a request when the target starts its answer or resets the flow. */
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

  /** Runs the time-based checks of load and health, then sends the reports that are due. */
  private runPeriodicChecks(): void {
    const now = this.dependencies.environment.now();
    const wasDown = this.health.isDown(now);
    this.health.recordTick();
    for (let count = this.tracker.timeOutRequests(now); count > 0; count--) {
      this.health.recordTimeout(now);
    }
    const isDown = this.health.isDown(now);
    if (isDown && !wasDown) {
      this.logTargetState();
    }
    this.liveness.probeIfUnresponsive(isDown || this.hasTargetDeregistered, now);
    this.dropAbandonedRequests(now);
    this.admission.releaseWaiting(now);
    this.reporter.reportIfWorse();
    this.reporter.sendDueReports();
  }

  /** Drops queued requests whose clients have left or whose callers have timed out. */
  private dropAbandonedRequests(now: number): void {
    const dropped = this.admission.expire(now);
    if (dropped.length === 0) {
      return;
    }
    this.counters.requestsGivenUp += dropped.length;
    const oldest = Math.min(...dropped.map(({ since }) => since));
    this.dependencies.environment.report(Events.requestsGivenUp, {
      dropped: dropped.length,
      waiting: this.admission.waitingRequests,
      longestWait: Math.round(now - oldest),
    });
  }

  /** Refuses queued requests at once, so that their clients are notified too. */
  private handleTargetDeath(): void {
    this.logTargetState();
    this.packetHandler.refuseQueued();
    if (this.hasTargetDeregistered) {
      this.handleTargetEnd();
    }
  }

  /** Withdraws from the registry, and reports that there are no flows. */
  private handleTargetEnd(): void {
    if (!this.isRestarting) {
      this.registration.withdraw();
    }
    this.announceState();
  }

  /** Reports a state change to all balancers at once, and again shortly after. */
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

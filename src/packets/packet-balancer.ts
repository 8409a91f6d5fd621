/**
 * A balancer of the packet interface: receives clients' packets and sends each to the agent of
 * the target that holds, or will hold, its flow.
 */
import { formatEndpoint } from '../core/endpoint';
import type { Endpoint } from '../environment';
import { Events } from '../logging/events';
import { AgentDirectory, type AgentEntry, type AgentRemovalReason } from './agent-directory';
import { AgentReportHandler } from './agent-report-handler';
import {
  AgentSubscriptions,
  FAST_RETRY_INTERVAL_MS,
  type SubscriptionEras,
} from './agent-subscriptions';
import { FlowCache } from './flow-cache';
import { FlowDestinations } from './flow-destinations';
import { FormerServices } from './former-services';
import { computeSearchTimeout } from './pending-searches';
import { FlowRouter } from './flow-router';
import { INITIAL_PROBE_INTERVAL_MS } from './locality/distance-probes';
import { Locality } from './locality/locality';
import { NodeTimers } from './node-timers';
import { PacketLink } from './packet-link';
import { PacketMessageType, type ListedAgent, type MessageToAgent } from './packet-messages';
import { PeerExchange } from './peer-exchange';
import type { PeerSnapshot } from './peer-snapshot';
import type { PlainMessage } from './repair/hop-messages';
import { HopRepair } from './repair/hop-repair';
import type {
  PacketBalancerDependencies,
  PacketBalancerFigures,
  PacketBalancerSettings,
} from './packet-balancer-contracts';
import { RegistryView } from './registry-view';
import { RegistryReconciler } from './registry-reconciler';
import type { RoutingTable } from './routing-table';
import { MAXIMUM_BACKLOG_TIME_MS, StartupGate } from './startup/startup-gate';
import { StartupRelay } from './startup/startup-relay';
import { ViewConvergence } from './startup/view-convergence';
import { StoreReading } from './store-reading';
import { ActiveRoutingTable } from './active-routing-table';
import { TrafficRelay, type BalancerStatus } from './traffic-relay';
import { ZoneDetour } from './zone-detour';
import { ZoneEvacuationView } from './zone-evacuations';

const FLOW_CACHE_CAPACITY = 500_000;
const MAINTENANCE_INTERVAL_MS = 1_000;
/** Time after the start of a relaying balancer in which it does not route packets itself. */
const RELAY_DISCOVERY_TIME_MS = 5_000;
/** Time after its start in which a balancer with little CPU runs code that is not optimized yet. */
const WARM_UP_TIME_MS = 8_000;

/** One packet balancer. */
export class PacketBalancer {
  readonly directory: AgentDirectory;
  readonly router: FlowRouter;
  private readonly relay: TrafficRelay;
  private readonly detours: ZoneDetour;
  private readonly cache: FlowCache;
  private readonly formerServices: FormerServices;
  private readonly flowDestinations: FlowDestinations;
  private readonly link: PacketLink;
  private readonly hops: HopRepair;
  private readonly peers: PeerExchange;
  private readonly reports: AgentReportHandler;
  private readonly view: RegistryView;
  private readonly reconciler: RegistryReconciler;
  private readonly subscriptions: AgentSubscriptions;
  private readonly storeReading: StoreReading;
  private readonly evacuations: ZoneEvacuationView;
  private readonly locality: Locality;
  private readonly timers: NodeTimers;
  private readonly table: ActiveRoutingTable;
  private stopping = false;
  private wasReady = false;
  private wasRelaying = false;
  private readonly startupGate: StartupGate;
  private readonly startupRelay: StartupRelay;
  private readonly viewConvergence = new ViewConvergence();
  /** The store's era that was last sent to agents. */
  private announcedEra = 0;
  private packetsRelayed = 0;
  private startedAt = 0;

  constructor(
    private readonly settings: PacketBalancerSettings,
    private readonly dependencies: PacketBalancerDependencies,
  ) {
    const { environment, codec, transport, registry } = dependencies;
    this.timers = new NodeTimers(environment);
    this.directory = new AgentDirectory((entry, reason) => this.logRemovedAgent(entry, reason));
    this.detours = new ZoneDetour(settings.zone);
    this.relay = new TrafficRelay(settings.address, settings.zone, settings.capacity);
    this.startupRelay = new StartupRelay(settings.zone, settings.capacity);
    this.cache = new FlowCache(FLOW_CACHE_CAPACITY, settings.flowLifetime);
    // Other balancers may place flows by the table before for as long as a new one may take to apply.
    const lifetime = settings.flowLifetime + settings.applyTime;
    this.formerServices = new FormerServices(lifetime);
    this.flowDestinations = new FlowDestinations(lifetime, settings.applyTime);
    this.link = new PacketLink(codec, transport, environment);
    this.hops = this.createHopRepair();
    this.table = new ActiveRoutingTable(environment, (table, hasOtherProfiles) =>
      this.applyTable(table, hasOtherProfiles),
    );
    this.evacuations = new ZoneEvacuationView(environment, (zones) => this.announceZones(zones));
    this.locality = new Locality(settings, environment, this.directory, (agent, probe) =>
      this.link.send(agent, probe),
    );
    this.router = this.createRouter();
    this.reconciler = new RegistryReconciler(
      environment,
      this.directory,
      registry,
      () => this.view.position.era,
    );
    this.subscriptions = this.createSubscriptions();
    this.view = this.createView();
    this.peers = this.createPeerExchange();
    this.reports = new AgentReportHandler({
      environment,
      directory: this.directory,
      link: this.link,
      learnPeer: (peer) => this.peers.addPeer(peer),
      onAgentReturned: (agent) => this.router.handleAgentReturned(agent),
      onHeardAgentsChanged: () => this.updateReadiness(),
    });
    this.storeReading = this.createStoreReading();
    this.startupGate = this.createGate();
  }

  start(): void {
    this.startedAt = this.dependencies.environment.now();
    this.viewConvergence.start(this.startedAt);
    this.storeReading.start();
    this.peers.start();
    this.peers.requestView();
    this.timers.scheduleRepeating(FAST_RETRY_INTERVAL_MS, () => {
      if (!this.hasView) {
        this.peers.requestView();
      }
      this.storeReading.updateReading();
      this.subscribe();
    });
    this.timers.scheduleRepeating(INITIAL_PROBE_INTERVAL_MS, () => this.locality.sendDueProbes());
    this.timers.scheduleRepeating(MAINTENANCE_INTERVAL_MS, () => this.maintain());
  }

  /** Becomes not ready and announces that to peers; packets that still arrive are routed. */
  beginStop(): void {
    this.stopping = true;
    this.updateReadiness();
    this.peers.broadcastStatus();
  }

  /** Adds seeds from reloaded settings. */
  replaceSeeds(seeds: readonly Endpoint[]): void {
    seeds.forEach((seed) => this.peers.addPeer(seed));
  }

  /** Stops all timers and calls to the store. */
  stop(): void {
    this.stopping = true;
    this.storeReading.stop();
    this.peers.stop();
    this.router.stop();
    this.hops.stop();
    this.startupGate.stop();
    this.evacuations.stop();
    this.timers.cancelAll();
  }

  /**
   * Whether this balancer can serve any flow: it has a table, a complete list of agents, and
   * reports from some of them; or it relays and its zone needs it to.
   */
  get isReady(): boolean {
    const now = this.dependencies.environment.now();
    if (this.stopping) {
      return false;
    }
    if (this.relay.canRelay(now)) {
      return this.relay.isNeeded(this.isWarmedUp, now);
    }
    if (this.relay.prefersRelaying && now - this.startedAt < RELAY_DISCOVERY_TIME_MS) {
      return false;
    }
    return this.canServe;
  }

  get figures(): PacketBalancerFigures {
    return {
      routingVersion: this.table.version,
      agentsKnown: this.directory.size,
      agentsHeard: this.countHeard(),
      agentsSetAside: this.router.agentsSetAside,
      flowsCached: this.cache.size,
      framesRejected: this.link.framesRejected,
      packetsRelayed: this.packetsRelayed,
      packetsKeptAtStart: this.startupGate.kept,
      packetsRelayedAtStart: this.startupGate.relayedOn,
      packetsDroppedAtStart: this.startupGate.dropped,
      ready: this.isReady,
      readsStore: this.storeReading.isReading,
      storeEra: Math.max(this.storeReading.era, this.view.position.era),
      registryRevision: this.view.revision,
      zonesEvacuated: this.evacuations.current.zones.length,
      registryCalls: this.reconciler.calls,
      ...this.storeReading.calls,
      ...this.hops.counters,
      ...this.locality.figures,
    };
  }

  /** The state that a peer may adopt. */
  get snapshot(): PeerSnapshot {
    return {
      routingTable: this.table.current,
      viewComplete: this.directory.isComplete,
      agents: this.listedAgents,
      registryRevision: this.view.revision,
      storeEra: this.view.position.era,
    };
  }

  /** Whether opening packets are still held until this balancer can serve flows. */
  get isStarting(): boolean {
    return !this.startupGate.isOver;
  }

  /** Routes a datagram of a client, or holds it until this balancer can serve flows. */
  handleClientDatagram(bytes: Buffer): void {
    if (!this.startupGate.handlePacket(bytes)) {
      this.routeDatagram(bytes);
    }
  }

  private routeDatagram(bytes: Buffer): void {
    const destination = this.relay.prefersRelaying ? this.findRelayDestination(bytes) : undefined;
    if (destination === undefined) {
      this.router.route(bytes);
      return;
    }
    this.packetsRelayed++;
    this.dependencies.relay(destination, bytes);
  }

  /** Returns the smoothed round-trip time to an agent in milliseconds; undefined before it is measured. */
  getRoundTrip(agent: Endpoint): number | undefined {
    return this.hops.getRoundTrip(agent);
  }

  /** Handles a frame of another node. */
  handleFrame(bytes: Buffer, from: Endpoint): void {
    const message = this.link.receiveFrom(from, bytes);
    const unpacked = message && this.hops.receive(from, message);
    if (unpacked) {
      this.handleMessage(unpacked, from);
    }
  }

  private get listedAgents(): ListedAgent[] {
    return [...this.directory.getAll()].map(
      ({ address, service, zone, deregistered, registryRevision }) => ({
        address,
        service,
        zone,
        deregistered,
        revision: registryRevision ?? 0,
      }),
    );
  }

  private get eras(): SubscriptionEras {
    const isAsking = this.viewConvergence.shouldQueryAgents(this.dependencies.environment.now());
    return { storeEra: this.view.position.era, asksEra: isAsking ? 1 : 0 };
  }

  /** Sends agents a changed era at once: the store may have lost entries, and agents know the age of theirs. */
  private announceEra(): void {
    const { era } = this.view.position;
    if (era !== this.announcedEra) {
      this.announcedEra = era;
      this.subscriptions.makeAllDue();
    }
  }

  private get hasView(): boolean {
    const knowsZones = this.dependencies.evacuatedZones === undefined || this.evacuations.isKnown;
    return this.table.current !== undefined && this.directory.isComplete && knowsZones;
  }

  /** Whether any flow can be routed or relayed now, whether or not this balancer should be ready. */
  private get canServe(): boolean {
    const now = this.dependencies.environment.now();
    if (this.relay.canRelay(now)) {
      return true;
    }
    const mayServeWithoutAgents =
      this.directory.size === 0 && now - this.startedAt > MAXIMUM_BACKLOG_TIME_MS;
    return this.hasView && (mayServeWithoutAgents || this.directory.hasHeardAny(now));
  }

  /** Creates the gate that holds clients' packets until any flow can be served. */
  private createGate(): StartupGate {
    const { environment, format } = this.dependencies;
    return new StartupGate({
      environment,
      format,
      directory: this.directory,
      isPaced: this.settings.earlyStart,
      canServe: () => this.canServe,
      isRelaying: () => this.relay.canRelay(environment.now()),
      relay:
        this.settings.earlyStart && !this.relay.prefersRelaying ? this.startupRelay : undefined,
      getClusterSize: () => this.peers.clusterSize,
      forward: (to, bytes) => this.dependencies.relay(to, bytes),
      getTable: () => this.table.current,
      findRoute: (packet) => this.router.findRoute(packet),
      route: (bytes) => this.routeDatagram(bytes),
    });
  }

  private findRelayDestination(bytes: Buffer): Endpoint | undefined {
    const { environment, format } = this.dependencies;
    const packet = format.decodeFromClient(bytes);
    return packet && this.relay.selectDestination(packet.flow, environment.now());
  }

  private handleMessage(message: PlainMessage, from: Endpoint): void {
    switch (message.type) {
      case PacketMessageType.notHeld:
        this.router.handleRefusal(from, message);
        return;
      case PacketMessageType.noneHolds:
        this.router.handleNoneHolds(message);
        return;
      case PacketMessageType.noneKnows:
        this.router.handleNoneKnows(message);
        return;
      case PacketMessageType.held:
        this.router.confirmHolder(message.flow.toString('latin1'), from);
        return;
      case PacketMessageType.report:
        this.reports.handleReport(from, message);
        return;
      case PacketMessageType.peerStatus:
        this.peers.receive(from, message);
        return;
      case PacketMessageType.detour:
        this.router.routeDetoured(message.payload, message.agent);
        return;
      case PacketMessageType.distanceReply:
        this.locality.handleProbeReply(from, message);
        return;
      case PacketMessageType.eraSeen:
        this.viewConvergence.recordObservedEra(message.era);
        return;
      case PacketMessageType.flowDestinations:
        this.router.handleFlowDestinations(from, message);
        return;
      default:
        this.reportUnexpectedMessage(message);
    }
  }

  private logRemovedAgent(entry: AgentEntry, reason: AgentRemovalReason): void {
    const { environment } = this.dependencies;
    environment.report(Events.agentForgotten, {
      agent: formatEndpoint(entry.address),
      service: entry.service,
      reason,
      state: entry.report?.state,
      openFlows: entry.report?.openFlows,
      silence: Math.round(this.directory.getSilence(entry, environment.now())),
    });
  }

  private reportUnexpectedMessage({ type }: MessageToAgent): void {
    this.dependencies.environment.report(Events.frameUnexpected, { type });
  }

  private createRouter(): FlowRouter {
    const { cache, dependencies, detours, directory, hops, link, locality, settings } = this;
    const { environment, format } = dependencies;
    return new FlowRouter({
      environment,
      zone: settings.zone,
      locality,
      address: settings.address,
      searchTimeout: computeSearchTimeout(settings.capacity),
      format,
      directory,
      cache,
      formerServices: this.formerServices,
      flowDestinations: this.flowDestinations,
      choice: settings.choice,
      link,
      hops,
      sendToClient: (client, packet) => dependencies.sendToClient(client, packet),
      isEvacuated: (zone) => this.evacuations.isEvacuated(zone),
      isViewConverged: () =>
        this.viewConvergence.isConverged(this.view.position.era, environment.now()),
      detours,
    });
  }

  private createSubscriptions(): AgentSubscriptions {
    return new AgentSubscriptions(
      this.settings.zone,
      this.directory,
      (agents, message) => this.link.sendToAll(agents, message),
      {
        getDeploymentState: () => ({
          evacuations: this.evacuations.getCurrentIn(this.view.position.era),
          profiles: this.table.profiles,
        }),
        getEras: () => this.eras,
        shouldAskDestinations: (agent, now) => this.flowDestinations.shouldAsk(agent, now),
      },
    );
  }

  private createView(): RegistryView {
    return new RegistryView({
      environment: this.dependencies.environment,
      directory: this.directory,
      self: this.settings.address,
      onChanged: () => {
        this.announceEra();
        this.subscribe();
        this.peers.notifyWaitingPeers();
        this.updateReadiness();
      },
    });
  }

  /** Creates the hop repair; it does not retransmit to agents without a recent report. */
  private createHopRepair(): HopRepair {
    const { directory, link } = this;
    return new HopRepair({
      environment: this.dependencies.environment,
      link,
      isEnabled: this.settings.repairHops,
      isReachable: (agent, now) => {
        const entry = directory.find(agent);
        return entry !== undefined && directory.isHeard(entry, now);
      },
    });
  }

  private createPeerExchange(): PeerExchange {
    const { environment, snapshots } = this.dependencies;
    return new PeerExchange({
      environment,
      self: this.settings.address,
      seeds: this.settings.seeds,
      directory: this.directory,
      link: this.link,
      snapshots,
      relay: this.relay,
      onStatus: (peer, status) => this.recordStatus(peer, status),
      detours: this.detours,
      lacksView: () => !this.hasView,
      evacuations: this.evacuations,
      formerServices: this.formerServices,
      getRoutingVersion: () => this.table.version,
      getOwnStatus: () => this.ownStatus,
      onSnapshot: (peer, snapshot) => this.applySnapshot(peer, snapshot),
      onAgents: (agents) => this.view.mergeAgents(agents),
      getRegistryPosition: () => this.view.position,
      onDelta: (delta, era) => this.view.applyDelta(delta, era),
      getReaders: () => this.storeReading.getLatestReaders(),
      onReaders: (readers) => this.storeReading.mergeReaders(readers),
    });
  }

  private recordStatus(peer: Endpoint, status: BalancerStatus): void {
    this.startupRelay.recordStatus(peer, status, this.dependencies.environment.now());
    this.startupGate.processBacklog();
  }

  /** Creates the store reader; a seed reads the store at once, other balancers first ask their peers. */
  private createStoreReading(): StoreReading {
    const { environment, registry, routingTables, evacuatedZones, storeProbe } = this.dependencies;
    const { address, applyTime, linkSpeed, seeds } = this.settings;
    return new StoreReading({
      environment,
      self: address,
      isFirst: seeds.length === 0 || seeds.includes(address),
      linkSpeed,
      applyTime,
      routingTables,
      registry,
      evacuatedZones,
      evacuations: this.evacuations,
      storeProbe,
      getClusterSize: () => this.peers.clusterSize,
      hasView: () => this.hasView,
      isFetching: () => this.peers.isFetching,
      applyTable: (table) => this.table.applyIfNewer(table, 'store'),
      applyListing: (listing) => {
        this.view.applyListing(listing);
        this.peers.broadcastStatus();
      },
      applyChanges: (changes) => {
        const delta = this.view.applyChanges(changes);
        if (delta) {
          this.peers.broadcastStatus(delta);
        }
      },
      onAnswer: () => this.peers.broadcastStatus(),
    });
  }

  private get ownStatus(): BalancerStatus {
    const { zone, packetAddress, capacity } = this.settings;
    const announcedCapacity = this.relay.prefersRelaying && !this.isWarmedUp ? 0 : capacity;
    return { zone, packetAddress, capacity: announcedCapacity, isReady: this.isReady };
  }

  private get isWarmedUp(): boolean {
    return this.dependencies.environment.now() - this.startedAt > WARM_UP_TIME_MS;
  }

  private applySnapshot(peer: Endpoint, snapshot: PeerSnapshot): void {
    const { agents, registryRevision, routingTable, storeEra, viewComplete } = snapshot;
    const origin = formatEndpoint(peer);
    if (routingTable) {
      this.table.applyIfNewer(routingTable, origin);
    }
    if (viewComplete) {
      this.view.applySnapshot(agents, { era: storeEra, revision: registryRevision }, origin);
    } else {
      this.view.mergeAgents(agents);
    }
  }

  /** Activates a changed table, and sends agents its service profiles if they differ. */
  private applyTable(table: RoutingTable, hasOtherProfiles: boolean): void {
    this.router.apply(table);
    this.peers.notifyWaitingPeers();
    if (hasOtherProfiles) {
      this.subscriptions.makeAllDue();
      this.subscribe();
    }
    this.updateReadiness();
  }

  /** Notifies the agents of zones that were evacuated or restored, and other balancers. */
  private announceZones(zones: readonly string[]): void {
    this.subscriptions.makeDueInZones(zones);
    this.subscribe();
    if (this.storeReading.isReading) {
      this.peers.broadcastStatus();
    }
    this.updateReadiness();
  }

  /** Subscribes to the reports of agents; a balancer that relays needs none. */
  private subscribe(): void {
    const now = this.dependencies.environment.now();
    const isRelaying = this.relay.canRelay(now);
    this.reportRelaying(isRelaying);
    if (isRelaying) {
      this.directory.stopListening();
      return;
    }
    this.directory.startListening(now);
    this.subscriptions.sendDue(now, this.storeReading.isRecent);
  }

  private reportRelaying(isRelaying: boolean): void {
    if (isRelaying !== this.wasRelaying) {
      this.wasRelaying = isRelaying;
      const { agentsKnown, agentsHeard } = this.figures;
      const fields = { relays: isRelaying, agentsKnown, agentsHeard };
      this.dependencies.environment.report(Events.relayingChanged, fields);
    }
  }

  private maintain(): void {
    this.startupGate.processBacklog();
    this.router.expire(this.dependencies.environment.now());
    this.formerServices.expire(this.dependencies.environment.now());
    this.flowDestinations.expire(this.dependencies.environment.now());
    this.hops.expire(this.dependencies.environment.now());
    this.reconciler.reconcile(this.storeReading.isReading);
    this.subscriptions.expire();
    this.updateReadiness();
  }

  private updateReadiness(): void {
    const ready = this.isReady;
    this.startupGate.processBacklog();
    if (ready !== this.wasReady) {
      this.wasReady = ready;
      const { routingVersion, agentsKnown, agentsHeard } = this.figures;
      this.dependencies.environment.report(Events.readinessChanged, {
        ready,
        stopping: this.stopping,
        routingVersion,
        agentsKnown,
        agentsHeard,
        relays: this.relay.canRelay(this.dependencies.environment.now()),
      });
    }
  }

  private countHeard(): number {
    const now = this.dependencies.environment.now();
    let heard = 0;
    for (const entry of this.directory.getAll()) {
      heard += this.directory.isHeard(entry, now) ? 1 : 0;
    }
    return heard;
  }
}

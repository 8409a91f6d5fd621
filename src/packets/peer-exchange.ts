/**
 * Balancers tell a few others now and then what they know, and fetch what they lack.
 *
 * A routing table reaches a balancer this way also while the store refuses it, and a
 * starting balancer takes over the view of a running one.
 */
import { formatEndpoint } from '../core/endpoint';
import type { Endpoint, Environment, TimerHandle } from '../environment';
import type { AgentDirectory } from './agent-directory';
import type { ResultCallback } from './collection-port';
import type { PacketLink } from './packet-link';
import {
  PacketMessageType,
  type AgentRecord,
  type PeerStatusMessage,
  type RegistryDelta,
} from './packet-messages';
import type { PeerSnapshot } from './peer-snapshot';
import { isLater, resolveEra, type StorePosition } from './store-position';
import type { StoreReader } from './store-readers';
import type { BalancerStatus, TrafficRelay } from './traffic-relay';
import type { ZoneDetour } from './zone-detour';
import type { ZoneEvacuationView } from './zone-evacuations';

const STATUS_INTERVAL_MS = 500;
/** Milliseconds between statuses that are asked of the balancers that packets are relayed to. */
const RELAY_STATUS_INTERVAL_MS = 300;
/**
 * Balancers that one without a view asks as soon as it hears of them: among so many is one that has
 * the view or will tell as soon as it does, in a cluster that starts together.
 */
const MAXIMUM_NEW_PEER_QUERIES = 8;
/** Peers told in one round: a version spreads over n balancers in about log4(n) rounds. */
const PEERS_PER_ROUND = 3;
const CAPACITY_SCALE = 1_000;
const MAXIMUM_PEERS = 64;
const MAXIMUM_UNREGISTERED = 32;
/** Changes of the registry that one status tells; whoever misses more fetches a snapshot. */
const MAXIMUM_DELTA_CHANGES = 32;

/** Fetches the snapshot of another balancer. */
export interface SnapshotPort {
  fetch(peer: Endpoint, answer: ResultCallback<PeerSnapshot>): void;
}

/** What the exchange reads and changes. */
export interface PeerExchangeDependencies {
  readonly environment: Environment;
  readonly self: Endpoint;
  readonly seeds: readonly Endpoint[];
  readonly directory: AgentDirectory;
  readonly link: PacketLink;
  readonly snapshots: SnapshotPort;
  readonly relay: TrafficRelay;
  readonly detours: ZoneDetour;
  readonly evacuations: ZoneEvacuationView;
  /** Whether this balancer cannot serve for want of a routing table or the agents. */
  lacksView(): boolean;
  getRoutingVersion(): number;
  /** A peer has said how it is. */
  onStatus(peer: Endpoint, status: BalancerStatus): void;
  /** What this balancer tells of itself. */
  getOwnStatus(): BalancerStatus;
  onSnapshot(peer: Endpoint, snapshot: PeerSnapshot): void;
  onAgents(agents: readonly AgentRecord[]): void;
  /** The moment of the store through which the registry is known. */
  getRegistryPosition(): StorePosition;
  /** @param era the store's era of the delta's revisions */
  onDelta(delta: RegistryDelta, era: number): void;
  /** Balancers that read the store, as this one knows them. */
  getReaders(): readonly StoreReader[];
  onReaders(storeReaders: readonly StoreReader[]): void;
}

/** The exchange of one balancer. */
export class PeerExchange {
  private readonly peers = new Set<Endpoint>();
  /** Balancers without a view that this one could not help yet. */
  private readonly waitingPeers = new Set<Endpoint>();
  private isStarted = false;
  private newPeerQueries = 0;
  private isFetchingSnapshot = false;
  private timer: TimerHandle | undefined;
  private relayTimer: TimerHandle | undefined;

  constructor(private readonly dependencies: PeerExchangeDependencies) {
    dependencies.seeds.forEach((seed) => this.addPeer(seed));
  }

  start(): void {
    this.isStarted = true;
    this.sendStatusRound();
    if (this.dependencies.relay.prefersRelaying) {
      this.queryRelays();
    }
  }

  stop(): void {
    this.timer?.cancel();
    this.relayTimer?.cancel();
  }

  /** Another balancer's address; beyond a number the one named longest ago is dropped. */
  addPeer(peer: Endpoint): void {
    if (peer === this.dependencies.self) {
      return;
    }
    const isNew = !this.peers.delete(peer);
    this.peers.add(peer);
    if (isNew) {
      this.queryNewPeer(peer);
    }
    if (this.peers.size > MAXIMUM_PEERS) {
      const [oldest] = this.peers;
      this.peers.delete(oldest!);
    }
  }

  /** Takes a peer's status and fetches from it what this balancer lacks. */
  receive(peer: Endpoint, status: PeerStatusMessage): void {
    status.peers.forEach((one) => this.addPeer(one));
    this.addPeer(peer);
    this.recordStatus(peer, status);
    this.updateWaitingPeers(peer, status);
    if (status.replyWanted === 1) {
      this.dependencies.link.send(peer, this.status(false));
    }
    const {
      onAgents: agentsReceived,
      onDelta: deltaReceived,
      onReaders: readersReceived,
    } = this.dependencies;
    agentsReceived(status.unregistered);
    readersReceived(status.readers);
    const evacuations = { ...status.evacuations, era: status.storeEra };
    this.dependencies.evacuations.apply(evacuations, formatEndpoint(peer));
    if (status.delta) {
      deltaReceived(status.delta, status.storeEra);
    }
    if (this.isBehind(status) && !this.isFetchingSnapshot) {
      this.fetchSnapshot(peer);
    }
  }

  /** Asks for the view that this balancer lacks: those named at the start, and some it knows. */
  requestView(): void {
    const { link, seeds, self } = this.dependencies;
    const asked = new Set([...seeds, ...this.choosePeers()]);
    asked.delete(self);
    link.sendToAll([...asked], this.status(true));
  }

  /** A balancer without a view asks those it hears of at once, not only at the next interval. */
  private queryNewPeer(peer: Endpoint): void {
    const { lacksView, link } = this.dependencies;
    if (this.isStarted && this.newPeerQueries < MAXIMUM_NEW_PEER_QUERIES && lacksView()) {
      this.newPeerQueries++;
      link.send(peer, this.status(true));
    }
  }

  /** Whether a peer's snapshot is on its way. */
  get isFetching(): boolean {
    return this.isFetchingSnapshot;
  }

  /** Tells balancers that have asked without a view, once this one has it. */
  notifyWaitingPeers(): void {
    if (this.waitingPeers.size > 0 && !this.dependencies.lacksView()) {
      this.dependencies.link.sendToAll([...this.waitingPeers], this.status(false));
      this.waitingPeers.clear();
    }
  }

  /** Balancers known, this one included. */
  get clusterSize(): number {
    return this.peers.size + 1;
  }

  /**
   * Tells every balancer known how things stand now.
   * @param delta changes of the registry that they may lack
   */
  broadcastStatus(delta?: RegistryDelta): void {
    const sentDelta = delta && delta.changes.length <= MAXIMUM_DELTA_CHANGES ? delta : undefined;
    this.dependencies.link.sendToAll([...this.peers], this.status(false, sentDelta));
  }

  private updateWaitingPeers(peer: Endpoint, status: PeerStatusMessage): void {
    const hasView = status.viewComplete === 1 && status.routingVersion > 0;
    if (hasView || this.waitingPeers.size >= MAXIMUM_PEERS) {
      this.waitingPeers.delete(peer);
    } else if (this.dependencies.lacksView()) {
      this.waitingPeers.add(peer);
    }
  }

  /** Whether a peer knows what this balancer does not. */
  private isBehind(status: PeerStatusMessage): boolean {
    const {
      directory,
      getRegistryPosition: registryPosition,
      getRoutingVersion: routingVersion,
    } = this.dependencies;
    const isNewer = status.routingVersion > routingVersion();
    const hasView = status.viewComplete === 1 && status.routingVersion > 0;
    const hasCompleteView = hasView && !directory.isComplete;
    const known = registryPosition();
    const { registryRevision: revision, storeEra: era } = status;
    const peerPosition = resolveEra({ era, revision }, known);
    return (
      isNewer || hasCompleteView || (status.viewComplete === 1 && isLater(peerPosition, known))
    );
  }

  private recordStatus(peer: Endpoint, status: PeerStatusMessage): void {
    const { detours, environment, relay, onStatus: statusReceived } = this.dependencies;
    const { zone, packetAddress, capacity, ready } = status;
    detours.recordStatus(peer, zone, ready === 1, environment.now());
    const balancerStatus = {
      zone,
      packetAddress,
      capacity: capacity / CAPACITY_SCALE,
      isReady: ready === 1,
    };
    relay.recordStatus(peer, balancerStatus, environment.now());
    statusReceived(peer, balancerStatus);
  }

  private fetchSnapshot(peer: Endpoint): void {
    this.isFetchingSnapshot = true;
    this.dependencies.snapshots.fetch(peer, (result) => {
      this.isFetchingSnapshot = false;
      if (result.ok) {
        this.dependencies.onSnapshot(peer, result.val);
      }
    });
  }

  private sendStatusRound(): void {
    const { environment, link } = this.dependencies;
    link.sendToAll(this.choosePeers(), this.status(false));
    this.timer = environment.startTimer(STATUS_INTERVAL_MS, () => this.sendStatusRound());
  }

  /** Asks the balancers that packets are relayed to how they are; those known for it, or any. */
  private queryRelays(): void {
    const { environment, link, relay } = this.dependencies;
    const asked = new Set([...relay.listBalancersToPoll(environment.now()), ...this.choosePeers()]);
    link.sendToAll([...asked], this.status(true));
    this.relayTimer = environment.startTimer(RELAY_STATUS_INTERVAL_MS, () => this.queryRelays());
  }

  private choosePeers(): Endpoint[] {
    const rest = [...this.peers];
    const chosen: Endpoint[] = [];
    while (rest.length > 0 && chosen.length < PEERS_PER_ROUND) {
      const index = Math.floor(this.dependencies.environment.random() * rest.length);
      chosen.push(...rest.splice(index, 1));
    }
    return chosen;
  }

  private status(isReplyWanted: boolean, delta?: RegistryDelta): PeerStatusMessage {
    const {
      directory,
      evacuations,
      getOwnStatus: ownStatus,
      getReaders: readers,
      getRegistryPosition: registryPosition,
      getRoutingVersion: routingVersion,
    } = this.dependencies;
    const { era, revision } = registryPosition();
    const { zone, packetAddress, capacity, isReady } = ownStatus();
    return {
      type: PacketMessageType.peerStatus,
      routingVersion: routingVersion(),
      viewComplete: directory.isComplete ? 1 : 0,
      zone,
      packetAddress,
      capacity: Math.round(capacity * CAPACITY_SCALE),
      ready: isReady ? 1 : 0,
      replyWanted: isReplyWanted ? 1 : 0,
      peers: this.choosePeers(),
      unregistered: this.listUnregistered(),
      registryRevision: revision,
      storeEra: era,
      readers: readers(),
      delta,
      evacuations: evacuations.getCurrentIn(era),
    };
  }

  /** Agents that this balancer hears, and the registry does not list yet. */
  private listUnregistered(): AgentRecord[] {
    const { directory, environment } = this.dependencies;
    const now = environment.now();
    const unregistered: AgentRecord[] = [];
    for (const entry of directory.getAll()) {
      const isIncluded = entry.registryRevision === undefined && directory.isHeard(entry, now);
      if (isIncluded && unregistered.length < MAXIMUM_UNREGISTERED) {
        const { address, service, zone } = entry;
        unregistered.push({ address, service, zone });
      }
    }
    return unregistered;
  }
}

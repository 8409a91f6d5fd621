/**
 * Gossip between balancers: each sends its status to a few others and fetches what it lacks.
 *
 * A routing table reaches a balancer this way even while the store refuses it, and a
 * starting balancer gets the view of a running one.
 */
import { formatEndpoint } from '../core/endpoint';
import type { Endpoint, Environment, TimerHandle } from '../environment';
import { attachToDelta, listDeregistrations } from './agent-deregistrations';
import type { AgentDirectory } from './agent-directory';
import type { FormerServices } from './former-services';
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
/** Time between status requests to the balancers that packets are relayed to. */
const RELAY_STATUS_INTERVAL_MS = 300;
/**
 * New peers that a balancer without a view queries at once: in a cluster that starts together, one
 * of that many has the view, or sends it as soon as it does.
 */
const MAXIMUM_NEW_PEER_QUERIES = 8;
/** Peers sent the status per round: a version reaches n balancers in about log4(n) rounds. */
const PEERS_PER_ROUND = 3;
const CAPACITY_SCALE = 1_000;
const MAXIMUM_PEERS = 64;
const MAXIMUM_UNREGISTERED = 32;
/** Registry changes in one status; a balancer that misses more fetches a snapshot. */
const MAXIMUM_DELTA_CHANGES = 32;

/** Fetches snapshots of other balancers. */
export interface SnapshotPort {
  fetch(peer: Endpoint, answer: ResultCallback<PeerSnapshot>): void;
}

/** Dependencies of the peer exchange. */
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
  readonly formerServices: FormerServices;
  /** Whether this balancer lacks a routing table or the agents, and so cannot serve. */
  lacksView(): boolean;
  getRoutingVersion(): number;
  /** Called with the status of a peer. */
  onStatus(peer: Endpoint, status: BalancerStatus): void;
  /** Status of this balancer, to send to others. */
  getOwnStatus(): BalancerStatus;
  onSnapshot(peer: Endpoint, snapshot: PeerSnapshot): void;
  onAgents(agents: readonly AgentRecord[]): void;
  /** Store position up to which the registry is known. */
  getRegistryPosition(): StorePosition;
  /** @param era store era of the delta's revisions */
  onDelta(delta: RegistryDelta, era: number): void;
  /** Balancers that read the store, as known to this one. */
  getReaders(): readonly StoreReader[];
  onReaders(storeReaders: readonly StoreReader[]): void;
}

/** Peer exchange of one balancer. */
export class PeerExchange {
  private readonly peers = new Set<Endpoint>();
  /** Balancers without a view that asked while this one had none either. */
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

  /** Adds a balancer; beyond the limit, the one mentioned least recently is dropped. */
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

  /** Handles a peer's status and fetches from it what this balancer lacks. */
  receive(peer: Endpoint, status: PeerStatusMessage): void {
    status.peers.forEach((other) => this.addPeer(other));
    this.addPeer(peer);
    this.recordStatus(peer, status);
    this.updateWaitingPeers(peer, status);
    if (status.replyWanted === 1) {
      this.dependencies.link.send(peer, this.createStatus(false));
    }
    const { onAgents, onDelta, onReaders } = this.dependencies;
    onAgents(status.unregistered);
    onReaders(status.readers);
    const evacuations = { ...status.evacuations, era: status.storeEra };
    this.dependencies.evacuations.apply(evacuations, formatEndpoint(peer));
    const { environment, formerServices } = this.dependencies;
    formerServices.merge(status.formerServices, environment.now());
    if (status.delta) {
      onDelta(attachToDelta(status.delta, status.deregistrations), status.storeEra);
    }
    if (this.isBehind(status) && !this.isFetchingSnapshot) {
      this.fetchSnapshot(peer);
    }
  }

  /** Requests the view that this balancer lacks, from the seeds and some known peers. */
  requestView(): void {
    const { link, seeds, self } = this.dependencies;
    const recipients = new Set([...seeds, ...this.choosePeers()]);
    recipients.delete(self);
    link.sendToAll([...recipients], this.createStatus(true));
  }

  /** Queries a new peer at once, not only in the next round, while this balancer has no view. */
  private queryNewPeer(peer: Endpoint): void {
    const { lacksView, link } = this.dependencies;
    if (this.isStarted && this.newPeerQueries < MAXIMUM_NEW_PEER_QUERIES && lacksView()) {
      this.newPeerQueries++;
      link.send(peer, this.createStatus(true));
    }
  }

  /** Whether a peer's snapshot is being fetched. */
  get isFetching(): boolean {
    return this.isFetchingSnapshot;
  }

  /** Notifies balancers that asked for a view, once this one has it. */
  notifyWaitingPeers(): void {
    if (this.waitingPeers.size > 0 && !this.dependencies.lacksView()) {
      this.dependencies.link.sendToAll([...this.waitingPeers], this.createStatus(false));
      this.waitingPeers.clear();
    }
  }

  /** Number of known balancers, including this one. */
  get clusterSize(): number {
    return this.peers.size + 1;
  }

  /**
   * Sends the status to every known balancer.
   * @param delta registry changes that they may lack
   */
  broadcastStatus(delta?: RegistryDelta): void {
    const sentDelta = delta && delta.changes.length <= MAXIMUM_DELTA_CHANGES ? delta : undefined;
    this.dependencies.link.sendToAll([...this.peers], this.createStatus(false, sentDelta));
  }

  private updateWaitingPeers(peer: Endpoint, status: PeerStatusMessage): void {
    const hasView = status.viewComplete === 1 && status.routingVersion > 0;
    if (hasView || this.waitingPeers.size >= MAXIMUM_PEERS) {
      this.waitingPeers.delete(peer);
    } else if (this.dependencies.lacksView()) {
      this.waitingPeers.add(peer);
    }
  }

  /** Whether a peer knows something that this balancer does not. */
  private isBehind(status: PeerStatusMessage): boolean {
    const { directory, getRegistryPosition, getRoutingVersion } = this.dependencies;
    const hasNewerTable = status.routingVersion > getRoutingVersion();
    const hasView = status.viewComplete === 1 && status.routingVersion > 0;
    const completesDirectory = hasView && !directory.isComplete;
    const known = getRegistryPosition();
    const { registryRevision: revision, storeEra: era } = status;
    const peerPosition = resolveEra({ era, revision }, known);
    return (
      hasNewerTable ||
      completesDirectory ||
      (status.viewComplete === 1 && isLater(peerPosition, known))
    );
  }

  private recordStatus(peer: Endpoint, status: PeerStatusMessage): void {
    const { detours, environment, relay, onStatus } = this.dependencies;
    const { zone, packetAddress, capacity, ready } = status;
    detours.recordStatus(peer, zone, ready === 1, environment.now());
    const balancerStatus = {
      zone,
      packetAddress,
      capacity: capacity / CAPACITY_SCALE,
      isReady: ready === 1,
    };
    relay.recordStatus(peer, balancerStatus, environment.now());
    onStatus(peer, balancerStatus);
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
    this.timer = environment.startTimer(STATUS_INTERVAL_MS, () => this.sendStatusRound());
    link.sendToAll(this.choosePeers(), this.createStatus(false));
  }

  /** Requests the status of the relays, and of some other peers. */
  private queryRelays(): void {
    const { environment, link, relay } = this.dependencies;
    this.relayTimer = environment.startTimer(RELAY_STATUS_INTERVAL_MS, () => this.queryRelays());
    const recipients = new Set([
      ...relay.listBalancersToPoll(environment.now()),
      ...this.choosePeers(),
    ]);
    link.sendToAll([...recipients], this.createStatus(true));
  }

  private choosePeers(): Endpoint[] {
    const candidates = [...this.peers];
    const chosen: Endpoint[] = [];
    while (candidates.length > 0 && chosen.length < PEERS_PER_ROUND) {
      const index = Math.floor(this.dependencies.environment.random() * candidates.length);
      chosen.push(...candidates.splice(index, 1));
    }
    return chosen;
  }

  private createStatus(isReplyWanted: boolean, delta?: RegistryDelta): PeerStatusMessage {
    const {
      directory,
      environment,
      evacuations,
      formerServices,
      getOwnStatus,
      getReaders,
      getRegistryPosition,
      getRoutingVersion,
    } = this.dependencies;
    const { era, revision } = getRegistryPosition();
    const { zone, packetAddress, capacity, isReady } = getOwnStatus();
    return {
      type: PacketMessageType.peerStatus,
      routingVersion: getRoutingVersion(),
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
      readers: getReaders(),
      delta,
      deregistrations: listDeregistrations(delta?.changes.map(({ agent }) => agent) ?? []),
      evacuations: evacuations.getCurrentIn(era),
      formerServices: formerServices.listAnnounced(environment.now()),
    };
  }

  /** Lists agents that report to this balancer but are not in the registry yet. */
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

/**
 * Balancers tell a few others now and then what they know, and fetch what they lack.
 *
 * A routing table reaches a balancer this way also while the store refuses it, and a
 * starting balancer takes over the view of a running one.
 */
import type { Endpoint, Environment, TimerHandle } from '../environment';
import type { AgentDirectory } from './agent-directory';
import type { Answer } from './collection-port';
import type { MessageLink } from '../wire/message-link';
import {
  PacketMessageType,
  type AgentRecord,
  type PacketMessage,
  type PeerStatusMessage,
} from './packet-messages';
import type { PeerSnapshot } from './peer-snapshot';

const STATUS_INTERVAL = 500;
/** Peers told in one round: a version spreads over n balancers in about log4(n) rounds. */
const PEERS_PER_ROUND = 3;
const MAXIMUM_PEERS = 64;
const MAXIMUM_UNREGISTERED = 32;

/** Fetches the snapshot of another balancer. */
export interface SnapshotPort {
  fetch(peer: Endpoint, answer: Answer<PeerSnapshot>): void;
}

/** What the exchange reads and changes. */
export interface PeerExchangeDependencies {
  readonly environment: Environment;
  readonly self: Endpoint;
  readonly seeds: readonly Endpoint[];
  readonly directory: AgentDirectory;
  readonly link: MessageLink<PacketMessage>;
  readonly snapshots: SnapshotPort;
  routingVersion(): number;
  snapshotReceived(peer: Endpoint, snapshot: PeerSnapshot): void;
  agentsReceived(agents: readonly AgentRecord[]): void;
}

/** The exchange of one balancer. */
export class PeerExchange {
  private readonly peers = new Set<Endpoint>();
  private fetching = false;
  private timer: TimerHandle | undefined;

  constructor(private readonly dependencies: PeerExchangeDependencies) {
    dependencies.seeds.forEach((seed) => this.learnPeer(seed));
  }

  start(): void {
    this.sendRound();
  }

  stop(): void {
    this.timer?.cancel();
  }

  /** Another balancer's address; beyond a number the one named longest ago is dropped. */
  learnPeer(peer: Endpoint): void {
    if (peer === this.dependencies.self) {
      return;
    }
    this.peers.delete(peer);
    this.peers.add(peer);
    if (this.peers.size > MAXIMUM_PEERS) {
      const [oldest] = this.peers;
      this.peers.delete(oldest!);
    }
  }

  /** Takes a peer's status and fetches from it what this balancer lacks. */
  receive(peer: Endpoint, status: PeerStatusMessage): void {
    this.learnPeer(peer);
    this.dependencies.agentsReceived(status.unregistered);
    const { directory, routingVersion } = this.dependencies;
    const newer = status.routingVersion > routingVersion();
    const wider = status.viewComplete === 1 && !directory.isComplete;
    if ((newer || wider) && !this.fetching) {
      this.fetch(peer);
    }
  }

  private fetch(peer: Endpoint): void {
    this.fetching = true;
    this.dependencies.snapshots.fetch(peer, (result) => {
      this.fetching = false;
      if (result.ok) {
        this.dependencies.snapshotReceived(peer, result.val);
      }
    });
  }

  private sendRound(): void {
    const { environment } = this.dependencies;
    const status = this.status();
    this.choosePeers().forEach((peer) => this.dependencies.link.send(peer, status));
    this.timer = environment.startTimer(STATUS_INTERVAL, () => this.sendRound());
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

  private status(): PeerStatusMessage {
    const { directory, routingVersion } = this.dependencies;
    const unregistered: AgentRecord[] = [];
    for (const { address, service, zone, registryRevision } of directory.all()) {
      if (registryRevision === undefined && unregistered.length < MAXIMUM_UNREGISTERED) {
        unregistered.push({ address, service, zone });
      }
    }
    return {
      type: PacketMessageType.peerStatus,
      routingVersion: routingVersion(),
      viewComplete: directory.isComplete ? 1 : 0,
      unregistered,
    };
  }
}

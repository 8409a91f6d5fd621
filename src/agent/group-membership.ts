/**
 * One agent's view of which agents of its service are alive.
 *
 * Agents send each other heartbeats. A peer counts as dead only when a quorum of the
 * table's targets has received no heartbeat from it for PEER_TIMEOUT_MS; an owner admits
 * flows only within OWNER_LEASE_MS of a heartbeat that a quorum echoed. Any two quorums
 * share a member and the lease is shorter than the time-out, so a bucket's old owner stops
 * before the new one may start. Groups of one or two targets have no quorum and prefer
 * availability; docs/DESIGN.md discusses this trade-off.
 */
import type { PlacementCandidate } from '../core/placement';
import type { ServiceTable, TableRow } from '../core/table';
import {
  HEARTBEAT_INTERVAL_MS,
  OWNER_LEASE_MS,
  PEER_TIMEOUT_MS,
  WARM_UP_DURATION_MS,
} from '../core/timing';
import type { Endpoint } from '../environment';
import { Events } from '../logging/events';
import {
  AgentState,
  MessageType,
  type AgentStateValue,
  type HeartbeatMessage,
  type TargetNotice,
} from '../wire/messages';
import type { AgentContext } from './agent-context';

const MAXIMUM_SENT_TIMES = 16;
const LOAD_SCALE = 1_000;
/** Longer than an agent needs to claim its buckets again after a disconnection. */
const DISCONNECTION_RETENTION_MS = 10_000;
const MINIMUM_QUORUM_GROUP_SIZE = 3;

/** One other agent of the service. */
export interface Peer {
  readonly target: string;
  endpoint: Endpoint;
  row: TableRow | undefined;
  /** 0 until the first heartbeat. */
  incarnation: number;
  state: AgentStateValue;
  stateSequence: number;
  /** Time of the last heartbeat, or when the peer was added. */
  lastHeard: number;
  heardSequence: number;
  /** When this agent sent its latest heartbeat that the peer has echoed. */
  echoedAt: number;
  /** Targets from which the peer has received no heartbeat within the time-out. */
  unheard: readonly string[];
  dead: boolean;
  flows: number;
  placedSince: number;
  freeSlots: number;
  load: number;
  warmSince: number;
}

/** State handed to the successor. */
export interface GroupMembershipState {
  readonly sequence: number;
  readonly sentTimes: readonly { readonly sequence: number; readonly at: number }[];
  readonly peers: readonly Peer[];
  readonly table: ServiceTable | undefined;
}

/** An agent's own status, as sent in its heartbeats. */
export interface OwnStatus {
  readonly state: AgentStateValue;
  readonly stateSequence: number;
  readonly flows: number;
  readonly freeSlots: number;
  /** 0 to 1. */
  readonly load: number;
  /** Milliseconds since the back end started serving. */
  readonly age: number;
}

/** Callbacks for membership changes, and sources of heartbeat content. */
export interface MembershipListener {
  /** Eligibility may have changed: owners must be recomputed. */
  onMembersChanged(): void;
  /** A peer sent its first heartbeat, or is alive after it counted as dead. */
  onPeerAppeared(peer: Peer): void;
  /** A peer is dead or has restarted: the flows it hosted have ended. */
  onPeerLost(peer: Peer): void;
  /** This agent was disconnected: peers may have taken over its buckets. */
  onDisconnected(): void;
  /** Flows that ended at a peer. */
  onFlowsClosed(peer: Peer, closed: Buffer): void;
  /** Removes and returns ended flows whose buckets the peer owns. */
  takeClosedFlows(target: string): Buffer;
  getOwnStatus(): OwnStatus;
}

/** One agent's view of its service's group. */
export class GroupMembership {
  private readonly peers = new Map<string, Peer>();
  private readonly sentTimes = new Map<number, number>();
  private sequence = 0;
  private activeTable: ServiceTable | undefined;
  private hadQuorum = true;
  private disconnectedAt = -Infinity;
  private lastHeartbeatAt: number;

  constructor(
    private readonly context: AgentContext,
    private readonly listener: MembershipListener,
  ) {
    this.lastHeartbeatAt = context.environment.now();
  }

  /** The service's active table. */
  get table(): ServiceTable | undefined {
    return this.activeTable;
  }

  /** Revision of the active table; 0 before the first. */
  get tableRevision(): number {
    return this.activeTable?.revision ?? 0;
  }

  /** This agent's own row, unless the table has none. */
  get ownRow(): TableRow | undefined {
    return this.activeTable?.rows.find((row) => row.target === this.context.settings.target);
  }

  peer(target: string): Peer | undefined {
    return this.peers.get(target);
  }

  /** Peers that must answer before a bucket may be taken over. */
  listPeersToQuery(): Peer[] {
    return [...this.peers.values()].filter(
      (peer) => !peer.dead && peer.state !== AgentState.stopped,
    );
  }

  /** Applies a newer table; returns false for one that is not newer. */
  applyTable(table: ServiceTable): boolean {
    const isChecked = this.context.safeguards.has('revision-check');
    if (isChecked && table.revision <= this.tableRevision) {
      return false;
    }
    this.activeTable = table;
    const rows = new Map(table.rows.map((row) => [row.target, row]));
    rows.delete(this.context.settings.target);
    for (const peer of this.peers.values()) {
      peer.row = rows.get(peer.target);
    }
    for (const row of rows.values()) {
      this.ensurePeer(row.target, row.address).endpoint = row.address;
      this.peers.get(row.target)!.row = row;
    }
    this.listener.onMembersChanged();
    return true;
  }

  /** Targets that may own buckets; includes this agent's if it is eligible. */
  listEligibleTargets(): string[] {
    const targets = [...this.peers.values()].filter(isServing).map((peer) => peer.target);
    const ownShare = this.ownRow?.share ?? 0;
    if (ownShare > 0 && this.listener.getOwnStatus().state === AgentState.serving) {
      targets.push(this.context.settings.target);
    }
    return targets.sort();
  }

  /** Targets that may receive new flows, with their reported load. */
  listCandidates(): PlacementCandidate[] {
    const now = this.context.environment.now();
    const found = [...this.peers.values()].filter(isServing).map((peer) => ({
      target: peer.target,
      address: peer.endpoint,
      share: peer.row!.share,
      connections: peer.row!.connections,
      reportedFlows: peer.flows,
      placedSince: peer.placedSince,
      reportedLoad: peer.load,
      warmth: Math.min(1, (now - peer.warmSince) / WARM_UP_DURATION_MS),
    }));
    const own = this.createOwnCandidate();
    return own ? [...found, own] : found;
  }

  /** Whether a quorum of the group has echoed a heartbeat of this agent within the lease. */
  holdsQuorum(): boolean {
    const rows = this.activeTable?.rows ?? [];
    if (rows.length < MINIMUM_QUORUM_GROUP_SIZE) {
      return true;
    }
    const oldest = this.context.environment.now() - OWNER_LEASE_MS;
    const echoed = rows.filter((row) => (this.peers.get(row.target)?.echoedAt ?? -1) > oldest);
    const own = this.ownRow ? 1 : 0;
    const held = echoed.length + own >= computeQuorum(rows.length);
    this.updateQuorum(held);
    return held;
  }

  /** Whether this agent was recently disconnected from its group: cut off or frozen. */
  get wasDisconnectedRecently(): boolean {
    return this.context.environment.now() - this.disconnectedAt < DISCONNECTION_RETENTION_MS;
  }

  /** Sends a heartbeat to every peer that is not known to have stopped. */
  sendHeartbeats(): void {
    this.detectFreeze();
    this.advanceSequence();
    for (const peer of this.peers.values()) {
      if (peer.row !== undefined || peer.state !== AgentState.stopped) {
        this.sendHeartbeat(peer);
      }
    }
    this.removeStopped();
    this.detectDeadPeers();
  }

  /** Handles a peer's heartbeat, received from `from`. */
  receive(message: HeartbeatMessage, from: Endpoint): void {
    const peer = this.ensurePeer(message.target, from);
    if (message.incarnation < peer.incarnation) {
      return;
    }
    const isRestarted = message.incarnation > peer.incarnation && peer.incarnation > 0;
    const isNew = peer.incarnation === 0 || peer.dead || isRestarted;
    if (isRestarted) {
      this.listener.onPeerLost(peer);
    }
    const wasServing = isServing(peer);
    this.updatePeer(peer, message);
    if (isNew) {
      this.context.environment.report(Events.memberJoined, { member: peer.target });
      this.sendHeartbeat(peer);
      this.listener.onPeerAppeared(peer);
    }
    this.listener.onFlowsClosed(peer, message.closed);
    this.detectDeadPeers();
    if (isNew || isServing(peer) !== wasServing) {
      this.listener.onMembersChanged();
    }
  }

  /** Marks a peer alive when another message than a heartbeat arrives from it. */
  markAlive(target: string): void {
    const peer = this.peers.get(target);
    if (peer?.dead) {
      peer.dead = false;
      peer.lastHeard = this.context.environment.now();
      this.listener.onMembersChanged();
      this.listener.onPeerAppeared(peer);
    }
  }

  /** State notices for balancers: peers that are dead, draining or stopped. */
  listNotices(): TargetNotice[] {
    return [...this.peers.values()]
      .filter((peer) => peer.incarnation > 0 && (peer.dead || peer.state !== AgentState.serving))
      .map((peer) => ({
        target: peer.target,
        incarnation: peer.incarnation,
        stateSequence: peer.stateSequence,
        state: peer.dead ? AgentState.stopped : peer.state,
      }));
  }

  exportState(): GroupMembershipState {
    const sentTimes = [...this.sentTimes].map(([sequence, at]) => ({ sequence, at }));
    return {
      sequence: this.sequence,
      sentTimes,
      peers: [...this.peers.values()],
      table: this.activeTable,
    };
  }

  importState(state: GroupMembershipState): void {
    this.sequence = state.sequence;
    this.activeTable = state.table;
    state.sentTimes.forEach(({ sequence, at }) => this.sentTimes.set(sequence, at));
    state.peers.forEach((peer) => this.peers.set(peer.target, { ...peer }));
  }

  private createOwnCandidate(): PlacementCandidate | undefined {
    const row = this.ownRow;
    const status = this.listener.getOwnStatus();
    if (!row || status.state !== AgentState.serving) {
      return undefined;
    }
    return {
      target: row.target,
      address: row.address,
      share: row.share,
      connections: row.connections,
      reportedFlows: status.flows,
      placedSince: 0,
      reportedLoad: status.load,
      warmth: Math.min(1, status.age / WARM_UP_DURATION_MS),
    };
  }

  private ensurePeer(target: string, endpoint: Endpoint): Peer {
    const known = this.peers.get(target);
    if (known) {
      return known;
    }
    const now = this.context.environment.now();
    const peer: Peer = {
      target,
      endpoint,
      row: this.activeTable?.rows.find((row) => row.target === target),
      incarnation: 0,
      state: AgentState.serving,
      stateSequence: 0,
      lastHeard: now,
      heardSequence: 0,
      echoedAt: -Infinity,
      unheard: [],
      dead: false,
      flows: 0,
      placedSince: 0,
      freeSlots: 0,
      load: 0,
      warmSince: now,
    };
    this.peers.set(target, peer);
    this.sendHeartbeat(peer);
    return peer;
  }

  private updatePeer(peer: Peer, message: HeartbeatMessage): void {
    const now = this.context.environment.now();
    if (message.state !== peer.state && message.state !== AgentState.serving) {
      this.context.environment.report(Events.memberLeaving, { member: peer.target });
    }
    peer.incarnation = message.incarnation;
    peer.state = message.state;
    peer.stateSequence = message.stateSequence;
    peer.lastHeard = now;
    peer.heardSequence = message.sequence;
    peer.unheard = message.unheard;
    peer.dead = false;
    peer.flows = message.flows;
    peer.placedSince = 0;
    peer.freeSlots = message.freeSlots;
    peer.load = message.load / LOAD_SCALE;
    peer.warmSince = now - message.age;
    if (message.echoIncarnation === this.context.settings.incarnation) {
      peer.echoedAt = Math.max(peer.echoedAt, this.sentTimes.get(message.echo) ?? -Infinity);
    }
  }

  private recordDisconnection(): void {
    this.disconnectedAt = this.context.environment.now();
    this.listener.onDisconnected();
  }

  /** A long pause between this agent's own heartbeats means that its process was frozen. */
  private detectFreeze(): void {
    const now = this.context.environment.now();
    if (now - this.lastHeartbeatAt > OWNER_LEASE_MS) {
      this.recordDisconnection();
    }
    this.lastHeartbeatAt = now;
  }

  private advanceSequence(): void {
    this.sequence++;
    this.sentTimes.set(this.sequence, this.context.environment.now());
    this.sentTimes.delete(this.sequence - MAXIMUM_SENT_TIMES);
  }

  private sendHeartbeat(peer: Peer): void {
    if (this.sequence === 0) {
      this.advanceSequence();
    }
    const { settings } = this.context;
    const status = this.listener.getOwnStatus();
    this.context.send(peer.endpoint, {
      type: MessageType.heartbeat,
      service: settings.service,
      target: settings.target,
      incarnation: settings.incarnation,
      sequence: this.sequence,
      echo: peer.heardSequence,
      echoIncarnation: peer.incarnation,
      state: status.state,
      stateSequence: status.stateSequence,
      tableRevision: this.tableRevision,
      flows: status.flows,
      freeSlots: status.freeSlots,
      load: Math.round(status.load * LOAD_SCALE),
      age: Math.round(status.age),
      unheard: this.listUnheardTargets(),
      closed: this.listener.takeClosedFlows(peer.target),
    });
  }

  private listUnheardTargets(): string[] {
    return [...this.peers.values()]
      .filter((peer) => this.isUnresponsive(peer))
      .map((peer) => peer.target);
  }

  private isUnresponsive(peer: Peer): boolean {
    return this.context.environment.now() - peer.lastHeard > PEER_TIMEOUT_MS;
  }

  private detectDeadPeers(): void {
    const newlyDead = [...this.peers.values()].filter(
      (peer) => !peer.dead && this.isUnresponsive(peer) && this.isDeadByQuorum(peer),
    );
    for (const peer of newlyDead) {
      peer.dead = true;
      this.context.environment.report(Events.memberDead, { member: peer.target });
      this.listener.onPeerLost(peer);
    }
    if (newlyDead.length > 0) {
      this.listener.onMembersChanged();
    }
  }

  private isDeadByQuorum(subject: Peer): boolean {
    const voters = this.activeTable?.rows.length ?? 0;
    if (voters < MINIMUM_QUORUM_GROUP_SIZE) {
      return true;
    }
    const confirming = [...this.peers.values()].filter(
      (peer) =>
        peer.row !== undefined &&
        !this.isUnresponsive(peer) &&
        peer.unheard.includes(subject.target),
    );
    const own = this.ownRow ? 1 : 0;
    return confirming.length + own >= computeQuorum(voters);
  }

  /** Removes dead and stopped peers not in the table: they will not return under this name. */
  private removeStopped(): void {
    for (const peer of this.peers.values()) {
      const silence = this.context.environment.now() - peer.lastHeard;
      const isGone = peer.dead || peer.state === AgentState.stopped;
      if (isGone && peer.row === undefined && silence > PEER_TIMEOUT_MS + HEARTBEAT_INTERVAL_MS) {
        this.peers.delete(peer.target);
      }
    }
  }

  private updateQuorum(hasQuorum: boolean): void {
    if (!hasQuorum) {
      this.recordDisconnection();
    }
    if (hasQuorum !== this.hadQuorum) {
      this.hadQuorum = hasQuorum;
      this.context.environment.report(hasQuorum ? Events.quorumRegained : Events.quorumLost, {});
    }
  }
}

function computeQuorum(voters: number): number {
  return Math.floor(voters / 2) + 1;
}

function isServing(peer: Peer): boolean {
  const hasShare = peer.row !== undefined && peer.row.share > 0;
  return hasShare && peer.incarnation > 0 && !peer.dead && peer.state === AgentState.serving;
}

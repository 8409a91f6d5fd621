/**
 * Membership and failure detection of balancers, after SWIM, at a constant cost per
 * node. Each interval one member is probed, directly and then through other members;
 * membership updates are piggybacked on the probes.
 */
import { PROBE_INTERVAL_MS, PROBE_TIMEOUT_MS, SUSPICION_TIMEOUT_MS } from '../core/timing';
import type { Endpoint } from '../environment';
import { Events, type EventKind } from '../logging/events';
import {
  MemberState,
  MessageType,
  type GossipFields,
  type JoinMessage,
  type MemberListMessage,
  type MemberRecord,
  type MemberStateValue,
  type PingAnswerMessage,
  type PingMessage,
  type PingRequestMessage,
  type ServiceTargetNotice,
} from '../wire/messages';
import type { BalancerContext } from './balancer-context';
import { GossipQueue } from './gossip-queue';
import { MemberList } from './member-list';

const INDIRECT_PROBE_COUNT = 3;
const UPDATES_PER_MESSAGE = 6;
const MEMBERS_PER_LIST_PART = 20;
/** Transmissions of an update before it is dropped, as a multiple of log2 of the group size. */
const TRANSMISSION_MULTIPLIER = 3;
/** Probe intervals between probes of a dead member and a seed, which end a partition. */
const INTERVALS_PER_RECONNECT = 3;
const INTERVALS_PER_EXPIRY = 60;

/** Receives what gossip messages carry, and supplies the state that they announce. */
export interface GossipListener {
  /** A peer has all tables through `revision`; `aheadDigest` covers those it has after that. */
  handlePeerRevision(revision: number, aheadDigest: number, from: Endpoint): void;
  /** Applies a state notice of a target; returns true when it changed the recorded state. */
  applyTargetNotice(notice: ServiceTargetNotice): boolean;
  handleMembersChanged(): void;
  /** Revision through which this balancer has all tables. */
  getCompleteRevision(): number;
  /** Digest of the tables that it has after that revision. */
  getAheadDigest(): number;
  listTargetNotices(): ServiceTargetNotice[];
}

interface Probe {
  readonly subject: MemberRecord;
  answered: boolean;
}

/** The view that a balancer has of its peers. */
export class BalancerMembership {
  private readonly memberList = new MemberList();
  private readonly memberUpdates = new GossipQueue<MemberRecord>();
  private readonly targetUpdates = new GossipQueue<ServiceTargetNotice>();
  private readonly probes = new Map<number, Probe>();
  private readonly relayedProbes = new Map<number, { requester: Endpoint; sequence: number }>();
  private ownRecord: MemberRecord;
  private sequence = 0;
  private ticks = 0;
  private running = false;
  private joined = false;

  constructor(
    private readonly context: BalancerContext,
    private readonly listener: GossipListener,
  ) {
    const { name, endpoint, zone, incarnation } = context.settings;
    this.ownRecord = { name, endpoint, zone, incarnation, state: MemberState.alive };
  }

  /** This balancer's own record. */
  get self(): MemberRecord {
    return this.ownRecord;
  }

  /** True once a peer has answered, or when there is no seed. */
  get hasJoined(): boolean {
    return this.joined || this.listSeeds().length === 0;
  }

  /** Other balancers that are not dead. */
  listLive(): MemberRecord[] {
    return this.memberList.listLive();
  }

  /** Other balancers that are neither dead nor leaving. */
  listActive(): MemberRecord[] {
    return this.memberList.listLive().filter((member) => member.state !== MemberState.leaving);
  }

  /** All other known balancers, including dead ones. */
  listKnown(): MemberRecord[] {
    return this.memberList.listAll();
  }

  /** Up to `count` distinct live members, chosen at random. */
  sample(count: number): MemberRecord[] {
    const chosen = new Map<string, MemberRecord>();
    const maximumAttempts = count * 3;
    for (let attempt = 0; attempt < maximumAttempts && chosen.size < count; attempt++) {
      const member = this.memberList.pickRandomLive(this.context.environment.random());
      if (member) {
        chosen.set(member.name, member);
      }
    }
    return [...chosen.values()];
  }

  start(): void {
    this.running = true;
    this.join();
    const { environment } = this.context;
    environment.startTimer(environment.random() * PROBE_INTERVAL_MS, () => this.tick());
  }

  stop(): void {
    this.running = false;
  }

  /** Announces a planned stop to the peers. */
  leave(): void {
    this.changeOwnState(MemberState.leaving);
  }

  /** Adds members without gossiping them. */
  addMembers(members: readonly MemberRecord[]): void {
    const now = this.context.environment.now();
    const others = members.filter((member) => member.name !== this.ownRecord.name);
    others.forEach((member) => this.memberList.apply(member, now));
    this.joined = this.joined || others.length > 0;
  }

  /** Queues a state notice of a target for gossip. */
  queueTargetNotice(notice: ServiceTargetNotice): void {
    this.targetUpdates.add(`${notice.service}/${notice.target}`, notice);
  }

  handlePing(message: PingMessage, from: Endpoint): void {
    this.applyGossip(message, from);
    const gossipFields = this.createGossip(message.sequence);
    const members = [...this.findContradictingRecord(message.sender), ...gossipFields.members];
    this.context.send(from, { type: MessageType.pingAnswer, ...gossipFields, members });
  }

  handlePingAnswer(message: PingAnswerMessage, from: Endpoint): void {
    this.joined = true;
    this.applyGossip(message, from);
    const probe = this.probes.get(message.sequence);
    if (probe) {
      probe.answered = true;
    }
    const relayedProbe = this.relayedProbes.get(message.sequence);
    if (relayedProbe) {
      this.relayedProbes.delete(message.sequence);
      const answer = { ...message, sequence: relayedProbe.sequence };
      this.context.send(relayedProbe.requester, answer);
    }
  }

  handlePingRequest(message: PingRequestMessage, from: Endpoint): void {
    this.applyGossip(message, from);
    const sequence = this.allocateSequence();
    this.relayedProbes.set(sequence, { requester: from, sequence: message.sequence });
    this.context.environment.startTimer(PROBE_INTERVAL_MS, () =>
      this.relayedProbes.delete(sequence),
    );
    this.context.send(message.subject, { type: MessageType.ping, ...this.createGossip(sequence) });
  }

  /** Answers a joining balancer with all members and target notices. */
  handleJoin(message: JoinMessage, from: Endpoint): void {
    this.applyMember(message.sender);
    const members = [this.ownRecord, ...this.memberList.listLive()];
    const targets = this.listener.listTargetNotices();
    const parts = Math.max(1, Math.ceil(members.length / MEMBERS_PER_LIST_PART));
    const targetsPerPart = Math.ceil(targets.length / parts);
    for (let part = 0; part < parts; part++) {
      const start = part * MEMBERS_PER_LIST_PART;
      this.context.send(from, {
        type: MessageType.memberList,
        members: members.slice(start, start + MEMBERS_PER_LIST_PART),
        targets: targets.slice(part * targetsPerPart, (part + 1) * targetsPerPart),
      });
    }
    this.listener.handlePeerRevision(message.haveThrough, 0, from);
  }

  handleMemberList(message: MemberListMessage): void {
    this.joined = true;
    message.members.forEach((member) => this.applyMember(member));
    message.targets.forEach((notice) => this.listener.applyTargetNotice(notice));
  }

  /** The record of a sender that counts as suspect or dead here, so that it can refute it. */
  private findContradictingRecord(sender: MemberRecord): MemberRecord[] {
    const known = this.memberList.get(sender.name);
    return known && known.state !== sender.state ? [known] : [];
  }

  private listSeeds(): Endpoint[] {
    const { peers, endpoint } = this.context.settings;
    return peers.filter((peer) => peer !== endpoint);
  }

  private join(): void {
    if (!this.running || this.hasJoined) {
      return;
    }
    const candidates = this.listSeeds();
    const seed = candidates[Math.floor(this.context.environment.random() * candidates.length)]!;
    this.sendJoin(seed);
    this.context.environment.startTimer(PROBE_TIMEOUT_MS, () => this.join());
  }

  private sendJoin(seed: Endpoint): void {
    this.context.send(seed, {
      type: MessageType.join,
      sender: this.ownRecord,
      haveThrough: this.listener.getCompleteRevision(),
    });
  }

  private tick(): void {
    if (!this.running) {
      return;
    }
    this.ticks++;
    this.probeRandomMember();
    if (this.ticks % INTERVALS_PER_RECONNECT === 0) {
      this.reconnect();
    }
    if (this.ticks % INTERVALS_PER_EXPIRY === 0) {
      this.memberList.removeExpired(this.context.environment.now());
    }
    this.context.environment.startTimer(PROBE_INTERVAL_MS, () => this.tick());
  }

  private probeRandomMember(): void {
    const sequence = this.allocateSequence();
    const subject = this.memberList.pickRandomLive(this.context.environment.random());
    if (!subject) {
      return;
    }
    const probe: Probe = { subject, answered: false };
    this.probes.set(sequence, probe);
    this.context.send(subject.endpoint, { type: MessageType.ping, ...this.createGossip(sequence) });
    const { environment } = this.context;
    environment.startTimer(PROBE_TIMEOUT_MS, () => this.probeIndirectly(probe, sequence));
    environment.startTimer(PROBE_INTERVAL_MS, () => this.concludeProbe(probe, sequence));
  }

  private probeIndirectly(probe: Probe, sequence: number): void {
    if (probe.answered) {
      return;
    }
    for (const helper of this.sample(INDIRECT_PROBE_COUNT)) {
      if (helper.name !== probe.subject.name) {
        this.context.send(helper.endpoint, {
          type: MessageType.pingRequest,
          ...this.createGossip(sequence),
          subject: probe.subject.endpoint,
        });
      }
    }
  }

  private concludeProbe(probe: Probe, sequence: number): void {
    this.probes.delete(sequence);
    const current = this.memberList.get(probe.subject.name);
    if (probe.answered || !current || current.state === MemberState.dead) {
      return;
    }
    if (current.incarnation === probe.subject.incarnation) {
      const { state } = current;
      this.applyMember({
        ...current,
        state: state === MemberState.leaving ? MemberState.dead : MemberState.suspect,
      });
    }
  }

  /**
   * Probes a dead member and a seed that is not a live member. Otherwise groups would stay
   * apart after a network partition, or when members joined through each other in pairs.
   */
  private reconnect(): void {
    const { environment } = this.context;
    const deadMember = this.memberList.pickRandomDead(environment.random());
    if (deadMember) {
      const gossipFields = this.createGossip(this.allocateSequence());
      const members = [deadMember, ...gossipFields.members];
      this.context.send(deadMember.endpoint, { type: MessageType.ping, ...gossipFields, members });
    }
    const liveEndpoints = new Set(this.memberList.listLive().map((member) => member.endpoint));
    const unknownSeeds = this.listSeeds().filter((seed) => !liveEndpoints.has(seed));
    if (unknownSeeds.length > 0) {
      // A probe, not a join: a join is answered with all members, and many may send one at once.
      const seed = unknownSeeds[Math.floor(environment.random() * unknownSeeds.length)]!;
      this.context.send(seed, {
        type: MessageType.ping,
        ...this.createGossip(this.allocateSequence()),
      });
    }
  }

  private allocateSequence(): number {
    return ++this.sequence;
  }

  private createGossip(sequence: number): GossipFields {
    const maximumTransmissions =
      TRANSMISSION_MULTIPLIER * Math.ceil(Math.log2(this.memberList.liveCount + 2));
    return {
      sequence,
      sender: this.ownRecord,
      haveThrough: this.listener.getCompleteRevision(),
      beyond: this.listener.getAheadDigest(),
      members: this.memberUpdates.takeBatch(UPDATES_PER_MESSAGE, maximumTransmissions),
      targets: this.targetUpdates.takeBatch(UPDATES_PER_MESSAGE, maximumTransmissions),
    };
  }

  private applyGossip(message: GossipFields, from: Endpoint): void {
    this.applyMember(message.sender);
    message.members.forEach((member) => this.applyMember(member));
    for (const notice of message.targets) {
      if (this.listener.applyTargetNotice(notice)) {
        this.queueTargetNotice(notice);
      }
    }
    this.listener.handlePeerRevision(message.haveThrough, message.beyond, from);
  }

  private applyMember(record: MemberRecord): void {
    if (record.name === this.ownRecord.name) {
      this.refute(record);
      return;
    }
    const previousState = this.memberList.get(record.name)?.state;
    if (!this.memberList.apply(record, this.context.environment.now())) {
      return;
    }
    this.memberUpdates.add(record.name, record);
    this.reportStateChange(record, previousState);
    if (record.state === MemberState.suspect) {
      this.startSuspicionTimer(record);
    }
    this.listener.handleMembersChanged();
  }

  private refute(record: MemberRecord): void {
    const isContradicted =
      record.state !== MemberState.alive && record.state !== this.ownRecord.state;
    if (isContradicted && record.incarnation >= this.ownRecord.incarnation) {
      this.ownRecord = { ...this.ownRecord, incarnation: record.incarnation + 1 };
      this.memberUpdates.add(this.ownRecord.name, this.ownRecord);
    }
  }

  private changeOwnState(state: MemberStateValue): void {
    this.ownRecord = { ...this.ownRecord, incarnation: this.ownRecord.incarnation + 1, state };
    this.memberUpdates.add(this.ownRecord.name, this.ownRecord);
  }

  private startSuspicionTimer(record: MemberRecord): void {
    this.context.environment.startTimer(SUSPICION_TIMEOUT_MS, () => {
      const current = this.memberList.get(record.name);
      const isUnrefuted = current?.incarnation === record.incarnation;
      if (isUnrefuted && current?.state === MemberState.suspect) {
        this.applyMember({ ...record, state: MemberState.dead });
      }
    });
  }

  private reportStateChange(
    record: MemberRecord,
    previousState: MemberStateValue | undefined,
  ): void {
    const event = MEMBER_EVENTS[record.state];
    if (record.state !== previousState) {
      this.context.environment.report(event, { member: record.name, zone: record.zone });
    }
  }
}

const MEMBER_EVENTS: Record<MemberStateValue, EventKind> = {
  [MemberState.alive]: Events.memberJoined,
  [MemberState.suspect]: Events.memberSuspected,
  [MemberState.dead]: Events.memberDead,
  [MemberState.leaving]: Events.memberLeaving,
};

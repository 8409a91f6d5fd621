/**
 * Which balancers are alive: a failure detector of constant cost per node, in the
 * manner of SWIM. Each interval one member is probed, directly and then through
 * others; news travels with the probes.
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
  type TargetRumour,
} from '../wire/messages';
import type { BalancerContext } from './balancer-context';
import { MemberList } from './member-list';
import { RumourQueue } from './rumour-queue';

const INDIRECT_PROBES = 3;
const RUMOURS_PER_MESSAGE = 6;
const MEMBERS_PER_LIST_PART = 20;
/** Multiplies log2 of the group's size: how often a rumour is sent before it is dropped. */
const RUMOUR_FACTOR = 3;
/** Every so many probes one goes to a dead member or a seed, to find the other side of a cut. */
const RECONNECT_EVERY = 3;
const FORGET_EVERY = 60;

/** Told of what gossip brings. */
export interface GossipListener {
  /** A peer has all tables through this revision, and `beyond` sums up what it has after that. */
  peerHasThrough(revision: number, beyond: number, from: Endpoint): void;
  /** News of a target; returns true when it was news here. */
  targetRumour(rumour: TargetRumour): boolean;
  membersChanged(): void;
  /** Revision through which this balancer has all tables. */
  haveThrough(): number;
  /** Digest of the tables that it has beyond that. */
  beyond(): number;
  allTargetRumours(): TargetRumour[];
}

interface Probe {
  readonly subject: MemberRecord;
  answered: boolean;
}

/** The balancer's view of its peers. */
export class BalancerMembership {
  private readonly list = new MemberList();
  private readonly memberRumours = new RumourQueue<MemberRecord>();
  private readonly targetRumours = new RumourQueue<TargetRumour>();
  private readonly probes = new Map<number, Probe>();
  private readonly relayed = new Map<number, { requester: Endpoint; sequence: number }>();
  private own: MemberRecord;
  private sequence = 0;
  private ticks = 0;
  private running = false;
  private joined = false;

  constructor(
    private readonly context: BalancerContext,
    private readonly listener: GossipListener,
  ) {
    const { name, endpoint, zone, incarnation } = context.settings;
    this.own = { name, endpoint, zone, incarnation, state: MemberState.alive };
  }

  /** This balancer's own record. */
  get self(): MemberRecord {
    return this.own;
  }

  /** True once a peer has answered, or when there is none to ask. */
  get hasJoined(): boolean {
    return this.joined || this.seeds().length === 0;
  }

  /** Other balancers that are not dead. */
  live(): MemberRecord[] {
    return this.list.live();
  }

  /** Other balancers that take part fully: neither dead nor leaving. */
  active(): MemberRecord[] {
    return this.list.live().filter((member) => member.state !== MemberState.leaving);
  }

  /** Every other balancer known, dead ones too. */
  known(): MemberRecord[] {
    return this.list.all();
  }

  /** Up to `count` different live members at random. */
  sample(count: number): MemberRecord[] {
    const chosen = new Map<string, MemberRecord>();
    const tries = count * 3;
    for (let attempt = 0; attempt < tries && chosen.size < count; attempt++) {
      const member = this.list.randomLive(this.context.environment.random());
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

  /** Announces the planned stop. */
  leave(): void {
    this.changeOwn(MemberState.leaving);
  }

  /** Takes members as known, without spreading them as news. */
  adopt(members: readonly MemberRecord[]): void {
    const now = this.context.environment.now();
    const others = members.filter((member) => member.name !== this.own.name);
    others.forEach((member) => this.list.apply(member, now));
    this.joined = this.joined || others.length > 0;
  }

  /** Spreads news of a target. */
  spread(rumour: TargetRumour): void {
    this.targetRumours.add(`${rumour.service}/${rumour.target}`, rumour);
  }

  receivePing(message: PingMessage, from: Endpoint): void {
    this.takeGossip(message, from);
    const gossip = this.gossip(message.sequence);
    const members = [...this.doubtsAbout(message.sender), ...gossip.members];
    this.context.send(from, { type: MessageType.pingAnswer, ...gossip, members });
  }

  receivePingAnswer(message: PingAnswerMessage, from: Endpoint): void {
    this.joined = true;
    this.takeGossip(message, from);
    const probe = this.probes.get(message.sequence);
    if (probe) {
      probe.answered = true;
    }
    const relay = this.relayed.get(message.sequence);
    if (relay) {
      this.relayed.delete(message.sequence);
      const answer = { ...message, sequence: relay.sequence };
      this.context.send(relay.requester, answer);
    }
  }

  receivePingRequest(message: PingRequestMessage, from: Endpoint): void {
    this.takeGossip(message, from);
    const sequence = this.nextSequence();
    this.relayed.set(sequence, { requester: from, sequence: message.sequence });
    this.context.environment.startTimer(PROBE_INTERVAL_MS, () => this.relayed.delete(sequence));
    this.context.send(message.subject, { type: MessageType.ping, ...this.gossip(sequence) });
  }

  /** Answers a joining balancer with all members and target news. */
  receiveJoin(message: JoinMessage, from: Endpoint): void {
    this.takeMember(message.sender);
    const members = [this.own, ...this.list.live()];
    const targets = this.listener.allTargetRumours();
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
    this.listener.peerHasThrough(message.haveThrough, 0, from);
  }

  receiveMemberList(message: MemberListMessage): void {
    this.joined = true;
    message.members.forEach((member) => this.takeMember(member));
    message.targets.forEach((rumour) => this.listener.targetRumour(rumour));
  }

  /** What a prober must hear to refute it: that it counts as suspect or dead here. */
  private doubtsAbout(sender: MemberRecord): MemberRecord[] {
    const believed = this.list.get(sender.name);
    return believed && believed.state !== sender.state ? [believed] : [];
  }

  private seeds(): Endpoint[] {
    const { peers, endpoint } = this.context.settings;
    return peers.filter((peer) => peer !== endpoint);
  }

  private join(): void {
    if (!this.running || this.hasJoined) {
      return;
    }
    const seeds = this.seeds();
    const seed = seeds[Math.floor(this.context.environment.random() * seeds.length)]!;
    this.sendJoin(seed);
    this.context.environment.startTimer(PROBE_TIMEOUT_MS, () => this.join());
  }

  private sendJoin(seed: Endpoint): void {
    this.context.send(seed, {
      type: MessageType.join,
      sender: this.own,
      haveThrough: this.listener.haveThrough(),
    });
  }

  private tick(): void {
    if (!this.running) {
      return;
    }
    this.ticks++;
    this.probeOne();
    if (this.ticks % RECONNECT_EVERY === 0) {
      this.reconnect();
    }
    if (this.ticks % FORGET_EVERY === 0) {
      this.list.forgetOld(this.context.environment.now());
    }
    this.context.environment.startTimer(PROBE_INTERVAL_MS, () => this.tick());
  }

  private probeOne(): void {
    const sequence = this.nextSequence();
    const subject = this.list.randomLive(this.context.environment.random());
    if (!subject) {
      return;
    }
    const probe: Probe = { subject, answered: false };
    this.probes.set(sequence, probe);
    this.context.send(subject.endpoint, { type: MessageType.ping, ...this.gossip(sequence) });
    const { environment } = this.context;
    environment.startTimer(PROBE_TIMEOUT_MS, () => this.probeIndirectly(probe, sequence));
    environment.startTimer(PROBE_INTERVAL_MS, () => this.concludeProbe(probe, sequence));
  }

  private probeIndirectly(probe: Probe, sequence: number): void {
    if (probe.answered) {
      return;
    }
    for (const helper of this.sample(INDIRECT_PROBES)) {
      if (helper.name !== probe.subject.name) {
        this.context.send(helper.endpoint, {
          type: MessageType.pingRequest,
          ...this.gossip(sequence),
          subject: probe.subject.endpoint,
        });
      }
    }
  }

  private concludeProbe(probe: Probe, sequence: number): void {
    this.probes.delete(sequence);
    const current = this.list.get(probe.subject.name);
    if (probe.answered || !current || current.state === MemberState.dead) {
      return;
    }
    if (current.incarnation === probe.subject.incarnation) {
      const { state } = current;
      this.takeMember({
        ...current,
        state: state === MemberState.leaving ? MemberState.dead : MemberState.suspect,
      });
    }
  }

  /**
   * Tries a dead member and a seed that is not among the live: after a cut heals, or
   * when members joined through each other in separate pairs, someone has to knock.
   */
  private reconnect(): void {
    const { environment } = this.context;
    const dead = this.list.randomDead(environment.random());
    if (dead) {
      const gossip = this.gossip(this.nextSequence());
      const members = [dead, ...gossip.members];
      this.context.send(dead.endpoint, { type: MessageType.ping, ...gossip, members });
    }
    const live = new Set(this.list.live().map((member) => member.endpoint));
    const strangers = this.seeds().filter((seed) => !live.has(seed));
    if (strangers.length > 0) {
      // A probe, not a join: a join is answered with every member, and many may knock at once.
      const stranger = strangers[Math.floor(environment.random() * strangers.length)]!;
      this.context.send(stranger, {
        type: MessageType.ping,
        ...this.gossip(this.nextSequence()),
      });
    }
  }

  private nextSequence(): number {
    return ++this.sequence;
  }

  private gossip(sequence: number): GossipFields {
    const transmissions = RUMOUR_FACTOR * Math.ceil(Math.log2(this.list.liveCount + 2));
    return {
      sequence,
      sender: this.own,
      haveThrough: this.listener.haveThrough(),
      beyond: this.listener.beyond(),
      members: this.memberRumours.take(RUMOURS_PER_MESSAGE, transmissions),
      targets: this.targetRumours.take(RUMOURS_PER_MESSAGE, transmissions),
    };
  }

  private takeGossip(message: GossipFields, from: Endpoint): void {
    this.takeMember(message.sender);
    message.members.forEach((member) => this.takeMember(member));
    for (const rumour of message.targets) {
      if (this.listener.targetRumour(rumour)) {
        this.spread(rumour);
      }
    }
    this.listener.peerHasThrough(message.haveThrough, message.beyond, from);
  }

  private takeMember(record: MemberRecord): void {
    if (record.name === this.own.name) {
      this.refute(record);
      return;
    }
    const before = this.list.get(record.name)?.state;
    if (!this.list.apply(record, this.context.environment.now())) {
      return;
    }
    this.memberRumours.add(record.name, record);
    this.reportChange(record, before);
    if (record.state === MemberState.suspect) {
      this.startSuspicion(record);
    }
    this.listener.membersChanged();
  }

  private refute(record: MemberRecord): void {
    const doubted = record.state !== MemberState.alive && record.state !== this.own.state;
    if (doubted && record.incarnation >= this.own.incarnation) {
      this.own = { ...this.own, incarnation: record.incarnation + 1 };
      this.memberRumours.add(this.own.name, this.own);
    }
  }

  private changeOwn(state: MemberStateValue): void {
    this.own = { ...this.own, incarnation: this.own.incarnation + 1, state };
    this.memberRumours.add(this.own.name, this.own);
  }

  private startSuspicion(record: MemberRecord): void {
    this.context.environment.startTimer(SUSPICION_TIMEOUT_MS, () => {
      const current = this.list.get(record.name);
      const unrefuted = current?.incarnation === record.incarnation;
      if (unrefuted && current?.state === MemberState.suspect) {
        this.takeMember({ ...record, state: MemberState.dead });
      }
    });
  }

  private reportChange(record: MemberRecord, before: MemberStateValue | undefined): void {
    const event = MEMBER_EVENTS[record.state];
    if (record.state !== before) {
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

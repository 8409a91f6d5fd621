/**
 * Clients' packets that come before a balancer that has just started can route them. Of a flow only
 * the newest packet waits, since its sender repeats the others.
 *
 * Opening packets come out in the order of what can still be answered within its latency goal, and
 * only as many as there are agents to share them: the first agents that are heard would else get all
 * that has come in the dark, one behind the other.
 */
import type { FlowKey, FlowPacket } from '../flow-packet';
import { getOpeningAge, OPENING_LIFETIME_MS } from './opening-age';

/** Flows that wait at most; the oldest is dropped beyond that. */
const MAXIMUM_FLOWS = 1_024;
/** Milliseconds after which a packet of an open flow is dropped: its sender has repeated it. */
const MAXIMUM_WAIT_MS = 600;

/** A packet that waits. */
interface WaitingPacket {
  readonly packet: FlowPacket;
  readonly since: number;
  /** When its flow's first opening packet was sent, as far as this one tells. */
  readonly openedAt: number;
}

/** Opening packets that the same agents can take. */
export interface OpeningGroup {
  /** Names the group. */
  readonly name: string;
  /** Part of the agents that can be reached, from 0 to 1; at 1 no opening packet has to wait. */
  readonly share: number;
  /** Milliseconds in which requests of the group are to be answered; 0 while unknown. */
  readonly latencyGoal: number;
}

/** Tells the group of an opening packet; undefined for one that no agent takes. */
export type GroupFinder = (packet: FlowPacket) => OpeningGroup | undefined;

interface GroupedPacket {
  readonly waiting: WaitingPacket;
  readonly group: OpeningGroup | undefined;
}

/** The backlog of one balancer. */
export class StartupBacklog {
  private readonly waiting = new Map<FlowKey, WaitingPacket>();
  /** Opening packets taken out so far, by group. */
  private readonly released = new Map<string, number>();
  private droppedPackets = 0;

  get size(): number {
    return this.waiting.size;
  }

  /** Packets that have waited too long, or that were too many. */
  get dropped(): number {
    return this.droppedPackets;
  }

  /** Keeps a packet in place of an earlier one of its flow. */
  add(packet: FlowPacket, now: number): void {
    const age = packet.opens ? getOpeningAge(packet.openingCopy) : 0;
    this.waiting.delete(packet.flow);
    this.waiting.set(packet.flow, { packet, since: now, openedAt: now - age });
    if (this.waiting.size > MAXIMUM_FLOWS) {
      const [oldest] = this.waiting.keys();
      this.waiting.delete(oldest!);
      this.droppedPackets++;
    }
  }

  /**
   * Takes out the opening packets that the agents reached so far can share: of all that have come
   * for a group, the part that these agents are of it.
   */
  takeOpenings(now: number, groupOf: GroupFinder): FlowPacket[] {
    this.dropStale(now);
    const ordered = this.orderOpenings(now, groupOf);
    const allowances = this.countAllowances(ordered);
    const taken = ordered.filter(({ group }) => consumeAllowance(group, allowances));
    taken.forEach(({ group }) => this.recordReleased(group));
    return this.removePackets(taken.map(({ waiting }) => waiting));
  }

  /** Takes out all that waits: opening packets first, then those of open flows as they came. */
  takeAll(now: number, groupOf: GroupFinder): FlowPacket[] {
    this.dropStale(now);
    return this.removePackets(this.orderAll(now, groupOf));
  }

  private orderAll(now: number, groupOf: GroupFinder): WaitingPacket[] {
    const openings = this.orderOpenings(now, groupOf).map(({ waiting }) => waiting);
    const others = [...this.waiting.values()].filter(({ packet }) => !packet.opens);
    return [...openings, ...others];
  }

  private removePackets(chosen: readonly WaitingPacket[]): FlowPacket[] {
    chosen.forEach(({ packet }) => this.waiting.delete(packet.flow));
    return chosen.map(({ packet }) => packet);
  }

  private dropStale(now: number): void {
    for (const [flow, waiting] of this.waiting) {
      if (isStale(waiting, now)) {
        this.waiting.delete(flow);
        this.droppedPackets++;
      }
    }
  }

  private orderOpenings(now: number, groupOf: GroupFinder): GroupedPacket[] {
    const openings = [...this.waiting.values()].filter(({ packet }) => packet.opens);
    const grouped = openings.map((waiting) => ({ waiting, group: groupOf(waiting.packet) }));
    return grouped.sort((one, other) => compareByGoal(one, other, now));
  }

  /** How many opening packets of each group may go now. */
  private countAllowances(ordered: readonly GroupedPacket[]): Map<string, number> {
    const waiting = new Map<string, number>();
    const allowances = new Map<string, number>();
    for (const { group } of ordered) {
      if (group) {
        const { name, share } = group;
        const released = this.released.get(name) ?? 0;
        waiting.set(name, (waiting.get(name) ?? 0) + 1);
        allowances.set(name, Math.ceil(share * (released + waiting.get(name)!)) - released);
      }
    }
    return allowances;
  }

  private recordReleased(group: OpeningGroup | undefined): void {
    if (group) {
      this.released.set(group.name, (this.released.get(group.name) ?? 0) + 1);
    }
  }
}

function isStale({ packet, since, openedAt: begunAt }: WaitingPacket, now: number): boolean {
  return packet.opens ? now - begunAt > OPENING_LIFETIME_MS : now - since > MAXIMUM_WAIT_MS;
}

/** Whether a packet may go by the allowance of its group, of which it then takes one. */
function consumeAllowance(
  group: OpeningGroup | undefined,
  allowances: Map<string, number>,
): boolean {
  if (!group) {
    return true;
  }
  const remaining = allowances.get(group.name) ?? 0;
  allowances.set(group.name, remaining - 1);
  return remaining > 0;
}

/** Those that can be answered in time come first; of these and of the others the one due first. */
function compareByGoal(one: GroupedPacket, other: GroupedPacket, now: number): number {
  const isOneLate = getDueTime(one) < now;
  const isOtherLate = getDueTime(other) < now;
  return isOneLate === isOtherLate
    ? getDueTime(one) - getDueTime(other)
    : Number(isOneLate) - Number(isOtherLate);
}

function getDueTime({ waiting, group }: GroupedPacket): number {
  const goal = group?.latencyGoal ?? 0;
  return waiting.openedAt + (goal > 0 ? goal : OPENING_LIFETIME_MS);
}

/**
 * Buffers clients' packets until a balancer that has just started can route them. Only the newest
 * packet of a flow is buffered, since its sender retransmits the others.
 *
 * Opening packets (SYN) are released in the order of what can still be answered within its latency
 * goal, and only in proportion to the agents reachable so far: otherwise the first of these would
 * get the whole backlog.
 */
import type { FlowKey, FlowPacket } from '../flow-packet';
import { getOpeningAge, OPENING_LIFETIME_MS } from './opening-age';

/** Maximum number of flows; beyond it the oldest is dropped. */
const MAXIMUM_FLOWS = 1_024;
/** Time after which a packet of an open flow is dropped: its sender has retransmitted it. */
const MAXIMUM_WAIT_MS = 600;

/** A buffered packet. */
interface WaitingPacket {
  readonly packet: FlowPacket;
  readonly since: number;
  /** Estimated time of its flow's first opening packet. */
  readonly openedAt: number;
}

/** Opening packets that the same agents can take. */
export interface OpeningGroup {
  /** Identifies the group. */
  readonly name: string;
  /** Fraction of the agents that are reachable, 0 to 1; at 1 no opening packet waits. */
  readonly share: number;
  /** Latency goal of the group's requests in milliseconds; 0 while unknown. */
  readonly latencyGoal: number;
}

/** Returns the group of an opening packet; undefined for one that no agent takes. */
export type GroupFinder = (packet: FlowPacket) => OpeningGroup | undefined;

interface GroupedPacket {
  readonly waiting: WaitingPacket;
  readonly group: OpeningGroup | undefined;
}

/** Backlog of one balancer. */
export class StartupBacklog {
  private readonly waiting = new Map<FlowKey, WaitingPacket>();
  /** Opening packets released so far, by group. */
  private readonly released = new Map<string, number>();
  private droppedPackets = 0;

  get size(): number {
    return this.waiting.size;
  }

  /** Number of packets that have waited too long or exceeded the limit. */
  get dropped(): number {
    return this.droppedPackets;
  }

  /** Adds a packet in place of an earlier one of its flow. */
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
   * Takes the opening packets that the reachable agents can share: of all received for a group, the
   * fraction of its agents that are reachable.
   */
  takeOpenings(now: number, findGroup: GroupFinder): FlowPacket[] {
    this.dropStale(now);
    const ordered = this.orderOpenings(now, findGroup);
    const allowances = this.countAllowances(ordered);
    const taken = ordered.filter(({ group }) => consumeAllowance(group, allowances));
    taken.forEach(({ group }) => this.recordReleased(group));
    return this.removePackets(taken.map(({ waiting }) => waiting));
  }

  /** Takes all packets: opening packets first, then those of open flows in order of arrival. */
  takeAll(now: number, findGroup: GroupFinder): FlowPacket[] {
    this.dropStale(now);
    return this.removePackets(this.orderAll(now, findGroup));
  }

  private orderAll(now: number, findGroup: GroupFinder): WaitingPacket[] {
    const openings = this.orderOpenings(now, findGroup).map(({ waiting }) => waiting);
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

  private orderOpenings(now: number, findGroup: GroupFinder): GroupedPacket[] {
    const openings = [...this.waiting.values()].filter(({ packet }) => packet.opens);
    const grouped = openings.map((waiting) => ({ waiting, group: findGroup(waiting.packet) }));
    return grouped.sort((one, other) => compareByGoal(one, other, now));
  }

  /** Number of opening packets of each group that may be released now. */
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

function isStale({ packet, since, openedAt }: WaitingPacket, now: number): boolean {
  return packet.opens ? now - openedAt > OPENING_LIFETIME_MS : now - since > MAXIMUM_WAIT_MS;
}

/** Whether the allowance of a packet's group permits its release; consumes one of it. */
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

/** Packets that can still be answered in time first; within both groups the one due first. */
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

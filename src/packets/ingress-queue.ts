/**
 * Clients' packets that a busy balancer has read from its socket and not handled yet.
 *
 * Packets of open flows come first, in order of arrival. Of opening packets the newest comes first: its
 * client still waits, while the clients of those before it may have given up. Served in order of arrival, a
 * balancer that is overloaded for longer than clients wait would spend all of its time on the latter.
 */
import type { FlowKey, FlowPacket } from './flow-packet';
import { getOpeningAge, OPENING_LIFETIME_MS } from './startup/opening-age';

/** Packets of each kind; beyond it the oldest is dropped. */
const MAXIMUM_PACKETS = 4_096;
/** Time after which a packet of an open flow is dropped: its sender has retransmitted it. */
const MAXIMUM_WAIT_MS = 600;

interface QueuedPacket {
  readonly packet: FlowPacket;
  /** Time after which it is of no use. */
  readonly until: number;
}

/** Queue of one balancer. */
export class IngressQueue {
  /** In order of arrival. */
  private readonly flowPackets = new Set<QueuedPacket>();
  /** In order of arrival; some have been replaced by a later copy. */
  private readonly openings: QueuedPacket[] = [];
  private readonly latestOpenings = new Map<FlowKey, QueuedPacket>();
  private droppedPackets = 0;

  get size(): number {
    return this.flowPackets.size + this.latestOpenings.size;
  }

  /** Number of packets that were dropped since they had waited too long or exceeded the limit. */
  get dropped(): number {
    return this.droppedPackets;
  }

  /** Adds a packet; an opening packet replaces an earlier copy. */
  add(packet: FlowPacket, now: number): void {
    if (packet.opens) {
      this.addOpening(packet, now);
      return;
    }
    this.flowPackets.add({ packet, until: now + MAXIMUM_WAIT_MS });
    if (this.flowPackets.size > MAXIMUM_PACKETS) {
      const [oldest] = this.flowPackets;
      this.flowPackets.delete(oldest!);
      this.droppedPackets++;
    }
  }

  /** Takes the packet to handle next; undefined when none is left. */
  take(now: number): FlowPacket | undefined {
    return this.takeFlowPacket(now) ?? this.takeOpening(now);
  }

  private addOpening(packet: FlowPacket, now: number): void {
    const until = now + OPENING_LIFETIME_MS - getOpeningAge(packet.openingCopy);
    const queued = { packet, until };
    this.openings.push(queued);
    this.latestOpenings.set(packet.flow, queued);
    if (this.openings.length > MAXIMUM_PACKETS) {
      this.dropOpening(this.openings.shift()!);
    }
  }

  private takeFlowPacket(now: number): FlowPacket | undefined {
    for (const queued of this.flowPackets) {
      this.flowPackets.delete(queued);
      if (now <= queued.until) {
        return queued.packet;
      }
      this.droppedPackets++;
    }
    return undefined;
  }

  private takeOpening(now: number): FlowPacket | undefined {
    for (let queued = this.openings.pop(); queued; queued = this.openings.pop()) {
      if (now > queued.until) {
        this.dropOpening(queued);
      } else if (this.latestOpenings.get(queued.packet.flow) === queued) {
        this.latestOpenings.delete(queued.packet.flow);
        return queued.packet;
      }
    }
    return undefined;
  }

  private dropOpening(queued: QueuedPacket): void {
    const { flow } = queued.packet;
    if (this.latestOpenings.get(flow) === queued) {
      this.latestOpenings.delete(flow);
      this.droppedPackets++;
    }
  }
}

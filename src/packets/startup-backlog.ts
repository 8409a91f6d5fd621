/**
 * Clients' packets that come before a balancer that has just started can route them: they wait
 * the moment until it has a routing table and agents. Of a flow only the newest packet waits,
 * since its sender repeats the others.
 */
import type { FlowKey } from './flow-packet';

/** Flows that wait at most; the oldest is dropped beyond that. */
const MAXIMUM_FLOWS = 1_024;
/** Milliseconds after which a packet is dropped: its sender has repeated it. */
const LONGEST_WAIT = 600;

interface WaitingDatagram {
  readonly bytes: Buffer;
  readonly since: number;
}

/** The backlog of one balancer. */
export class StartupBacklog {
  private readonly waiting = new Map<FlowKey, WaitingDatagram>();

  get size(): number {
    return this.waiting.size;
  }

  /** Keeps a packet in place of an earlier one of its flow. */
  add(flow: FlowKey, bytes: Buffer, now: number): void {
    this.waiting.delete(flow);
    this.waiting.set(flow, { bytes, since: now });
    if (this.waiting.size > MAXIMUM_FLOWS) {
      const [oldest] = this.waiting.keys();
      this.waiting.delete(oldest!);
    }
  }

  /** Takes out the packets that are not too old, in the order in which they came. */
  takeAll(now: number): Buffer[] {
    const fresh = [...this.waiting.values()].filter(({ since }) => now - since <= LONGEST_WAIT);
    this.waiting.clear();
    return fresh.map(({ bytes }) => bytes);
  }
}

/**
 * Packets of flows whose holder is being searched for: they wait for the outcome, which the
 * first packet of each flow brings about, and begin another search when none comes in time.
 */
import type { FlowKey, FlowPacket } from './flow-packet';
import type { Route } from './routing-table';

/** Packets of one flow that wait for its answer; the client repeats the others. */
const MAXIMUM_WAITING_PER_FLOW = 16;
const MAXIMUM_FLOWS = 4_096;

const MINIMUM_TIMEOUT_MS = 40;
const MAXIMUM_TIMEOUT_MS = 400;
/** Milliseconds that a whole processor needs to send and to read the outcome, with much to spare. */
const BASE_SEARCH_TIME_MS = 20;

/**
 * Milliseconds for each agent of a search, which visits it twice: sending across zones, and an
 * agent's turn while it handles others.
 */
const TIME_PER_AGENT_MS = 4;

/** Milliseconds in which a search has its outcome, for a balancer with so many processors. */
export function computeSearchTimeout(capacity: number): number {
  return Math.min(MAXIMUM_TIMEOUT_MS, Math.max(MINIMUM_TIMEOUT_MS, BASE_SEARCH_TIME_MS / capacity));
}

/** A packet that waits for its flow's holder. */
export interface WaitingPacket {
  readonly packet: FlowPacket;
  readonly route: Route;
  /** A search for which it has waited had no outcome: it begins no other one. */
  readonly hasWaited?: boolean;
}

interface PendingSearch {
  dueAt: number;
  /** A packet that begins another search by itself, as it has not been offered to anybody. */
  retry: WaitingPacket | undefined;
  readonly waiting: WaitingPacket[];
}

/** Searches under way, by flow, oldest first. */
export class PendingSearches {
  private readonly searches = new Map<FlowKey, PendingSearch>();

  /** @param timeout milliseconds that a search has for its outcome at least */
  constructor(private readonly timeout: number) {}

  get size(): number {
    return this.searches.size;
  }

  /** Whether the holder of a flow is being searched for. */
  isPending(flow: FlowKey): boolean {
    return this.searches.has(flow);
  }

  /**
   * A search for the holder of a flow begins, or goes on through other agents; further packets
   * are to wait, up to a bound.
   * @param agents number of agents that it goes through
   * @param unansweredAttempts searches before it that have had no outcome: each doubles the time that it has
   */
  beginOrExtend(flow: FlowKey, agents: number, now: number, unansweredAttempts = 0): void {
    const shortest = Math.max(this.timeout, agents * TIME_PER_AGENT_MS);
    const doubled = Math.min(MAXIMUM_TIMEOUT_MS, shortest * 2 ** unansweredAttempts);
    const dueAt = now + Math.max(shortest, doubled);
    const known = this.searches.get(flow);
    if (known) {
      known.dueAt = dueAt;
      known.retry = undefined;
    } else if (this.searches.size < MAXIMUM_FLOWS) {
      this.searches.set(flow, { dueAt, retry: undefined, waiting: [] });
    }
  }

  /** Keeps the packet that a flow is searched for with, until the next search for it begins. */
  keepForRetry(packet: WaitingPacket): void {
    const search = this.searches.get(packet.packet.flow);
    if (search) {
      search.retry = packet;
    }
  }

  /** Keeps another packet of a flow that is searched for. */
  enqueue(waiting: WaitingPacket): void {
    const search = this.searches.get(waiting.packet.flow);
    if (search && search.waiting.length < MAXIMUM_WAITING_PER_FLOW) {
      search.waiting.push(waiting);
    }
  }

  /** The holder is known, or need not be: takes out what waits for it. */
  takeWaiting(flow: FlowKey): readonly WaitingPacket[] {
    const search = this.searches.get(flow);
    this.searches.delete(flow);
    return search?.waiting ?? [];
  }

  /** Takes out what has waited too long for the outcome. */
  takeOverdue(now: number): WaitingPacket[] {
    const overdue: WaitingPacket[] = [];
    for (const [flow, { dueAt, retry, waiting }] of this.searches) {
      if (now >= dueAt) {
        this.searches.delete(flow);
        overdue.push(...(retry ? [retry] : []), ...waiting);
      }
    }
    return overdue;
  }
}

/**
 * Time limits of the holder searches in progress, and the packets that wait for their outcomes.
 * The first packet of a flow starts its search; a waiting packet starts another one if the
 * outcome does not arrive in time.
 */
import type { FlowKey, FlowPacket } from './flow-packet';
import type { Route } from './routing-table';

/** Maximum waiting packets of a flow; the client retransmits those dropped beyond it. */
const MAXIMUM_WAITING_PER_FLOW = 16;
const MAXIMUM_FLOWS = 4_096;

const MINIMUM_TIMEOUT_MS = 40;
const MAXIMUM_TIMEOUT_MS = 400;
/** Generous time in which a balancer with one full CPU sends a search and reads its outcome. */
const BASE_SEARCH_TIME_MS = 20;

/**
 * Time for each agent of a search, which visits it twice: latency between zones, and queueing
 * while the agent handles other messages.
 */
const TIME_PER_AGENT_MS = 4;

/** Computes the time limit of a search in milliseconds, for a balancer with `capacity` CPUs. */
export function computeSearchTimeout(capacity: number): number {
  return Math.min(MAXIMUM_TIMEOUT_MS, Math.max(MINIMUM_TIMEOUT_MS, BASE_SEARCH_TIME_MS / capacity));
}

/** A packet that waits until the holder of its flow is known. */
export interface WaitingPacket {
  readonly packet: FlowPacket;
  readonly route: Route;
  /** Whether it has waited for a search that timed out already; it starts no other one. */
  readonly hasWaited?: boolean;
}

interface PendingSearch {
  dueAt: number;
  /** A packet that was not offered to any agent yet; it starts the next search. */
  retry: WaitingPacket | undefined;
  readonly waiting: WaitingPacket[];
}

/** Searches in progress by flow, oldest first. */
export class PendingSearches {
  private readonly searches = new Map<FlowKey, PendingSearch>();

  /** @param timeout minimum time limit of a search, in milliseconds */
  constructor(private readonly timeout: number) {}

  get size(): number {
    return this.searches.size;
  }

  /** Whether the holder of a flow is being searched for. */
  isPending(flow: FlowKey): boolean {
    return this.searches.has(flow);
  }

  /**
   * Starts the time limit of a search, or restarts it when the search continues through other
   * agents; further packets of the flow wait, up to a limit.
   * @param agents number of agents that the search visits in one chain
   * @param unansweredAttempts earlier attempts without outcome: each doubles the time limit
   */
  beginOrExtend(flow: FlowKey, agents: number, now: number, unansweredAttempts = 0): void {
    const shortest = Math.max(this.timeout, agents * TIME_PER_AGENT_MS);
    const doubled = Math.min(MAXIMUM_TIMEOUT_MS, shortest * 2 ** unansweredAttempts);
    const dueAt = now + Math.max(shortest, doubled);
    const existing = this.searches.get(flow);
    if (existing) {
      existing.dueAt = dueAt;
      existing.retry = undefined;
    } else if (this.searches.size < MAXIMUM_FLOWS) {
      this.searches.set(flow, { dueAt, retry: undefined, waiting: [] });
    }
  }

  /** Retains the packet of a search that could not send it yet, until the next search for its flow. */
  keepForRetry(packet: WaitingPacket): void {
    const search = this.searches.get(packet.packet.flow);
    if (search) {
      search.retry = packet;
    }
  }

  /** Retains another packet of a flow while its search is in progress. */
  enqueue(waiting: WaitingPacket): void {
    const search = this.searches.get(waiting.packet.flow);
    if (search && search.waiting.length < MAXIMUM_WAITING_PER_FLOW) {
      search.waiting.push(waiting);
    }
  }

  /** Removes a search that has ended and returns the packets that waited for it. */
  takeWaiting(flow: FlowKey): readonly WaitingPacket[] {
    const search = this.searches.get(flow);
    this.searches.delete(flow);
    return search?.waiting ?? [];
  }

  /** Removes searches past their time limit and returns their packets. */
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

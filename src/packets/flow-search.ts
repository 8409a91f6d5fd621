/**
 * State of a search for the agent whose target holds a flow, or accepts a new one: a packet is
 * offered to one agent after the other until one accepts it.
 *
 * A search records the agents that refused. For an open flow a refusal is final: a target that
 * does not hold the flow never will. So the record outlives the packet, and the client's next
 * retransmission goes only to agents that have not refused yet.
 */
import type { Endpoint } from '../environment';
import type { FlowKey } from './flow-packet';
import type { Route } from './routing-table';

/** Maximum number of searches; the least recently used is evicted beyond that. */
const MAXIMUM_SEARCHES = 8_192;

/** One pass of a search through a chain of agents, or through several groups in parallel. */
export interface SearchRound {
  readonly agents: readonly Endpoint[];
  /** Whether all agents offer the packet to their targets once none knows the flow. */
  readonly isFollowedByOffer: boolean;
  /** Agents whose groups have not answered the query yet; empty without groups. */
  readonly outstanding: Set<Endpoint>;
}

/** State of one search. */
export interface FlowSearch {
  readonly id: number;
  readonly flow: FlowKey;
  readonly route: Route;
  /**
   * For an opening packet the one service chosen for the flow; else all services of the route, and
   * those that the search was widened to.
   */
  services: readonly string[];
  readonly refusedBy: Set<Endpoint>;
  /** Agents that do not know the flow; their targets may hold it, as they were not offered it. */
  readonly unknownTo: Set<Endpoint>;
  /** Agents that a packet was offered to, oldest offer first; some have not answered. */
  readonly offeredTo: Set<Endpoint>;
  /** Number of times that a packet was sent through the agents. */
  attempts: number;
  /** Attempts since the latest outcome of any attempt. */
  unansweredAttempts: number;
  /** Attempts in which all agents decided by their own knowledge, and no target got the packet. */
  conclusiveAttempts: number;
  /** The latest round; undefined before the first. */
  round: SearchRound | undefined;
  /** Whether the event that only unresponsive agents are left has been reported. */
  hasStalled: boolean;
  usedAt: number;
}

/** Records an offer of a packet to an agent as the latest. */
export function recordOffer(search: FlowSearch, agent: Endpoint): void {
  search.offeredTo.delete(agent);
  search.offeredTo.add(agent);
}

/**
 * Selects the agents to be offered a packet next, among those that have not refused: those
 * without an offer yet, or the one with the oldest offer, since it or its refusal may be lost.
 */
export function selectNextAgents<T extends { readonly address: Endpoint }>(
  search: FlowSearch,
  candidates: readonly T[],
): readonly T[] {
  const withoutOffer = candidates.filter(({ address }) => !search.offeredTo.has(address));
  if (withoutOffer.length > 0) {
    return withoutOffer;
  }
  for (const address of search.offeredTo) {
    const oldest = candidates.filter((candidate) => candidate.address === address);
    if (oldest.length > 0) {
      return oldest;
    }
  }
  return [];
}

/** The current searches of one balancer. */
export class FlowSearches {
  private readonly searches = new Map<number, FlowSearch>();
  /** Searches for the holders of open flows, by flow. */
  private readonly holderSearches = new Map<FlowKey, FlowSearch>();
  private nextId = 1;

  constructor(
    /** Time after its last use at which a search is removed, in milliseconds. */
    private readonly lifetime: number,
  ) {}

  get size(): number {
    return this.searches.size;
  }

  /** Begins a search for a target that accepts a new flow; ends an earlier one for the same key. */
  beginOpening(flow: FlowKey, route: Route, services: readonly string[], now: number): FlowSearch {
    this.endHolderSearch(flow);
    return this.begin(flow, route, services, now);
  }

  /** Returns the recorded search for the holder of an open flow, or begins one. */
  findOrBegin(flow: FlowKey, route: Route, services: readonly string[], now: number): FlowSearch {
    const existing = this.holderSearches.get(flow);
    if (existing) {
      return this.touch(existing, now);
    }
    const search = this.begin(flow, route, services, now);
    this.holderSearches.set(flow, search);
    return search;
  }

  /** Finds a search by id and marks it as used. */
  find(id: number, now: number): FlowSearch | undefined {
    const search = this.searches.get(id);
    return search && this.touch(search, now);
  }

  end(search: FlowSearch): void {
    this.searches.delete(search.id);
    if (this.holderSearches.get(search.flow) === search) {
      this.holderSearches.delete(search.flow);
    }
  }

  /** Ends the search for a flow whose holder is known, or which is a new flow; returns it if there is one. */
  endHolderSearch(flow: FlowKey): FlowSearch | undefined {
    const search = this.holderSearches.get(flow);
    if (search) {
      this.end(search);
    }
    return search;
  }

  expire(now: number): void {
    for (const search of this.searches.values()) {
      if (now - search.usedAt <= this.lifetime) {
        return;
      }
      this.end(search);
    }
  }

  private begin(flow: FlowKey, route: Route, services: readonly string[], now: number): FlowSearch {
    const id = this.nextId++;
    const search: FlowSearch = {
      id,
      flow,
      route,
      services,
      refusedBy: new Set(),
      unknownTo: new Set(),
      offeredTo: new Set(),
      attempts: 0,
      unansweredAttempts: 0,
      conclusiveAttempts: 0,
      round: undefined,
      hasStalled: false,
      usedAt: now,
    };
    this.searches.set(id, search);
    if (this.searches.size > MAXIMUM_SEARCHES) {
      const [oldest] = this.searches.values();
      this.end(oldest!);
    }
    return search;
  }

  private touch(search: FlowSearch, now: number): FlowSearch {
    search.usedAt = now;
    this.searches.delete(search.id);
    this.searches.set(search.id, search);
    return search;
  }
}

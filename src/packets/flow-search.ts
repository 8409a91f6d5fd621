/**
 * The search for the agent whose target holds a flow, or takes a new one: a packet is
 * offered to one agent after the other until one keeps it.
 *
 * A search notes who has refused. For a flow that is open a refusal holds for good: a
 * target that does not hold it never will. So the note outlives the packet, and the
 * client's next copy goes only to agents that have not refused yet.
 */
import type { Endpoint } from '../environment';
import type { FlowKey } from './flow-packet';
import type { Route } from './routing-table';

/** Searches noted at once; the least recently used is dropped beyond that. */
const MAXIMUM_SEARCHES = 8_192;

/** A search through agents, or through groups of them at the same time. */
export interface SearchRound {
  readonly agents: readonly Endpoint[];
  /** Once none of the agents knows the flow, all offer the packet to their targets. */
  readonly isFollowedByOffer: boolean;
  /** Agents whose groups have not told yet that none knows the flow; none where it is not in groups. */
  readonly outstanding: Set<Endpoint>;
}

/** One search. */
export interface FlowSearch {
  readonly id: number;
  readonly flow: FlowKey;
  readonly route: Route;
  /** The service that may take the packet when it opens a flow; else all of the route's. */
  readonly services: readonly string[];
  readonly refusedBy: Set<Endpoint>;
  /** Agents that do not know the flow; their targets, which may hold it, were not asked. */
  readonly unknownTo: Set<Endpoint>;
  /** Agents that a packet was offered to, longest ago first; some have not answered. */
  readonly offeredTo: Set<Endpoint>;
  /** Times that a packet was sent through the agents. */
  attempts: number;
  /** Those times since the last outcome of any. */
  unansweredAttempts: number;
  /** Those times at which all agents went by what they know, and no target was touched. */
  conclusiveAttempts: number;
  /** The latest round of groups; undefined before the first. */
  round: SearchRound | undefined;
  /** It has been told that only silent agents are left. */
  hasStalled: boolean;
  usedAt: number;
}

/** Notes that a packet is offered to an agent now. */
export function recordOffer(search: FlowSearch, agent: Endpoint): void {
  search.offeredTo.delete(agent);
  search.offeredTo.add(agent);
}

/**
 * Of agents that have not refused, those to be asked next: those that were not asked yet, or
 * the one that was asked longest ago, since a packet or its refusal may have been lost.
 */
export function selectNextAgents<T extends { readonly address: Endpoint }>(
  search: FlowSearch,
  candidates: readonly T[],
): readonly T[] {
  const unasked = candidates.filter(({ address }) => !search.offeredTo.has(address));
  if (unasked.length > 0) {
    return unasked;
  }
  for (const address of search.offeredTo) {
    const longestAgo = candidates.filter((one) => one.address === address);
    if (longestAgo.length > 0) {
      return longestAgo;
    }
  }
  return [];
}

/** The searches under way. */
export class FlowSearches {
  private readonly searches = new Map<number, FlowSearch>();
  /** Searches for the holders of open flows. */
  private readonly holderSearches = new Map<FlowKey, FlowSearch>();
  private nextId = 1;

  constructor(
    /** Milliseconds after its last use at which a search is dropped. */
    private readonly lifetime: number,
  ) {}

  get size(): number {
    return this.searches.size;
  }

  /** Begins a search for a target that takes a new flow; earlier notes on it are void. */
  beginOpening(flow: FlowKey, route: Route, services: readonly string[], now: number): FlowSearch {
    this.endHolderSearch(flow);
    return this.begin(flow, route, services, now);
  }

  /** The search for the holder of an open flow, begun now unless one is noted. */
  findOrBegin(flow: FlowKey, route: Route, services: readonly string[], now: number): FlowSearch {
    const known = this.holderSearches.get(flow);
    if (known) {
      return this.touch(known, now);
    }
    const search = this.begin(flow, route, services, now);
    this.holderSearches.set(flow, search);
    return search;
  }

  /** The search of an id, which counts as used now. */
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

  /** The holder of a flow is known, or the flow is a new one. */
  endHolderSearch(flow: FlowKey): void {
    const search = this.holderSearches.get(flow);
    if (search) {
      this.end(search);
    }
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

/**
 * The search for the agent whose target holds a flow, or takes a new one: a packet is
 * offered to one agent after the other until one keeps it.
 *
 * A search is only a note of who has refused the packet. When a packet or an answer is
 * lost the search ends unresolved, and the client's next copy begins another.
 */
import type { Endpoint } from '../environment';
import type { Route } from './routing-table';

/** Searches noted at once; the oldest is dropped beyond that. */
const MAXIMUM_SEARCHES = 8_192;

/** One search. */
export interface FlowSearch {
  readonly id: number;
  readonly route: Route;
  /** The service that may take the packet when it opens a flow; else all of the route's. */
  readonly services: readonly string[];
  readonly startedAt: number;
  readonly refusedBy: Set<Endpoint>;
}

/** The searches under way. */
export class FlowSearches {
  private readonly searches = new Map<number, FlowSearch>();
  private nextId = 1;

  constructor(
    /** Milliseconds after which an unanswered search is dropped. */
    private readonly lifetime: number,
  ) {}

  get size(): number {
    return this.searches.size;
  }

  begin(route: Route, services: readonly string[], now: number): FlowSearch {
    const id = this.nextId++;
    const search: FlowSearch = { id, route, services, startedAt: now, refusedBy: new Set() };
    this.searches.set(id, search);
    if (this.searches.size > MAXIMUM_SEARCHES) {
      const [oldest] = this.searches.keys();
      this.searches.delete(oldest!);
    }
    return search;
  }

  find(id: number): FlowSearch | undefined {
    return this.searches.get(id);
  }

  end(search: FlowSearch): void {
    this.searches.delete(search.id);
  }

  expire(now: number): void {
    for (const [id, { startedAt }] of this.searches) {
      if (now - startedAt <= this.lifetime) {
        return;
      }
      this.searches.delete(id);
    }
  }
}

/**
 * Tracks which route terms a balancer has sent to which agents.
 *
 * Terms are sent with the first flows of a route, so in a table of thousands of routes those
 * without calls cost nothing, and an agent that has just started has the terms before the request
 * arrives.
 */
import type { Endpoint } from '../../environment';
import type { Route } from '../routing-table';
import { findCompetingRoutes, hasSameTerms, getTerms, type RouteTerms } from './route-terms';

/** Times that the terms of a route are sent: with one datagram in 500 lost, both seldom are. */
const SENDS_PER_ROUTE = 2;

interface SentTerms {
  readonly terms: RouteTerms;
  sendsLeft: number;
}

/** Terms sent to one incarnation of an agent, by the route's destination. */
interface SentToAgent {
  readonly run: number;
  readonly routes: Map<Endpoint, SentTerms>;
}

/** Tracker of one balancer. */
export class SentTermsTracker {
  private competing: ReadonlyMap<Endpoint, Route> = new Map();
  private readonly agents = new Map<Endpoint, SentToAgent>();

  /** Applies a routing table; sent terms remain valid for routes whose terms are unchanged. */
  apply(routes: readonly Route[]): void {
    this.competing = findCompetingRoutes(routes);
  }

  /** Whether a route's terms must be sent to an agent with a flow; marks them as sent. */
  markSentIfDue(agent: Endpoint, run: number, route: Route): boolean {
    if (!this.competing.has(route.destination)) {
      return false;
    }
    const terms = getTerms(route);
    const { routes } = this.getSentToAgent(agent, run);
    const known = routes.get(route.destination);
    if (!known || !hasSameTerms(known.terms, terms)) {
      routes.set(route.destination, { terms, sendsLeft: SENDS_PER_ROUTE - 1 });
      return true;
    }
    if (known.sendsLeft === 0) {
      return false;
    }
    known.sendsLeft--;
    return true;
  }

  /** Drops agents and routes that are no longer known. */
  expire(isKnown: (agent: Endpoint) => boolean): void {
    for (const [agent, { routes }] of this.agents) {
      if (!isKnown(agent)) {
        this.agents.delete(agent);
        continue;
      }
      const outdated = [...routes.keys()].filter((destination) => !this.competing.has(destination));
      outdated.forEach((destination) => routes.delete(destination));
    }
  }

  private getSentToAgent(agent: Endpoint, run: number): SentToAgent {
    const known = this.agents.get(agent);
    if (known?.run === run) {
      return known;
    }
    const created: SentToAgent = { run, routes: new Map() };
    this.agents.set(agent, created);
    return created;
  }
}

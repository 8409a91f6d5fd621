/**
 * Which agents a balancer has told the terms of which routes.
 *
 * An agent is told with the first flows of a route that it gets, so a table of thousands of routes
 * costs nothing for those that nobody calls, and an agent that has just started knows the terms
 * before the request comes.
 */
import type { Endpoint } from '../../environment';
import type { Route } from '../routing-table';
import { findCompetingRoutes, hasSameTerms, getTerms, type RouteTerms } from './route-terms';

/** Flows of a route that tell its terms: where one datagram in 500 is lost, both seldom are. */
const SENDS_PER_ROUTE = 2;

interface SentTerms {
  readonly terms: RouteTerms;
  sendsLeft: number;
}

/** What one run of an agent has been told, by the route's destination. */
interface AgentRecord {
  readonly run: number;
  readonly routes: Map<Endpoint, SentTerms>;
}

/** The ledger of one balancer. */
export class SentTermsTracker {
  private competing: ReadonlyMap<Endpoint, Route> = new Map();
  private readonly agents = new Map<Endpoint, AgentRecord>();

  /** Another routing table is in force: what agents were told holds where terms are the same. */
  apply(routes: readonly Route[]): void {
    this.competing = findCompetingRoutes(routes);
  }

  /** Whether an agent must be told a route's terms with a flow; counts as told. */
  markSentIfDue(agent: Endpoint, run: number, route: Route): boolean {
    if (!this.competing.has(route.destination)) {
      return false;
    }
    const terms = getTerms(route);
    const { routes } = this.getAgentRecord(agent, run);
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

  /** Forgets the agents and routes that are no longer known. */
  expire(isKnown: (agent: Endpoint) => boolean): void {
    for (const [agent, { routes }] of this.agents) {
      if (!isKnown(agent)) {
        this.agents.delete(agent);
        continue;
      }
      const ended = [...routes.keys()].filter((destination) => !this.competing.has(destination));
      ended.forEach((destination) => routes.delete(destination));
    }
  }

  private getAgentRecord(agent: Endpoint, run: number): AgentRecord {
    const known = this.agents.get(agent);
    if (known?.run === run) {
      return known;
    }
    const created: AgentRecord = { run, routes: new Map() };
    this.agents.set(agent, created);
    return created;
  }
}

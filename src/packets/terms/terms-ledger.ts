/**
 * Which agents a balancer has told the terms of which routes.
 *
 * An agent is told with the first flows of a route that it gets, so a table of thousands of routes
 * costs nothing for those that nobody calls, and an agent that has just started knows the terms
 * before the request comes.
 */
import type { Endpoint } from '../../environment';
import type { Route } from '../routing-table';
import { findCompetingRoutes, hasSameTerms, termsOf, type RouteTerms } from './route-terms';

/** Flows of a route that tell its terms: where one datagram in 500 is lost, both seldom are. */
const TELLINGS = 2;

interface Telling {
  readonly terms: RouteTerms;
  tellingsLeft: number;
}

/** What one run of an agent has been told, by the route's destination. */
interface ToldAgent {
  readonly run: number;
  readonly routes: Map<Endpoint, Telling>;
}

/** The ledger of one balancer. */
export class TermsLedger {
  private competing: ReadonlyMap<Endpoint, Route> = new Map();
  private readonly told = new Map<Endpoint, ToldAgent>();

  /** Another routing table is in force: what agents were told holds where terms are the same. */
  apply(routes: readonly Route[]): void {
    this.competing = findCompetingRoutes(routes);
  }

  /** Whether an agent must be told a route's terms with a flow; counts as told. */
  takeTelling(agent: Endpoint, run: number, route: Route): boolean {
    if (!this.competing.has(route.destination)) {
      return false;
    }
    const terms = termsOf(route);
    const { routes } = this.toldTo(agent, run);
    const known = routes.get(route.destination);
    if (!known || !hasSameTerms(known.terms, terms)) {
      routes.set(route.destination, { terms, tellingsLeft: TELLINGS - 1 });
      return true;
    }
    if (known.tellingsLeft === 0) {
      return false;
    }
    known.tellingsLeft--;
    return true;
  }

  /** Forgets the agents and routes that are no longer known. */
  expire(isKnown: (agent: Endpoint) => boolean): void {
    for (const [agent, { routes }] of this.told) {
      if (!isKnown(agent)) {
        this.told.delete(agent);
        continue;
      }
      const ended = [...routes.keys()].filter((destination) => !this.competing.has(destination));
      ended.forEach((destination) => routes.delete(destination));
    }
  }

  private toldTo(agent: Endpoint, run: number): ToldAgent {
    const known = this.told.get(agent);
    if (known?.run === run) {
      return known;
    }
    const begun: ToldAgent = { run, routes: new Map() };
    this.told.set(agent, begun);
    return begun;
  }
}

/** What callers of a route expect, which decides the order of waiting requests. */
import type { Endpoint } from '../../environment';
import type { Route } from '../routing-table';

/** Expectations of the callers of one route. */
export interface RouteTerms {
  /** 0 is the most urgent; {@link LOWEST_PRIORITY} at most. */
  readonly priority: number;
  /** Latency goal in milliseconds from a request to its answer; 0 when unknown. */
  readonly latencyGoal: number;
  /** Milliseconds after which callers give up; 0 when unknown. */
  readonly deadline: number;
}

export const LOWEST_PRIORITY = 9;
/** One day; a longer deadline is a mistake. */
export const MAXIMUM_DEADLINE_MS = 24 * 60 * 60 * 1_000;

/** Terms of a route without any: it ranks after those that state a priority. */
export const UNKNOWN_TERMS: RouteTerms = {
  priority: LOWEST_PRIORITY,
  latencyGoal: 0,
  deadline: 0,
};

/** The terms of one route as announced to agents. */
export interface AnnouncedTerms extends RouteTerms {
  readonly destination: Endpoint;
  /** Version of the routing table that they come from. */
  readonly version: number;
}

/** Why terms are invalid. */
export type TermsProblem = 'priority' | 'latencyGoal' | 'deadline' | 'goalBeyondDeadline';

/** Checks terms written by an operator; undefined for valid ones. */
export function checkTerms({
  priority,
  latencyGoal,
  deadline,
}: RouteTerms): TermsProblem | undefined {
  if (!Number.isInteger(priority) || priority < 0 || priority > LOWEST_PRIORITY) {
    return 'priority';
  }
  if (!isDuration(latencyGoal)) {
    return 'latencyGoal';
  }
  if (!isDuration(deadline)) {
    return 'deadline';
  }
  return deadline > 0 && latencyGoal > deadline ? 'goalBeyondDeadline' : undefined;
}

/** Returns the terms of a route; {@link UNKNOWN_TERMS} where it has none. */
export function getTerms(route: Route): RouteTerms {
  return route.terms ?? UNKNOWN_TERMS;
}

/** Whether the terms of two routes are equal. */
export function hasSameTerms(one: RouteTerms, other: RouteTerms): boolean {
  return (
    one.priority === other.priority &&
    one.latencyGoal === other.latencyGoal &&
    one.deadline === other.deadline
  );
}

/**
 * Finds the routes that share a service with a route of other terms: only there does the order of
 * requests matter.
 */
export function findCompetingRoutes(routes: readonly Route[]): ReadonlyMap<Endpoint, Route> {
  const firstTerms = new Map<string, RouteTerms>();
  const contested = new Set<string>();
  for (const route of routes) {
    const terms = getTerms(route);
    for (const { service } of route.services) {
      const known = firstTerms.get(service);
      if (known === undefined) {
        firstTerms.set(service, terms);
      } else if (!hasSameTerms(known, terms)) {
        contested.add(service);
      }
    }
  }
  const isContested = ({ services }: Route): boolean =>
    services.some(({ service }) => contested.has(service));
  return new Map(routes.filter(isContested).map((route) => [route.destination, route]));
}

/** Finds the destinations of routes that share a service with a more urgent one. */
export function findLessUrgentRoutes(routes: readonly Route[]): ReadonlySet<Endpoint> {
  const mostUrgent = new Map<string, number>();
  for (const route of routes) {
    for (const { service } of route.services) {
      const known = mostUrgent.get(service) ?? LOWEST_PRIORITY;
      mostUrgent.set(service, Math.min(known, getTerms(route).priority));
    }
  }
  const isLessUrgent = (route: Route): boolean =>
    route.services.some(({ service }) => mostUrgent.get(service)! < getTerms(route).priority);
  return new Set(routes.filter(isLessUrgent).map(({ destination }) => destination));
}

function isDuration(milliseconds: number): boolean {
  return milliseconds >= 0 && milliseconds <= MAXIMUM_DEADLINE_MS;
}

/** Which services serve which addresses: the operators' configuration of packet flows. */
import type { Endpoint } from '../environment';
import type { RouteTerms } from './terms/route-terms';

/** One service of a route and its share of the new flows. */
export interface WeightedService {
  readonly service: string;
  /** 0 or more, relative to the route's other services. */
  readonly weight: number;
}

/** The services for flows to one address. */
export interface Route {
  readonly name: string;
  readonly destination: Endpoint;
  /** At least one. */
  readonly services: readonly WeightedService[];
  /** Whether requests are idempotent, so that failed ones may be retried; false while unknown. */
  readonly isRepeatable?: boolean;
  /** Terms that its callers expect; unknown when undefined. */
  readonly terms?: RouteTerms;
}

/** Properties of a service that the agents of its targets use. */
export interface ServiceProfile {
  readonly service: string;
  /** Latency goal in milliseconds from a request to its answer, on any route; 0 when unknown. */
  readonly latencyGoal: number;
  /** Milliseconds for which a target is slow after its start; 0 when unknown. */
  readonly coldTime: number;
  /** New flows per second that a target can handle meanwhile; 0 for no limit. */
  readonly coldRate: number;
}

/** The profiles of one version of the routing table; version 0 while none is known. */
export interface ServiceProfiles {
  readonly version: number;
  /** Services without a profile are not listed. */
  readonly services: readonly ServiceProfile[];
}

/** Profiles of a node without a routing table. */
export const UNKNOWN_PROFILES: ServiceProfiles = { version: 0, services: [] };

/** One version of the configuration; a higher version replaces a lower one completely. */
export interface RoutingTable {
  readonly version: number;
  readonly routes: readonly Route[];
  /** Milliseconds after which an idle flow may be forgotten. */
  readonly idleTimeout: number;
  readonly profiles: readonly ServiceProfile[];
  /** Routes of its document that were not or only partly readable; only in tables from the store. */
  readonly unreadableRoutes?: number;
  /** Routes whose terms are missing or contradictory; only in tables from the store. */
  readonly routesWithoutTerms?: number;
}

const serviceNamesByRoute = new WeakMap<Route, readonly string[]>();

/** The names of a route's services; the same array each time. */
export function getServiceNames(route: Route): readonly string[] {
  const known = serviceNamesByRoute.get(route);
  if (known) {
    return known;
  }
  const names = route.services.map(({ service }) => service);
  serviceNamesByRoute.set(route, names);
  return names;
}

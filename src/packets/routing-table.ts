/** Which services serve which addresses: the operators' configuration of packet flows. */
import type { Endpoint } from '../environment';
import type { RouteTerms } from './terms/route-terms';

/** One service of a route and its part of the new flows. */
export interface WeightedService {
  readonly service: string;
  /** 0 or more, relative to the route's other services. */
  readonly weight: number;
}

/** Where flows to one address go. */
export interface Route {
  readonly name: string;
  readonly destination: Endpoint;
  /** At least one. */
  readonly services: readonly WeightedService[];
  /** Whether a request that fails may be sent again without harm; false while unknown. */
  readonly isRepeatable?: boolean;
  /** What its callers expect; unknown when undefined. */
  readonly terms?: RouteTerms;
}

/** What agents go by of the service of their targets. */
export interface ServiceProfile {
  readonly service: string;
  /** Milliseconds from a request to its answer that are aimed at, on any route; 0 when unknown. */
  readonly latencyGoal: number;
  /** Milliseconds for which a target is slow after its start; 0 when unknown. */
  readonly coldTime: number;
  /** New flows that it bears a second meanwhile; 0 when there is no such limit. */
  readonly coldRate: number;
}

/** The profiles of one version of the routing table; version 0 while none is known. */
export interface ServiceProfiles {
  readonly version: number;
  /** A service of which nothing is known is not listed. */
  readonly services: readonly ServiceProfile[];
}

/** What a node knows that has no routing table. */
export const UNKNOWN_PROFILES: ServiceProfiles = { version: 0, services: [] };

/** One version of the configuration; a higher version replaces a lower one whole. */
export interface RoutingTable {
  readonly version: number;
  readonly routes: readonly Route[];
  /** Milliseconds after which a flow at rest may be forgotten. */
  readonly idleTimeout: number;
  readonly profiles: readonly ServiceProfile[];
  /** Routes of its document that could not be read, or only in part; of the store's own table alone. */
  readonly unreadableRoutes?: number;
  /** Routes whose terms its document lacks or contradicts; of the store's own table alone. */
  readonly routesWithoutTerms?: number;
}

const serviceNamesByRoute = new WeakMap<Route, readonly string[]>();

/** The names of a route's services; the same list each time. */
export function getServiceNames(route: Route): readonly string[] {
  const known = serviceNamesByRoute.get(route);
  if (known) {
    return known;
  }
  const names = route.services.map(({ service }) => service);
  serviceNamesByRoute.set(route, names);
  return names;
}

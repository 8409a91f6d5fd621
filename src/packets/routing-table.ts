/** Which services serve which addresses: the operators' configuration of packet flows. */
import type { Endpoint } from '../environment';

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
}

/** How the targets of a service behave after their start. */
export interface ColdStart {
  readonly service: string;
  /** Milliseconds for which a target is slow after its start. */
  readonly duration: number;
  /** New flows that it bears a second meanwhile; 0 when there is no such limit. */
  readonly flowsPerSecond: number;
}

/** The cold starts of one version of the routing table; version 0 while none is known. */
export interface ColdStarts {
  readonly version: number;
  /** A service of which nothing is known is not listed. */
  readonly services: readonly ColdStart[];
}

/** What a node knows that has no routing table. */
export const UNKNOWN_COLD_STARTS: ColdStarts = { version: 0, services: [] };

/** One version of the configuration; a higher version replaces a lower one whole. */
export interface RoutingTable {
  readonly version: number;
  readonly routes: readonly Route[];
  /** Milliseconds after which a flow at rest may be forgotten. */
  readonly idleTimeout: number;
  readonly coldStarts: readonly ColdStart[];
}

const serviceNames = new WeakMap<Route, readonly string[]>();

/** The names of a route's services; the same list each time. */
export function servicesOf(route: Route): readonly string[] {
  const known = serviceNames.get(route);
  if (known) {
    return known;
  }
  const names = route.services.map(({ service }) => service);
  serviceNames.set(route, names);
  return names;
}

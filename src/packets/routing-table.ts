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

/** New flows that a cold target of a service bears. */
export interface ColdRate {
  readonly service: string;
  /** Above 0; a service without such a limit is not listed. */
  readonly flowsPerSecond: number;
}

/** The cold rates of one version of the routing table; version 0 while none is known. */
export interface ColdRates {
  readonly version: number;
  readonly rates: readonly ColdRate[];
}

/** What a node knows that has no routing table. */
export const UNKNOWN_COLD_RATES: ColdRates = { version: 0, rates: [] };

/** One version of the configuration; a higher version replaces a lower one whole. */
export interface RoutingTable {
  readonly version: number;
  readonly routes: readonly Route[];
  /** Milliseconds after which a flow at rest may be forgotten. */
  readonly idleTimeout: number;
  readonly coldRates: readonly ColdRate[];
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

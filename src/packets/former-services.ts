/**
 * Services that routes do not name any more, but whose targets may still hold flows of these routes.
 *
 * A new version of the routing table decides where new flows go; open ones stay where they are unless
 * their route is dropped. A balancer that starts has only the latest version, so balancers announce
 * former services to each other until no flow of them can be open.
 */
import type { Endpoint } from '../environment';
import { getServiceNames, type Route, type RoutingTable } from './routing-table';

/** Former services in one announcement: far more than an operator changes within a flow's lifetime. */
const MAXIMUM_ANNOUNCED = 64;
/**
 * Time taken off an announced remainder: a status may wait at its receiver, and balancers that announce
 * to each other must not prolong an entry.
 */
const TRANSFER_MARGIN_MS = 1_000;
/** Former services kept; beyond that those that expire first are evicted. */
const MAXIMUM_KEPT = 4_096;

/** A former service of a route, as balancers announce it to each other. */
export interface AnnouncedFormerService {
  /** Destination of the route. */
  readonly destination: Endpoint;
  readonly service: string;
  /** Milliseconds for which flows of the route may still be open at the service's targets. */
  readonly remaining: number;
}

interface FormerService {
  readonly destination: Endpoint;
  readonly service: string;
  readonly until: number;
}

/** The former services known to one balancer. */
export class FormerServices {
  /** In ascending order of `until`. */
  private entries: readonly FormerService[] = [];
  private byDestination: ReadonlyMap<Endpoint, readonly FormerService[]> = new Map();

  /** @param lifetime milliseconds after which no flow of a former service is open */
  constructor(private readonly lifetime: number) {}

  /** Records the services that a table takes away from routes; those of a dropped route are forgotten. */
  recordChange(before: readonly Route[], after: RoutingTable, now: number): void {
    const routes = new Map(after.routes.map((route) => [route.destination, route]));
    const taken = before.flatMap((route) =>
      listTakenServices(route, routes.get(route.destination)),
    );
    const until = now + this.lifetime;
    const kept = this.entries.filter(({ destination, service }) => {
      const route = routes.get(destination);
      return route !== undefined && !getServiceNames(route).includes(service);
    });
    this.replaceEntries([...kept, ...taken.map((one) => ({ ...one, until }))], now);
  }

  /**
   * Records a service whose target holds flows of a route that does not name it: the route lost it
   * before this balancer had a routing table.
   */
  recordHolder(route: Route, service: string, now: number): void {
    if (!this.listHolders(route, now).includes(service)) {
      const { destination } = route;
      const until = now + this.lifetime;
      this.replaceEntries([...this.entries, { destination, service, until }], now);
    }
  }

  /** Merges what another balancer announces. */
  merge(announced: readonly AnnouncedFormerService[], now: number): void {
    if (announced.length === 0) {
      return;
    }
    const received = announced.map(({ destination, service, remaining }) => ({
      destination,
      service,
      until: now + Math.min(remaining, this.lifetime),
    }));
    this.replaceEntries([...this.entries, ...received], now);
  }

  /** The former services to announce, those that are kept longest first. */
  listAnnounced(now: number): AnnouncedFormerService[] {
    return this.entries
      .map(({ destination, service, until }) => ({
        destination,
        service,
        remaining: Math.floor(until - now - TRANSFER_MARGIN_MS),
      }))
      .filter(({ remaining }) => remaining > 0)
      .slice(-MAXIMUM_ANNOUNCED)
      .reverse();
  }

  /** Names of the services whose targets may hold flows of a route; its present ones first. */
  listHolders(route: Route, now: number): readonly string[] {
    const present = getServiceNames(route);
    const former = this.byDestination.get(route.destination);
    if (former === undefined) {
      return present;
    }
    const names = former.filter(({ until }) => until > now).map(({ service }) => service);
    return [...new Set([...present, ...names])];
  }

  /** Removes expired entries. */
  expire(now: number): void {
    if (this.entries.some(({ until }) => until <= now)) {
      this.replaceEntries(this.entries, now);
    }
  }

  /** Keeps the latest end of each service of each route. */
  private replaceEntries(entries: readonly FormerService[], now: number): void {
    const latest = new Map<string, FormerService>();
    for (const entry of entries) {
      const key = `${entry.destination} ${entry.service}`;
      const known = latest.get(key);
      if (entry.until > now && (known === undefined || known.until < entry.until)) {
        latest.set(key, entry);
      }
    }
    this.entries = [...latest.values()]
      .sort((one, other) => one.until - other.until)
      .slice(-MAXIMUM_KEPT);
    this.byDestination = groupByDestination(this.entries);
  }
}

/** Lists the services that a route loses; none if it is dropped. */
function listTakenServices(
  before: Route,
  after: Route | undefined,
): Omit<FormerService, 'until'>[] {
  if (after === undefined) {
    return [];
  }
  const { destination } = before;
  return getServiceNames(before)
    .filter((service) => !getServiceNames(after).includes(service))
    .map((service) => ({ destination, service }));
}

function groupByDestination(entries: readonly FormerService[]): Map<Endpoint, FormerService[]> {
  const groups = new Map<Endpoint, FormerService[]>();
  for (const entry of entries) {
    const group = groups.get(entry.destination) ?? [];
    groups.set(entry.destination, group);
    group.push(entry);
  }
  return groups;
}

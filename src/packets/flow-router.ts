/**
 * Routing of clients' packets in a balancer: which agent gets a new flow, how the agent of an
 * established flow is found, and when a client gets a reset because its flow no longer exists.
 *
 * Only the target holds the state of a flow. Everything kept here is a cache and may be lost:
 * the holder of an unknown flow is searched for among all agents of its route.
 */
import { formatEndpoint } from '../core/endpoint';
import type { Endpoint } from '../environment';
import { Events } from '../logging/events';
import type { ChoiceSettings } from './choice/choice-settings';
import type { FlowCache } from './flow-cache';
import type { FlowDestinations } from './flow-destinations';
import type { FlowKey, FlowPacket } from './flow-packet';
import { FlowPlacement } from './flow-placement';
import { FlowSearches, type FlowSearch } from './flow-search';
import { HolderSearch } from './holder-search';
import type { Locality } from './locality/locality';
import {
  RefusalReason,
  type FlowDestinationsMessage,
  type NoneHoldsMessage,
  type NoneKnowsMessage,
  type NotHeldMessage,
} from './packet-messages';
import {
  PacketForwarder,
  type PacketForwarderDependencies,
  type RoutingCounters,
} from './packet-forwarder';
import type { FormerServices } from './former-services';
import type { Route, RoutingTable } from './routing-table';

/** How long after its last use a search keeps the agents that have refused its flow. */
const SEARCH_LIFETIME_MS = 10_000;

/** Dependencies of a flow router. */
export interface FlowRouterDependencies extends PacketForwarderDependencies {
  readonly zone: string;
  readonly locality: Locality;
  /** Address at which agents reach this balancer. */
  readonly address: Endpoint;
  /** Minimum time limit of a search for the holder of a flow, in milliseconds. */
  readonly searchTimeout: number;
  readonly cache: FlowCache;
  /** Services that routes no longer name, but whose targets may hold flows of theirs. */
  readonly formerServices: FormerServices;
  /** Destinations of the flows at agents, which show what routes lost before this balancer started. */
  readonly flowDestinations: FlowDestinations;
  /** Settings for the choice of agents; `DEFAULT_CHOICE` when undefined. */
  readonly choice?: ChoiceSettings;
  /** Whether a zone is evacuated: its targets get no new flows. */
  isEvacuated(zone: string): boolean;
  /** Whether the view has all entries that a store restored from a backup may lack; no flow is reset before. */
  isViewConverged(): boolean;
}

/** Routes packets by the active routing table. */
export class FlowRouter {
  private readonly searches = new FlowSearches(SEARCH_LIFETIME_MS);
  private readonly forwarder: PacketForwarder;
  private readonly placement: FlowPlacement;
  private readonly holderSearch: HolderSearch;
  private routes: ReadonlyMap<Endpoint, Route> | undefined;
  private routingVersion = 0;

  constructor(private readonly dependencies: FlowRouterDependencies) {
    this.forwarder = new PacketForwarder(dependencies);
    const shared = { ...dependencies, searches: this.searches, forwarder: this.forwarder };
    this.placement = new FlowPlacement(shared);
    this.holderSearch = new HolderSearch({
      ...shared,
      listHolderServices: (route) => this.listHolderServices(route),
    });
  }

  get counters(): RoutingCounters {
    return this.forwarder.counters;
  }

  /** Targets that get only trial flows, since they perform far worse than their service. */
  get agentsSetAside(): number {
    return this.placement.agentsSetAside;
  }

  /** Activates a routing table. */
  apply(table: RoutingTable): void {
    const { environment, flowDestinations, formerServices } = this.dependencies;
    flowDestinations.recordTable(environment.now());
    const before = this.routes ? [...this.routes.values()] : [];
    formerServices.recordChange(before, table, environment.now());
    this.routes = new Map(table.routes.map((route) => [route.destination, route]));
    this.routingVersion = table.version;
    this.placement.apply(table);
  }

  /** Finds the route of a packet's destination; undefined for none, or without a routing table. */
  findRoute({ destination }: FlowPacket): Route | undefined {
    return this.routes?.get(destination);
  }

  /** Decodes and routes a datagram of a client. */
  route(bytes: Buffer): void {
    const packet = this.receive(bytes);
    if (packet) {
      this.routePacket(packet);
    }
  }

  /**
   * Routes a packet that another balancer could not deliver; it takes no second detour.
   * @param agent the holder of its flow according to the other balancer
   */
  routeDetoured(bytes: Buffer, agent: Endpoint): void {
    const packet = this.receive(bytes);
    if (!packet) {
      return;
    }
    this.forwarder.markDetoured(packet);
    const route = this.routes?.get(packet.destination);
    const isKnown = this.dependencies.directory.find(agent) !== undefined;
    if (route && !packet.opens && isKnown) {
      this.forwarder.deliver(packet, this.listHolderServices(route), agent, 0);
      return;
    }
    if (!isKnown) {
      this.forwarder.reportEvent(Events.detourLost, packet, { agent: formatEndpoint(agent) });
    }
    this.routePacket(packet);
  }

  private receive(bytes: Buffer): FlowPacket | undefined {
    this.counters.packetsReceived++;
    const packet = this.dependencies.format.decodeFromClient(bytes);
    if (!packet) {
      this.counters.packetsMalformed++;
      this.dependencies.environment.report(Events.packetMalformed, { length: bytes.length });
    }
    return packet;
  }

  private routePacket(packet: FlowPacket): void {
    const route = this.routes?.get(packet.destination);
    if (!route) {
      this.refuseWithoutRoute(packet);
    } else if (packet.opens) {
      this.holderSearch.forgetReset(packet.flow);
      this.placement.place(packet, route);
    } else {
      this.continueFlow(packet, route);
    }
  }

  /** Offers a packet that an agent has refused to the next agent. */
  handleRefusal(agent: Endpoint, message: NotHeldMessage): void {
    const { format, cache, directory, environment } = this.dependencies;
    const packet = format.decodeFromClient(message.payload);
    const route = packet && this.routes?.get(packet.destination);
    if (!packet || !route) {
      return;
    }
    cache.invalidate(packet.flow, agent);
    this.forwarder.discardDelayed(agent, packet.flow);
    const search = this.findOrResumeSearch(packet, route, message.searchId);
    search.refusedBy.add(agent);
    if (message.reason === RefusalReason.coldLimit) {
      directory.recordColdLimit(agent, environment.now());
    }
    if (packet.opens) {
      this.placement.offer(packet, search);
    } else {
      this.holderSearch.offerNext(packet, search);
    }
  }

  /** Handles the outcome of a search in which no target held the packet's flow. */
  handleNoneHolds(message: NoneHoldsMessage): void {
    const packet = this.dependencies.format.decodeFromClient(message.payload);
    if (!packet || packet.opens) {
      return;
    }
    for (const agent of message.agents) {
      this.dependencies.cache.invalidate(packet.flow, agent);
      this.forwarder.discardDelayed(agent, packet.flow);
    }
    const search = this.findActiveSearch(packet, message.searchId);
    if (search) {
      this.holderSearch.handleNoneHolds(packet, search, message.agents);
    }
  }

  /** Handles the outcome of a query: no agent of the group knows the flow; no target was offered it. */
  handleNoneKnows(message: NoneKnowsMessage): void {
    const packet = this.dependencies.format.decodeFromClient(message.payload);
    const search = packet && this.findActiveSearch(packet, message.searchId);
    if (packet && search) {
      this.holderSearch.handleNoneKnows(packet, search, message.agents);
    }
  }

  /** Records the destinations of the flows that an agent's target may hold. */
  handleFlowDestinations(agent: Endpoint, message: FlowDestinationsMessage): void {
    this.dependencies.flowDestinations.record(agent, message);
    for (const destination of message.destinations) {
      this.recordHolderService(destination, agent);
    }
  }

  /** Records that an agent's target holds a flow, and delivers the packets that wait for it. */
  confirmHolder(flow: FlowKey, agent: Endpoint): void {
    this.counters.flowsFound++;
    const search = this.searches.endHolderSearch(flow);
    if (search) {
      this.recordHolderService(search.route.destination, agent);
    }
    this.dependencies.cache.confirm(flow, agent, this.dependencies.environment.now());
    for (const { packet, route } of this.holderSearch.takeWaiting(flow)) {
      this.forwarder.deliver(packet, this.listHolderServices(route), agent, 0);
    }
  }

  /** Cancels the timer. */
  stop(): void {
    this.holderSearch.stop();
  }

  /** Delivers the packets that were delayed while an agent did not report. */
  handleAgentReturned(agent: Endpoint): void {
    this.forwarder.deliverDelayed(agent);
  }

  /** Removes expired entries. */
  expire(now: number): void {
    this.searches.expire(now);
    this.forwarder.expire(now);
    this.holderSearch.expire(now);
    this.placement.expire(now);
    this.dependencies.cache.expire(now);
  }

  /** Names of the services whose targets may hold open flows of a route. */
  private listHolderServices(route: Route): readonly string[] {
    const { environment, formerServices } = this.dependencies;
    return formerServices.listHolders(route, environment.now());
  }

  /** Records the service of an agent that holds flows of a destination, where its route lacks it. */
  private recordHolderService(destination: Endpoint, agent: Endpoint): void {
    const { directory, environment, formerServices } = this.dependencies;
    const route = this.routes?.get(destination);
    const entry = directory.find(agent);
    if (route && entry) {
      formerServices.recordHolder(route, entry.service, environment.now());
    }
  }

  private refuseWithoutRoute(packet: FlowPacket): void {
    this.counters.packetsWithoutRoute++;
    if (this.routes && !this.dependencies.isViewConverged()) {
      this.forwarder.drop(packet, 'no route, the table may be an earlier one');
    } else if (this.routes && !packet.resets) {
      this.forwarder.reset(packet, 'no route', { version: this.routingVersion });
    } else {
      this.forwarder.drop(packet, 'no routing table');
    }
  }

  private continueFlow(packet: FlowPacket, route: Route): void {
    const { cache, directory, environment } = this.dependencies;
    const cached = cache.get(packet.flow, environment.now());
    if (cached) {
      this.placement.recordPacket(packet, cached.usage);
    }
    if (cached && directory.find(cached.agent)) {
      this.forwarder.deliver(packet, this.listHolderServices(route), cached.agent, 0);
    } else {
      this.holderSearch.find(packet, route);
    }
  }

  /**
   * Finds the search that a message belongs to; undefined when it has ended, so that a late
   * outcome has no effect.
   */
  private findActiveSearch(packet: FlowPacket, searchId: number): FlowSearch | undefined {
    const search = this.searches.find(searchId, this.dependencies.environment.now());
    return search?.flow === packet.flow ? search : undefined;
  }

  /**
   * Finds or creates the search of a refused packet. Search ids restart with each process, so a
   * late refusal of a packet that an earlier process sent may carry the id of another flow's search.
   */
  private findOrResumeSearch(packet: FlowPacket, route: Route, searchId: number): FlowSearch {
    const active = this.findActiveSearch(packet, searchId);
    if (active) {
      return active;
    }
    return packet.opens
      ? this.placement.resumeSearch(packet, route)
      : this.holderSearch.findOrBeginSearch(packet, route);
  }
}

/**
 * The balancer's decisions about clients' packets: which agent a new flow goes to, how
 * the agent of a known flow is found, and when a client is told that its flow is dead.
 *
 * Only the target holds a flow. Everything here is a short cut to it and can be lost:
 * a packet of an unknown flow is searched for at every agent of its route.
 */
import { formatEndpoint } from '../core/endpoint';
import type { Endpoint } from '../environment';
import { Events } from '../logging/events';
import type { ChoiceSettings } from './choice/choice-settings';
import type { FlowCache } from './flow-cache';
import type { FlowKey, FlowPacket } from './flow-packet';
import { FlowPlacement } from './flow-placement';
import { FlowSearches, type FlowSearch } from './flow-search';
import { HolderSearch } from './holder-search';
import type { Locality } from './locality/locality';
import {
  RefusalReason,
  type NoneHoldsMessage,
  type NoneKnowsMessage,
  type NotHeldMessage,
} from './packet-messages';
import {
  PacketForwarder,
  type PacketForwarderDependencies,
  type RoutingCounters,
} from './packet-forwarder';
import { getServiceNames, type Route, type RoutingTable } from './routing-table';

/** Milliseconds for which it is remembered who has refused a flow. */
const SEARCH_LIFETIME_MS = 10_000;

/** What the router works with. */
export interface FlowRouterDependencies extends PacketForwarderDependencies {
  readonly zone: string;
  readonly locality: Locality;
  /** Where agents reach this balancer. */
  readonly address: Endpoint;
  /** Milliseconds that a search for the holder of a flow has. */
  readonly searchTimeout: number;
  readonly cache: FlowCache;
  /** How agents are chosen; `DEFAULT_CHOICE` when undefined. */
  readonly choice?: ChoiceSettings;
  /** Whether a zone is out of service: none of its targets gets new flows. */
  isEvacuated(zone: string): boolean;
  /** Whether the view is not one that may lack what the store has lost; no flow is reset before. */
  isViewConverged(): boolean;
}

/** Routes packets by the routing table in force. */
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
    this.holderSearch = new HolderSearch(shared);
  }

  get counters(): RoutingCounters {
    return this.forwarder.counters;
  }

  /** Targets that get no flows but trials, since they are far worse than their services. */
  get agentsSetAside(): number {
    return this.placement.agentsSetAside;
  }

  /** Puts a routing table in force. */
  apply(table: RoutingTable): void {
    this.routes = new Map(table.routes.map((route) => [route.destination, route]));
    this.routingVersion = table.version;
    this.placement.apply(table);
  }

  /** The route that a client's packet names; undefined for none, or without a routing table. */
  findRoute({ destination }: FlowPacket): Route | undefined {
    return this.routes?.get(destination);
  }

  /** Routes one datagram of a client. */
  route(bytes: Buffer): void {
    const packet = this.receive(bytes);
    if (packet) {
      this.routePacket(packet);
    }
  }

  /**
   * Routes a packet that another balancer could not deliver; it goes no further way round.
   * @param agent the agent that holds its flow, as the other balancer knows it
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
      this.forwarder.deliver(packet, getServiceNames(route), agent, 0);
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

  /** An agent's target did not take a packet: offers it to the next agent. */
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

  /** The targets of all agents of a search do not hold a packet's flow. */
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

  /** No agent of a group of a search knows a packet's flow; their targets were not asked. */
  handleNoneKnows(message: NoneKnowsMessage): void {
    const packet = this.dependencies.format.decodeFromClient(message.payload);
    const search = packet && this.findActiveSearch(packet, message.searchId);
    if (packet && search) {
      this.holderSearch.handleNoneKnows(packet, search, message.agents);
    }
  }

  /** An agent's target holds a flow. */
  confirmHolder(flow: FlowKey, agent: Endpoint): void {
    this.counters.flowsFound++;
    this.searches.endHolderSearch(flow);
    this.dependencies.cache.confirm(flow, agent, this.dependencies.environment.now());
    for (const { packet, route } of this.holderSearch.takeWaiting(flow)) {
      this.forwarder.deliver(packet, getServiceNames(route), agent, 0);
    }
  }

  /** Ends the timer. */
  stop(): void {
    this.holderSearch.stop();
  }

  /** An agent that was away is back: hands it what has waited for it. */
  handleAgentReturned(agent: Endpoint): void {
    this.forwarder.deliverDelayed(agent);
  }

  /** Drops what is too old to matter. */
  expire(now: number): void {
    this.searches.expire(now);
    this.forwarder.expire(now);
    this.holderSearch.expire(now);
    this.placement.expire(now);
    this.dependencies.cache.expire(now);
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
    const known = cache.get(packet.flow, environment.now());
    if (known) {
      this.placement.recordPacket(packet, known.usage);
    }
    if (known && directory.find(known.agent)) {
      this.forwarder.deliver(packet, getServiceNames(route), known.agent, 0);
    } else {
      this.holderSearch.find(packet, route);
    }
  }

  /**
   * The search for a packet's holder that is still under way; undefined when it has ended, so
   * that a late outcome begins nothing.
   */
  private findActiveSearch(packet: FlowPacket, searchId: number): FlowSearch | undefined {
    const search = this.searches.find(searchId, this.dependencies.environment.now());
    return search?.flow === packet.flow ? search : undefined;
  }

  /**
   * The search that a refused packet belongs to. Ids begin anew with each run, so a late
   * refusal of a packet that an earlier run sent may name the search of another flow.
   */
  private findOrResumeSearch(packet: FlowPacket, route: Route, searchId: number): FlowSearch {
    const known = this.findActiveSearch(packet, searchId);
    if (known) {
      return known;
    }
    return packet.opens
      ? this.placement.resumeSearch(packet, route)
      : this.holderSearch.findOrBeginSearch(packet, route);
  }
}

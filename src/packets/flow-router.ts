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
import { PacketOutlet, type PacketOutletDependencies, type RoutingCounters } from './packet-outlet';
import { getServiceNames, type Route, type RoutingTable } from './routing-table';

/** Milliseconds for which it is remembered who has refused a flow. */
const SEARCH_LIFETIME = 10_000;

/** What the router works with. */
export interface FlowRouterDependencies extends PacketOutletDependencies {
  readonly zone: string;
  readonly locality: Locality;
  /** Where agents reach this balancer. */
  readonly address: Endpoint;
  /** Milliseconds that a search for the holder of a flow has. */
  readonly locateTimeout: number;
  readonly cache: FlowCache;
  /** How agents are chosen; `DEFAULT_CHOICE` when undefined. */
  readonly choice?: ChoiceSettings;
  /** Whether a zone is out of service: none of its targets gets new flows. */
  isEvacuated(zone: string): boolean;
  /** Whether the view is not one that may lack what the store has lost; no flow is reset before. */
  isViewSettled(): boolean;
}

/** Routes packets by the routing table in force. */
export class FlowRouter {
  private readonly searches = new FlowSearches(SEARCH_LIFETIME);
  private readonly outlet: PacketOutlet;
  private readonly placement: FlowPlacement;
  private readonly holders: HolderSearch;
  private routes: ReadonlyMap<Endpoint, Route> | undefined;
  private routingVersion = 0;

  constructor(private readonly dependencies: FlowRouterDependencies) {
    this.outlet = new PacketOutlet(dependencies);
    const shared = { ...dependencies, searches: this.searches, outlet: this.outlet };
    this.placement = new FlowPlacement(shared);
    this.holders = new HolderSearch(shared);
  }

  get counters(): RoutingCounters {
    return this.outlet.counters;
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
  routeOf({ destination }: FlowPacket): Route | undefined {
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
    this.outlet.noteDetoured(packet);
    const route = this.routes?.get(packet.destination);
    const isKnown = this.dependencies.directory.find(agent) !== undefined;
    if (route && !packet.opens && isKnown) {
      this.outlet.deliver(packet, getServiceNames(route), agent, 0);
      return;
    }
    if (!isKnown) {
      this.outlet.report(Events.detourLost, packet, { agent: formatEndpoint(agent) });
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
      this.holders.forget(packet.flow);
      this.placement.open(packet, route);
    } else {
      this.continueFlow(packet, route);
    }
  }

  /** An agent's target did not take a packet: offers it to the next agent. */
  refused(agent: Endpoint, message: NotHeldMessage): void {
    const { format, cache, directory, environment } = this.dependencies;
    const packet = format.decodeFromClient(message.payload);
    const route = packet && this.routes?.get(packet.destination);
    if (!packet || !route) {
      return;
    }
    cache.deny(packet.flow, agent);
    this.outlet.noteRefusal(agent, packet.flow);
    const search = this.searchOf(packet, route, message.searchId);
    search.refusedBy.add(agent);
    if (message.reason === RefusalReason.coldLimit) {
      directory.recordColdLimit(agent, environment.now());
    }
    if (packet.opens) {
      this.placement.offer(packet, search);
    } else {
      this.holders.offerNext(packet, search);
    }
  }

  /** The targets of all agents of a search do not hold a packet's flow. */
  noneHolds(message: NoneHoldsMessage): void {
    const packet = this.dependencies.format.decodeFromClient(message.payload);
    if (!packet || packet.opens) {
      return;
    }
    for (const agent of message.agents) {
      this.dependencies.cache.deny(packet.flow, agent);
      this.outlet.noteRefusal(agent, packet.flow);
    }
    const search = this.openSearchOf(packet, message.searchId);
    if (search) {
      this.holders.noneHolds(packet, search, message.agents);
    }
  }

  /** No agent of a group of a search knows a packet's flow; their targets were not asked. */
  noneKnows(message: NoneKnowsMessage): void {
    const packet = this.dependencies.format.decodeFromClient(message.payload);
    const search = packet && this.openSearchOf(packet, message.searchId);
    if (packet && search) {
      this.holders.noneKnows(packet, search, message.agents);
    }
  }

  /** An agent's target holds a flow. */
  confirmed(flow: FlowKey, agent: Endpoint): void {
    this.counters.flowsFound++;
    this.searches.forgetFlow(flow);
    this.dependencies.cache.confirm(flow, agent, this.dependencies.environment.now());
    for (const { packet, route } of this.holders.takeWaiting(flow)) {
      this.outlet.deliver(packet, getServiceNames(route), agent, 0);
    }
  }

  /** Ends the timer. */
  stop(): void {
    this.holders.stop();
  }

  /** An agent that was away is back: hands it what has waited for it. */
  agentReturned(agent: Endpoint): void {
    this.outlet.deliverDelayed(agent);
  }

  /** Drops what is too old to matter. */
  expire(now: number): void {
    this.searches.expire(now);
    this.outlet.expire(now);
    this.holders.expire(now);
    this.placement.expire(now);
    this.dependencies.cache.expire(now);
  }

  private refuseWithoutRoute(packet: FlowPacket): void {
    this.counters.packetsWithoutRoute++;
    if (this.routes && !this.dependencies.isViewSettled()) {
      this.outlet.drop(packet, 'no route, the table may be an earlier one');
    } else if (this.routes && !packet.resets) {
      this.outlet.reset(packet, 'no route', { version: this.routingVersion });
    } else {
      this.outlet.drop(packet, 'no routing table');
    }
  }

  private continueFlow(packet: FlowPacket, route: Route): void {
    const { cache, directory, environment } = this.dependencies;
    const known = cache.use(packet.flow, environment.now());
    if (known) {
      this.placement.notePacket(packet, known.use);
    }
    if (known && directory.find(known.agent)) {
      this.outlet.deliver(packet, getServiceNames(route), known.agent, 0);
    } else {
      this.holders.find(packet, route);
    }
  }

  /**
   * The search for a packet's holder that is still under way; undefined when it has ended, so
   * that a late outcome begins nothing.
   */
  private openSearchOf(packet: FlowPacket, searchId: number): FlowSearch | undefined {
    const search = this.searches.find(searchId, this.dependencies.environment.now());
    return search?.flow === packet.flow ? search : undefined;
  }

  /**
   * The search that a refused packet belongs to. Ids begin anew with each run, so a late
   * refusal of a packet that an earlier run sent may name the search of another flow.
   */
  private searchOf(packet: FlowPacket, route: Route, searchId: number): FlowSearch {
    const known = this.openSearchOf(packet, searchId);
    if (known) {
      return known;
    }
    return packet.opens
      ? this.placement.resume(packet, route)
      : this.holders.searchOf(packet, route);
  }
}

/**
 * The balancer's decisions about clients' packets: which agent a new flow goes to, how
 * the agent of a known flow is found, and when a client is told that its flow is dead.
 *
 * Only the target holds a flow. Everything here is a short cut to it and can be lost:
 * a packet of an unknown flow is offered to every agent of its route in turn.
 */
import { formatEndpoint } from '../core/endpoint';
import { rankByRendezvous } from '../core/hashing';
import type { Endpoint, Environment, TimerHandle } from '../environment';
import type { EventFields, EventKind } from '../logging/events';
import { Events } from '../logging/events';
import type { AgentDirectory, AgentEntry } from './agent-directory';
import { DelayedDeliveries } from './delayed-deliveries';
import { selectAgent, type SelectionContext } from './agent-selection';
import type { CachedFlow, FlowCache } from './flow-cache';
import { FlowLocator } from './flow-locator';
import type { FlowKey, FlowPacket, PacketFormat } from './flow-packet';
import { FlowSearches, nextToAsk, noteOffer, type FlowSearch } from './flow-search';
import {
  PacketMessageType,
  type DeliverMessage,
  type NotHeldMessage,
  type PacketMessage,
} from './packet-messages';
import type { MessageLink } from '../wire/message-link';
import type { Route, RoutingTable } from './routing-table';
import { ServiceRotation } from './service-rotation';

/** Milliseconds for which it is remembered who has refused a flow. */
const SEARCH_LIFETIME = 10_000;

/** Counters of what became of clients' packets. */
export interface RoutingCounters {
  packetsReceived: number;
  packetsMalformed: number;
  packetsWithoutRoute: number;
  packetsDropped: number;
  flowsPlaced: number;
  flowsFound: number;
  searchesStarted: number;
  resetsSent: number;
}

/** What the router works with. */
export interface FlowRouterDependencies {
  readonly environment: Environment;
  readonly zone: string;
  /** Milliseconds that the holder of a flow has for its answer. */
  readonly locateTimeout: number;
  readonly format: PacketFormat;
  readonly directory: AgentDirectory;
  readonly cache: FlowCache;
  readonly link: MessageLink<PacketMessage>;
  /** Sends a reset to a client. */
  sendToClient(client: Endpoint, packet: Buffer): void;
}

/** Routes packets by the routing table in force. */
export class FlowRouter {
  readonly counters: RoutingCounters = {
    packetsReceived: 0,
    packetsMalformed: 0,
    packetsWithoutRoute: 0,
    packetsDropped: 0,
    flowsPlaced: 0,
    flowsFound: 0,
    searchesStarted: 0,
    resetsSent: 0,
  };
  private readonly searches = new FlowSearches(SEARCH_LIFETIME);
  private readonly delayed = new DelayedDeliveries();
  private readonly locator: FlowLocator;
  private locateTimer: TimerHandle | undefined;
  private readonly rotation = new ServiceRotation();
  private routes: ReadonlyMap<Endpoint, Route> | undefined;
  private routingVersion = 0;

  constructor(private readonly dependencies: FlowRouterDependencies) {
    this.locator = new FlowLocator(dependencies.locateTimeout);
  }

  /** Puts a routing table in force. */
  apply(table: RoutingTable): void {
    this.routes = new Map(table.routes.map((route) => [route.destination, route]));
    this.routingVersion = table.version;
    this.rotation.reset();
  }

  /** Routes one datagram of a client. */
  route(bytes: Buffer): void {
    this.counters.packetsReceived++;
    const packet = this.dependencies.format.decodeFromClient(bytes);
    if (!packet) {
      this.counters.packetsMalformed++;
      this.dependencies.environment.report(Events.packetMalformed, { length: bytes.length });
      return;
    }
    const route = this.routes?.get(packet.destination);
    if (!route) {
      this.refuseWithoutRoute(packet);
    } else if (packet.opens) {
      this.openFlow(packet, route);
    } else {
      this.continueFlow(packet, route);
    }
  }

  /** An agent's target did not take a packet: offers it to the next agent. */
  refused(agent: Endpoint, message: NotHeldMessage): void {
    const { format, cache, environment } = this.dependencies;
    const packet = format.decodeFromClient(message.payload);
    const route = packet && this.routes?.get(packet.destination);
    if (!packet || !route) {
      return;
    }
    cache.deny(packet.flow, agent);
    const known = this.searches.find(message.searchId, environment.now());
    const search = known ?? this.beginSearch(packet, route);
    search.refusedBy.add(agent);
    if (packet.opens) {
      this.offerOpening(packet, search);
    } else {
      this.offerNext(packet, search);
    }
  }

  /** An agent's target holds a flow. */
  confirmed(flow: FlowKey, agent: Endpoint): void {
    this.counters.flowsFound++;
    this.searches.forgetFlow(flow);
    this.dependencies.cache.confirm(flow, agent, this.dependencies.environment.now());
    for (const { packet, route } of this.locator.take(flow)) {
      this.deliver(packet, route, agent, 0);
    }
  }

  /** Ends the timer. */
  stop(): void {
    this.locateTimer?.cancel();
  }

  /** An agent that was away is back: hands it what has waited for it. */
  agentReturned(agent: Endpoint): void {
    const now = this.dependencies.environment.now();
    const messages = this.delayed.take(agent, now);
    messages.forEach((message) => this.dependencies.link.send(agent, message));
  }

  /** Drops what is too old to matter. */
  expire(now: number): void {
    this.searches.expire(now);
    this.delayed.expire(now);
    this.dependencies.cache.expire(now);
  }

  private refuseWithoutRoute(packet: FlowPacket): void {
    this.counters.packetsWithoutRoute++;
    if (this.routes && !packet.resets) {
      this.reset(packet, 'no route');
    } else {
      this.drop(packet, 'no routing table');
    }
  }

  private openFlow(packet: FlowPacket, route: Route): void {
    const { cache, environment } = this.dependencies;
    const known = cache.use(packet.flow, environment.now());
    if (known?.confirmed) {
      this.deliver(packet, route, known.agent, 0);
      return;
    }
    const service = known?.service ?? this.rotation.next(route);
    const search = this.searches.beginOpening(packet.flow, route, [service], environment.now());
    known?.offered.forEach((agent) => search.refusedBy.add(agent));
    this.offerOpening(packet, search);
  }

  private offerOpening(packet: FlowPacket, search: FlowSearch): void {
    const { directory, environment, cache } = this.dependencies;
    const now = environment.now();
    const [service] = search.services;
    const candidates = directory.ofServices(search.services);
    const untried = candidates.filter(({ address }) => !search.refusedBy.has(address));
    const chosen = selectAgent(untried, this.selectionContext(now));
    if (!chosen) {
      this.refuseOpening(packet, search, candidates);
      return;
    }
    chosen.recentOpenings.push(now);
    cache.noteOpening(packet.flow, chosen.address, service!, now);
    this.counters.flowsPlaced++;
    this.report(Events.flowPlaced, packet, {
      agent: formatEndpoint(chosen.address),
      service,
      copy: packet.openingCopy,
      refusals: search.refusedBy.size,
      busy: chosen.report?.busyRequests,
      flows: chosen.report?.openFlows,
      failing: chosen.report?.failurePercent,
      reportAge: chosen.heardAt === undefined ? undefined : Math.round(now - chosen.heardAt),
    });
    this.deliver(packet, search.route, chosen.address, search.id, search.services);
  }

  /**
   * No agent takes a new flow. The client is told at once, unless an earlier copy may
   * have opened the flow somewhere or agents are missing from this balancer's view.
   */
  private refuseOpening(
    packet: FlowPacket,
    search: FlowSearch,
    candidates: readonly AgentEntry[],
  ): void {
    const { cache, directory, environment } = this.dependencies;
    const known = cache.use(packet.flow, environment.now());
    const firstCopy = packet.openingCopy === 0 && (known?.offered.size ?? 0) === 0;
    const everyoneHeard = candidates.every(({ report }) => report !== undefined);
    this.searches.end(search);
    if (firstCopy && everyoneHeard && directory.isComplete) {
      this.reset(packet, 'no agent takes the flow');
    } else {
      this.drop(packet, 'no agent known to take the flow');
    }
  }

  private continueFlow(packet: FlowPacket, route: Route): void {
    const { cache, directory, environment } = this.dependencies;
    const known = cache.use(packet.flow, environment.now());
    if (known && directory.find(known.agent)) {
      this.deliver(packet, route, known.agent, 0);
      return;
    }
    if (this.locator.isAsked(packet.flow)) {
      this.locator.wait({ packet, route });
      return;
    }
    this.counters.searchesStarted++;
    const search = this.beginSearch(packet, route);
    if (search.isLocated || known !== undefined || !this.locate(packet, search)) {
      this.offerNext(packet, search, known);
    }
  }

  /** Asks all agents of the route who holds a flow; false when that cannot be done now. */
  private locate(packet: FlowPacket, search: FlowSearch): boolean {
    const { directory, environment, link } = this.dependencies;
    const { route } = search;
    if (!this.locator.ask({ packet, route }, environment.now())) {
      return false;
    }
    search.isLocated = true;
    const agents = directory.ofServices(search.services).map(({ address }) => address);
    const flow = Buffer.from(packet.flow, 'latin1');
    link.sendToAll(agents, { type: PacketMessageType.locate, flow });
    this.startLocateTimer();
    return true;
  }

  /** Offers packets whose holder has not answered to one agent after the other. */
  private endLocating(): void {
    const { environment } = this.dependencies;
    this.locateTimer = undefined;
    for (const { packet, route } of this.locator.takeOverdue(environment.now())) {
      this.offerNext(packet, this.beginSearch(packet, route));
    }
    if (this.locator.size > 0) {
      this.startLocateTimer();
    }
  }

  private startLocateTimer(): void {
    const { environment, locateTimeout } = this.dependencies;
    this.locateTimer ??= environment.startTimer(locateTimeout, () => this.endLocating());
  }

  private beginSearch(packet: FlowPacket, route: Route): FlowSearch {
    const services = route.services.map(({ service }) => service);
    const { cache, environment } = this.dependencies;
    const now = environment.now();
    if (!packet.opens) {
      return this.searches.forHolder(packet.flow, route, services, now);
    }
    const opened = cache.use(packet.flow, now)?.service;
    const service = opened !== undefined && services.includes(opened) ? opened : services[0]!;
    return this.searches.beginOpening(packet.flow, route, [service], now);
  }

  /** Offers a packet of a flow that is open somewhere to the next agent. */
  private offerNext(packet: FlowPacket, search: FlowSearch, known?: CachedFlow): void {
    const next = this.nextCandidate(packet, search, known);
    if (next) {
      noteOffer(search, next.address);
      this.deliver(packet, search.route, next.address, search.id, search.services);
      return;
    }
    this.searches.end(search);
    this.conclude(packet, search);
  }

  /** Agents heard lately come first, in rendezvous order; silent ones may hold the flow too. */
  private nextCandidate(
    packet: FlowPacket,
    search: FlowSearch,
    known: CachedFlow | undefined,
  ): AgentEntry | undefined {
    const { directory, environment, cache } = this.dependencies;
    const now = environment.now();
    const untried = directory
      .ofServices(search.services)
      .filter(({ address }) => !search.refusedBy.has(address));
    const offered = (known ?? cache.use(packet.flow, now))?.offered;
    const likely = untried.find(
      ({ address }) => offered?.has(address) && !search.offeredTo.has(address),
    );
    if (likely) {
      return likely;
    }
    const heard = untried.filter((entry) => directory.isHeard(entry, now));
    const pool = nextToAsk(search, heard.length > 0 ? heard : untried);
    const byName = new Map(pool.map((entry) => [String(entry.address), entry]));
    const [best] = rankByRendezvous(packet.flow, [...byName.keys()]);
    return best === undefined ? undefined : byName.get(best);
  }

  /** Every agent known has refused the packet: the flow is dead if every agent is known. */
  private conclude(packet: FlowPacket, search: FlowSearch): void {
    if (packet.resets) {
      return;
    }
    if (search.refusedBy.size > 0 && this.dependencies.directory.isComplete) {
      this.reset(packet, 'no agent holds the flow', search.refusedBy.size);
    } else {
      this.drop(packet, 'holder unknown');
    }
  }

  private deliver(
    packet: FlowPacket,
    route: Route,
    agent: Endpoint,
    searchId: number,
    services: readonly string[] = route.services.map(({ service }) => service),
  ): void {
    const { directory, environment, link } = this.dependencies;
    const message: DeliverMessage = {
      type: PacketMessageType.deliver,
      searchId,
      services,
      payload: packet.bytes,
    };
    const now = environment.now();
    const entry = directory.find(agent);
    if (entry && !packet.opens && !directory.isHeard(entry, now)) {
      this.delayed.add(agent, message, now);
    }
    link.send(agent, message);
  }

  private reset(packet: FlowPacket, reason: string, refusals = 0): void {
    this.counters.resetsSent++;
    this.report(Events.flowReset, packet, { reason, refusals, version: this.routingVersion });
    const { format, sendToClient } = this.dependencies;
    sendToClient(packet.client, format.createReset(packet));
  }

  private drop(packet: FlowPacket, reason: string): void {
    this.counters.packetsDropped++;
    this.report(Events.packetDropped, packet, { reason, opens: packet.opens });
  }

  private report(event: EventKind, packet: FlowPacket, fields: EventFields): void {
    this.dependencies.environment.report(event, {
      client: formatEndpoint(packet.client),
      destination: formatEndpoint(packet.destination),
      ...fields,
    });
  }

  private selectionContext(now: number): SelectionContext {
    const { directory, environment, zone } = this.dependencies;
    return {
      zone,
      isHeard: (entry) => directory.isHeard(entry, now),
      random: () => environment.random(),
    };
  }
}

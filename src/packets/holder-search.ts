/**
 * The balancer's search for the holder of an open flow: the agent whose target has its state.
 *
 * A packet of an unknown flow is forwarded from agent to agent, first as a query and then as an
 * offer to their targets; the balancer sends it once and gets one outcome. It records which
 * agents have refused, so that retransmissions go only to the others, and resets a flow only
 * after checking against the current directory.
 */
import type { Endpoint, Environment, TimerHandle } from '../environment';
import { Events } from '../logging/events';
import type { AgentDirectory, AgentEntry } from './agent-directory';
import type { FlowCache } from './flow-cache';
import type { FlowDestinations } from './flow-destinations';
import { PendingSearches, type WaitingPacket } from './pending-searches';
import type { FlowKey, FlowPacket } from './flow-packet';
import { recordOffer, type FlowSearch, type FlowSearches } from './flow-search';
import type { Locality } from './locality/locality';
import type { PacketLink } from './packet-link';
import type { PacketForwarder } from './packet-forwarder';
import { RecentResets } from './recent-resets';
import type { Route } from './routing-table';
import { planSearch, type SearchView } from './search-plan';
import { SearchDispatch } from './search-dispatch';
import { GROUP_SIZE } from './search-order';

/** Attempts without message loss: one through the likely agents, one through the rest. */
const EXPECTED_ATTEMPTS = 2;
/** Services that a search is widened to at once; their names travel in each of its messages. */
const MAXIMUM_WIDENED_SERVICES = 16;
/**
 * Silence after which an agent of another service does not hold up a search: longer than its planned
 * restart. Each agent of the route's own services does, whatever its silence.
 */
const MAXIMUM_WIDENED_SILENCE_MS = 4_000;

/** Dependencies of the holder search. */
export interface HolderSearchDependencies {
  readonly environment: Environment;
  readonly locality: Locality;
  /** Address to which agents send the outcome. */
  readonly address: Endpoint;
  /** Minimum time limit of a search in milliseconds; then the next packet of its flow starts another. */
  readonly searchTimeout: number;
  readonly directory: AgentDirectory;
  readonly cache: FlowCache;
  readonly flowDestinations: FlowDestinations;
  readonly searches: FlowSearches;
  readonly link: PacketLink;
  readonly forwarder: PacketForwarder;
  /** Names of the services whose targets may hold open flows of a route. */
  listHolderServices(route: Route): readonly string[];
  /** Whether the view has all entries that a store restored from a backup may lack. */
  isViewConverged(): boolean;
}

/** All holder searches of one balancer. */
export class HolderSearch {
  private readonly pendingSearches: PendingSearches;
  private readonly dispatch: SearchDispatch;
  private readonly recentResets = new RecentResets();
  private timer: TimerHandle | undefined;

  constructor(private readonly dependencies: HolderSearchDependencies) {
    this.pendingSearches = new PendingSearches(dependencies.searchTimeout);
    this.dispatch = new SearchDispatch({
      ...dependencies,
      waitForOutcome: (packet, search, agents) => this.waitForOutcome(packet, search, agents),
    });
  }

  /** Cancels the timer. */
  stop(): void {
    this.timer?.cancel();
  }

  /** Starts a search for the holder of a packet's flow, or lets the packet wait for one in progress. */
  find(packet: FlowPacket, route: Route): void {
    if (this.recentResets.has(packet.flow, this.dependencies.environment.now())) {
      this.repeatReset(packet);
      return;
    }
    if (this.pendingSearches.isPending(packet.flow)) {
      this.pendingSearches.enqueue({ packet, route });
      return;
    }
    this.dependencies.forwarder.counters.searchesStarted++;
    this.offerNext(packet, this.findOrBeginSearch(packet, route));
  }

  /** Returns the recorded search for the holder of a packet's flow, or a new one. */
  findOrBeginSearch(packet: FlowPacket, route: Route): FlowSearch {
    const { environment, listHolderServices, searches } = this.dependencies;
    const services = listHolderServices(route);
    return searches.findOrBegin(packet.flow, route, services, environment.now());
  }

  /**
   * Handles the answer of a group whose agents do not know a flow. All groups offer the packet to
   * their targets only once every group has answered, so one unreachable agent prevents all offers.
   */
  handleNoneKnows(packet: FlowPacket, search: FlowSearch, agents: readonly Endpoint[]): void {
    const { round, unknownTo } = search;
    agents.forEach((agent) => unknownTo.add(agent));
    search.unansweredAttempts = 0;
    if (!round || round.outstanding.size === 0) {
      return;
    }
    agents.forEach((agent) => round.outstanding.delete(agent));
    if (round.outstanding.size > 0) {
      return;
    }
    if (round.isFollowedByOffer) {
      this.dispatch.offerToAll(packet, search, round.agents);
    } else {
      search.round = undefined;
      this.offerNext(packet, search);
    }
  }

  /** Records agents whose targets do not hold a flow, and continues with the others. */
  handleNoneHolds(packet: FlowPacket, search: FlowSearch, agents: readonly Endpoint[]): void {
    agents.forEach((agent) => search.refusedBy.add(agent));
    search.unansweredAttempts = 0;
    this.offerNext(packet, search);
  }

  /** Takes the next step of a search with the agents that have not refused the packet yet. */
  offerNext(packet: FlowPacket, search: FlowSearch): void {
    if (this.isAwaitingOutcome(search)) {
      return;
    }
    const { cache, environment } = this.dependencies;
    const untried = this.findUntried(search);
    const openingOffers = cache.get(packet.flow, environment.now())?.offeredTo;
    const likely = untried.find(
      ({ address }) => openingOffers?.has(address) && !search.offeredTo.has(address),
    );
    if (likely) {
      this.offerTo(likely, packet, search);
      return;
    }
    const plan = planSearch(untried, search, this.createView());
    switch (plan.kind) {
      case 'query':
        this.dispatch.queryInParts(plan.heard, plan.awaited, packet, search);
        this.waitForAgents(packet, search);
        return;
      case 'wait':
        this.waitForAgents(packet, search);
        return;
      case 'search':
        this.reportRepeat(packet, search, plan.agents.length);
        this.dispatch.sendThroughAgents(plan.agents, packet, search);
        return;
      case 'offer':
        this.offerTo(plan.agent, packet, search);
        return;
      case 'offerSilent':
        this.reportStall(packet, search, untried.length);
        this.dispatch.offerToUnresponsive(plan.agent, packet, search);
        return;
      case 'conclude':
        if (this.addServices(packet, search)) {
          this.offerNext(packet, search);
        } else {
          this.conclude(packet, search);
        }
    }
  }

  /** Finds the agents of a search's services that may hold its flow. */
  private findUntried(search: FlowSearch): AgentEntry[] {
    return this.findPossibleHolders(
      this.dependencies.directory.findByServices(search.services),
      search,
    );
  }

  /** Finds those of some agents that have not refused a search's flow and whose targets may hold it. */
  private findPossibleHolders(
    agents: Iterable<AgentEntry>,
    { refusedBy, route }: FlowSearch,
  ): AgentEntry[] {
    const { directory, environment, flowDestinations, listHolderServices } = this.dependencies;
    const now = environment.now();
    const holderServices = listHolderServices(route);
    const mayHoldFormerFlow = (entry: AgentEntry): boolean =>
      flowDestinations.mayHold(entry.address, route.destination, now) &&
      directory.getSilence(entry, now) <= MAXIMUM_WIDENED_SILENCE_MS;
    return [...agents]
      .filter(({ address }) => !refusedBy.has(address))
      .filter((entry) => !directory.hasNoTarget(entry, now))
      .filter((entry) => holderServices.includes(entry.service) || mayHoldFormerFlow(entry));
  }

  /**
   * Adds further services to a search whose agents may hold flows of its route from before this
   * balancer started.
   * @returns false if there is none
   */
  private addServices(packet: FlowPacket, search: FlowSearch): boolean {
    const { directory, environment, flowDestinations, forwarder, listHolderServices } =
      this.dependencies;
    if (!flowDestinations.isNeeded(environment.now())) {
      return false;
    }
    const untried = this.findPossibleHolders(directory.getAll(), search);
    const services = [...new Set(untried.map(({ service }) => service))];
    const added = services.slice(0, MAXIMUM_WIDENED_SERVICES);
    if (added.length === 0) {
      return false;
    }
    search.services = [...new Set([...listHolderServices(search.route), ...added])];
    const fields = { services: added.join(' '), agents: untried.length };
    forwarder.reportEvent(Events.searchWidened, packet, fields);
    return true;
  }

  private createView(): SearchView {
    const { directory, environment, link } = this.dependencies;
    const now = environment.now();
    return {
      isHeard: (entry) => directory.isHeard(entry, now),
      isReportPending: (entry) => directory.isReportPending(entry, now),
      supportsCompactFrames: (agent) => link.supportsCompactFrames(agent),
      supportsGroupSearch: (agent) => link.supportsGroupSearch(agent),
    };
  }

  /** Retains a packet until more agents have reported or have exceeded the time for a report. */
  private waitForAgents(packet: FlowPacket, search: FlowSearch): void {
    search.unansweredAttempts = 0;
    this.waitForOutcome(packet, search, GROUP_SIZE);
    this.pendingSearches.keepForRetry({ packet, route: search.route });
  }

  /** Reports that only unresponsive agents are left; no reset until they report or are removed. */
  private reportStall(packet: FlowPacket, search: FlowSearch, silent: number): void {
    if (!search.hasStalled) {
      search.hasStalled = true;
      const { refusedBy, attempts } = search;
      const fields = { silent, refusals: refusedBy.size, attempts };
      this.dependencies.forwarder.reportEvent(Events.searchStalled, packet, fields);
    }
  }

  /** Ends the search for a flow whose holder is known; returns the packets that wait for it. */
  takeWaiting(flow: FlowKey): readonly WaitingPacket[] {
    this.recentResets.forget(flow);
    return this.pendingSearches.takeWaiting(flow);
  }

  /** Forgets the reset of an earlier flow with the same key, since it is opened again. */
  forgetReset(flow: FlowKey): void {
    this.recentResets.forget(flow);
  }

  /** Removes expired entries. */
  expire(now: number): void {
    this.recentResets.expire(now);
  }

  private reportRepeat(packet: FlowPacket, search: FlowSearch, heard: number): void {
    const { refusedBy, attempts, services } = search;
    if (attempts < EXPECTED_ATTEMPTS) {
      return;
    }
    const known = this.dependencies.directory.findByServices(services).length;
    const fields = { attempts, heard, known, refusals: refusedBy.size };
    this.dependencies.forwarder.reportEvent(Events.searchRepeated, packet, fields);
  }

  private offerTo(agent: AgentEntry, packet: FlowPacket, search: FlowSearch): void {
    recordOffer(search, agent.address);
    this.dependencies.forwarder.deliver(packet, search.services, agent.address, search.id);
  }

  private waitForOutcome(packet: FlowPacket, search: FlowSearch, agents: number): void {
    const now = this.dependencies.environment.now();
    this.pendingSearches.beginOrExtend(packet.flow, agents, now, search.unansweredAttempts);
    this.startTimer();
  }

  /** Whether the current round of a search is still in progress and not overdue. */
  private isAwaitingOutcome({ flow, refusedBy, round }: FlowSearch): boolean {
    const isOpen = round?.agents.some((agent) => !refusedBy.has(agent)) ?? false;
    return isOpen && this.pendingSearches.isPending(flow);
  }

  /** Starts another search, with the latest packet, for each flow whose search timed out. */
  private restartOverdue(): void {
    const { environment } = this.dependencies;
    this.timer = undefined;
    const overdue = this.pendingSearches.takeOverdue(environment.now());
    for (const waiting of groupByFlow(overdue).values()) {
      this.restartSearch(waiting);
    }
    if (this.pendingSearches.size > 0) {
      this.startTimer();
    }
  }

  /** Drops packets that have waited for two searches; their client retransmits them. */
  private restartSearch(waiting: readonly WaitingPacket[]): void {
    const latest = waiting.filter(({ hasWaited }) => !hasWaited).at(-1);
    if (!latest) {
      return;
    }
    this.find(latest.packet, latest.route);
    waiting
      .filter((other) => other !== latest)
      .forEach((other) => this.pendingSearches.enqueue({ ...other, hasWaited: true }));
  }

  private startTimer(): void {
    const { environment, searchTimeout } = this.dependencies;
    this.timer ??= environment.startTimer(searchTimeout, () => this.restartOverdue());
  }

  /** Ends a search that all known agents refused; resets the flow if the view has all agents. */
  private conclude(packet: FlowPacket, search: FlowSearch): void {
    const { directory, environment, isViewConverged, forwarder, searches } = this.dependencies;
    searches.end(search);
    const waiting = this.pendingSearches.takeWaiting(packet.flow);
    const isEveryAgentKnown = directory.isComplete && isViewConverged();
    if (search.refusedBy.size === 0 || !isEveryAgentKnown) {
      forwarder.drop(packet, 'holder unknown');
      return;
    }
    this.recentResets.add(packet.flow, environment.now());
    if (!packet.resets) {
      forwarder.reset(packet, 'no agent holds the flow', {
        refusals: search.refusedBy.size,
        agents: directory.size,
        attempts: search.attempts,
        sureAttempts: search.conclusiveAttempts,
      });
    } else if (waiting.length > 0) {
      this.repeatReset(waiting[0]!.packet);
    }
  }

  private repeatReset(packet: FlowPacket): void {
    if (!packet.resets) {
      this.dependencies.forwarder.repeatReset(packet);
    }
  }
}

function groupByFlow(waiting: readonly WaitingPacket[]): Map<FlowKey, WaitingPacket[]> {
  const groups = new Map<FlowKey, WaitingPacket[]>();
  for (const entry of waiting) {
    const group = groups.get(entry.packet.flow) ?? [];
    groups.set(entry.packet.flow, group);
    group.push(entry);
  }
  return groups;
}

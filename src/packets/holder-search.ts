/**
 * The balancer's search for the agent whose target holds an open flow.
 *
 * A packet of an unknown flow travels through the agents, which ask each other and then
 * offer it to their targets; the balancer sends it once and hears the outcome once. Its
 * own notes say which agents have refused, so that copies go only to the others, and
 * a flow is declared dead only against the directory of that moment.
 */
import type { Endpoint, Environment, TimerHandle } from '../environment';
import { Events } from '../logging/events';
import type { AgentDirectory, AgentEntry } from './agent-directory';
import type { FlowCache } from './flow-cache';
import { PendingSearches, type WaitingPacket } from './pending-searches';
import type { FlowKey, FlowPacket } from './flow-packet';
import { recordOffer, type FlowSearch, type FlowSearches } from './flow-search';
import type { Locality } from './locality/locality';
import type { PacketLink } from './packet-link';
import type { PacketForwarder } from './packet-forwarder';
import { RecentResets } from './recent-resets';
import { getServiceNames, type Route } from './routing-table';
import { planSearch, type SearchView } from './search-plan';
import { SearchDispatch } from './search-dispatch';
import { GROUP_SIZE } from './search-order';

/** Times that a packet is sent through agents where none is lost: the likely ones, then the rest. */
const EXPECTED_ATTEMPTS = 2;

/** What the search works with. */
export interface HolderSearchDependencies {
  readonly environment: Environment;
  readonly locality: Locality;
  /** Where agents send the outcome. */
  readonly address: Endpoint;
  /** Milliseconds that a search has before the next packet of its flow begins another. */
  readonly searchTimeout: number;
  readonly directory: AgentDirectory;
  readonly cache: FlowCache;
  readonly searches: FlowSearches;
  readonly link: PacketLink;
  readonly forwarder: PacketForwarder;
  /** Whether the view is not one that may lack what the store has lost. */
  isViewConverged(): boolean;
}

/** The searches for holders of one balancer. */
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

  /** Ends the timer. */
  stop(): void {
    this.timer?.cancel();
  }

  /** Finds the holder of a packet's flow. */
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

  /** The search for a packet's holder, begun now unless one is noted. */
  findOrBeginSearch(packet: FlowPacket, route: Route): FlowSearch {
    const { environment, searches } = this.dependencies;
    return searches.findOrBegin(packet.flow, route, getServiceNames(route), environment.now());
  }

  /**
   * No agent of a group knows a packet's flow. Once none of any group does, all groups offer it
   * to their targets; an agent out of reach thus keeps every other target from being touched.
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

  /** The targets of some agents do not hold a packet's flow: goes on with the others. */
  handleNoneHolds(packet: FlowPacket, search: FlowSearch, agents: readonly Endpoint[]): void {
    agents.forEach((agent) => search.refusedBy.add(agent));
    search.unansweredAttempts = 0;
    this.offerNext(packet, search);
  }

  /** Offers a packet to the agents that have not refused it yet. */
  offerNext(packet: FlowPacket, search: FlowSearch): void {
    if (this.isAwaitingOutcome(search)) {
      return;
    }
    const { cache, environment } = this.dependencies;
    const untried = this.findUntried(search);
    const offered = cache.get(packet.flow, environment.now())?.offeredTo;
    const likely = untried.find(
      ({ address }) => offered?.has(address) && !search.offeredTo.has(address),
    );
    if (likely) {
      this.offerTo(likely, packet, search);
      return;
    }
    const plan = planSearch(untried, search, this.createView());
    switch (plan.kind) {
      case 'ask':
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
        this.dispatch.offerToSilent(plan.agent, packet, search);
        return;
      case 'conclude':
        this.conclude(packet, search);
    }
  }

  /** Agents of a search's services that may hold its flow, as far as is known. */
  private findUntried({ refusedBy, services }: FlowSearch): AgentEntry[] {
    const { directory, environment } = this.dependencies;
    const now = environment.now();
    return directory
      .findByServices(services)
      .filter((entry) => !refusedBy.has(entry.address))
      .filter((entry) => !directory.hasNoTarget(entry, now));
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

  /** A packet waits until more agents are heard, or have been silent for long enough. */
  private waitForAgents(packet: FlowPacket, search: FlowSearch): void {
    search.unansweredAttempts = 0;
    this.waitForOutcome(packet, search, GROUP_SIZE);
    this.pendingSearches.keepForRetry({ packet, route: search.route });
  }

  /** Only agents are left that say nothing: the flow is told dead once they are heard, or removed. */
  private reportStall(packet: FlowPacket, search: FlowSearch, silent: number): void {
    if (!search.hasStalled) {
      search.hasStalled = true;
      const { refusedBy, attempts } = search;
      const fields = { silent, refusals: refusedBy.size, attempts };
      this.dependencies.forwarder.reportEvent(Events.searchStalled, packet, fields);
    }
  }

  /** A flow's holder is known: packets that wait for it. */
  takeWaiting(flow: FlowKey): readonly WaitingPacket[] {
    this.recentResets.forget(flow);
    return this.pendingSearches.takeWaiting(flow);
  }

  /** A flow is opened anew: what is noted of an earlier one is void. */
  forgetReset(flow: FlowKey): void {
    this.recentResets.forget(flow);
  }

  /** Drops notes that are too old. */
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

  /** Whether a search, or groups of its present round, are still under way and not overdue. */
  private isAwaitingOutcome({ flow, refusedBy, round }: FlowSearch): boolean {
    const isOpen = round?.agents.some((agent) => !refusedBy.has(agent)) ?? false;
    return isOpen && this.pendingSearches.isPending(flow);
  }

  /** Begins another search for each flow whose search has had no outcome, with the packet that came last. */
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

  /** Packets that have waited for two searches are dropped: their client repeats them. */
  private restartSearch(waiting: readonly WaitingPacket[]): void {
    const latest = waiting.filter(({ hasWaited }) => !hasWaited).at(-1);
    if (!latest) {
      return;
    }
    this.find(latest.packet, latest.route);
    waiting
      .filter((one) => one !== latest)
      .forEach((one) => this.pendingSearches.enqueue({ ...one, hasWaited: true }));
  }

  private startTimer(): void {
    const { environment, searchTimeout: searchTimeout } = this.dependencies;
    this.timer ??= environment.startTimer(searchTimeout, () => this.restartOverdue());
  }

  /** Every agent known has refused the packet: the flow is dead if every agent is known. */
  private conclude(packet: FlowPacket, search: FlowSearch): void {
    const {
      directory,
      environment,
      isViewConverged: isViewConverged,
      forwarder: forwarder,
      searches,
    } = this.dependencies;
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
  for (const one of waiting) {
    const group = groups.get(one.packet.flow) ?? [];
    groups.set(one.packet.flow, group);
    group.push(one);
  }
  return groups;
}

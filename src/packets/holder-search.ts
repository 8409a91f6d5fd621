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
import { FlowLocator, type WaitingPacket } from './flow-locator';
import type { FlowKey, FlowPacket } from './flow-packet';
import { noteOffer, type FlowSearch, type FlowSearches } from './flow-search';
import type { Locality } from './locality/locality';
import type { PacketLink } from './packet-link';
import type { PacketOutlet } from './packet-outlet';
import { RecentResets } from './recent-resets';
import { getServiceNames, type Route } from './routing-table';
import { planSearch, type SearchView } from './search-plan';
import { SearchDispatch } from './search-dispatch';
import { GROUP_LENGTH } from './search-order';

/** Times that a packet is sent through agents where none is lost: the likely ones, then the rest. */
const REPEATS_EXPECTED = 2;

/** What the search works with. */
export interface HolderSearchDependencies {
  readonly environment: Environment;
  readonly locality: Locality;
  /** Where agents send the outcome. */
  readonly address: Endpoint;
  /** Milliseconds that a search has before the next packet of its flow begins another. */
  readonly locateTimeout: number;
  readonly directory: AgentDirectory;
  readonly cache: FlowCache;
  readonly searches: FlowSearches;
  readonly link: PacketLink;
  readonly outlet: PacketOutlet;
  /** Whether the view is not one that may lack what the store has lost. */
  isViewSettled(): boolean;
}

/** The searches for holders of one balancer. */
export class HolderSearch {
  private readonly locator: FlowLocator;
  private readonly dispatch: SearchDispatch;
  private readonly resetNotes = new RecentResets();
  private timer: TimerHandle | undefined;

  constructor(private readonly dependencies: HolderSearchDependencies) {
    this.locator = new FlowLocator(dependencies.locateTimeout);
    this.dispatch = new SearchDispatch({
      ...dependencies,
      sent: (packet, search, agents) => this.waitForOutcome(packet, search, agents),
    });
  }

  /** Ends the timer. */
  stop(): void {
    this.timer?.cancel();
  }

  /** Finds the holder of a packet's flow. */
  find(packet: FlowPacket, route: Route): void {
    if (this.resetNotes.has(packet.flow, this.dependencies.environment.now())) {
      this.repeatReset(packet);
      return;
    }
    if (this.locator.isAsked(packet.flow)) {
      this.locator.wait({ packet, route });
      return;
    }
    this.dependencies.outlet.counters.searchesStarted++;
    this.offerNext(packet, this.searchOf(packet, route));
  }

  /** The search for a packet's holder, begun now unless one is noted. */
  searchOf(packet: FlowPacket, route: Route): FlowSearch {
    const { environment, searches } = this.dependencies;
    return searches.forHolder(packet.flow, route, getServiceNames(route), environment.now());
  }

  /**
   * No agent of a group knows a packet's flow. Once none of any group does, all groups offer it
   * to their targets; an agent out of reach thus keeps every other target from being touched.
   */
  noneKnows(packet: FlowPacket, search: FlowSearch, agents: readonly Endpoint[]): void {
    const { round, unknownTo } = search;
    agents.forEach((agent) => unknownTo.add(agent));
    search.unanswered = 0;
    if (!round || round.unasked.size === 0) {
      return;
    }
    agents.forEach((agent) => round.unasked.delete(agent));
    if (round.unasked.size > 0) {
      return;
    }
    if (round.isOfferedNext) {
      this.dispatch.offerToAll(packet, search, round.agents);
    } else {
      search.round = undefined;
      this.offerNext(packet, search);
    }
  }

  /** The targets of some agents do not hold a packet's flow: goes on with the others. */
  noneHolds(packet: FlowPacket, search: FlowSearch, agents: readonly Endpoint[]): void {
    agents.forEach((agent) => search.refusedBy.add(agent));
    search.unanswered = 0;
    this.offerNext(packet, search);
  }

  /** Offers a packet to the agents that have not refused it yet. */
  offerNext(packet: FlowPacket, search: FlowSearch): void {
    if (this.awaitsOutcome(search)) {
      return;
    }
    const { cache, environment } = this.dependencies;
    const untried = this.findUntried(search);
    const offered = cache.use(packet.flow, environment.now())?.offered;
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
        this.dispatch.askInParts(plan.heard, plan.awaited, packet, search);
        this.waitForAgents(packet, search);
        return;
      case 'wait':
        this.waitForAgents(packet, search);
        return;
      case 'search':
        this.reportRepeat(packet, search, plan.agents.length);
        this.dispatch.sendThrough(plan.agents, packet, search);
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
      isAwaited: (entry) => directory.isReportPending(entry, now),
      speaksCompact: (agent) => link.supportsCompactFrames(agent),
      searchesInGroups: (agent) => link.supportsGroupSearch(agent),
    };
  }

  /** A packet waits until more agents are heard, or have been silent for long enough. */
  private waitForAgents(packet: FlowPacket, search: FlowSearch): void {
    search.unanswered = 0;
    this.waitForOutcome(packet, search, GROUP_LENGTH);
    this.locator.keepForRetry({ packet, route: search.route });
  }

  /** Only agents are left that say nothing: the flow is told dead once they are heard, or removed. */
  private reportStall(packet: FlowPacket, search: FlowSearch, silent: number): void {
    if (!search.hasStalled) {
      search.hasStalled = true;
      const { refusedBy, attempts } = search;
      const fields = { silent, refusals: refusedBy.size, attempts };
      this.dependencies.outlet.report(Events.searchStalled, packet, fields);
    }
  }

  /** A flow's holder is known: packets that wait for it. */
  takeWaiting(flow: FlowKey): readonly WaitingPacket[] {
    this.resetNotes.forget(flow);
    return this.locator.take(flow);
  }

  /** A flow is opened anew: what is noted of an earlier one is void. */
  forget(flow: FlowKey): void {
    this.resetNotes.forget(flow);
  }

  /** Drops notes that are too old. */
  expire(now: number): void {
    this.resetNotes.expire(now);
  }

  private reportRepeat(packet: FlowPacket, search: FlowSearch, heard: number): void {
    const { refusedBy, attempts, services } = search;
    if (attempts < REPEATS_EXPECTED) {
      return;
    }
    const known = this.dependencies.directory.findByServices(services).length;
    const fields = { attempts, heard, known, refusals: refusedBy.size };
    this.dependencies.outlet.report(Events.searchRepeated, packet, fields);
  }

  private offerTo(agent: AgentEntry, packet: FlowPacket, search: FlowSearch): void {
    noteOffer(search, agent.address);
    this.dependencies.outlet.deliver(packet, search.services, agent.address, search.id);
  }

  private waitForOutcome(packet: FlowPacket, search: FlowSearch, agents: number): void {
    const now = this.dependencies.environment.now();
    this.locator.ask(packet.flow, agents, now, search.unanswered);
    this.startTimer();
  }

  /** Whether a search, or groups of its present round, are still under way and not overdue. */
  private awaitsOutcome({ flow, refusedBy, round }: FlowSearch): boolean {
    const isOpen = round?.agents.some((agent) => !refusedBy.has(agent)) ?? false;
    return isOpen && this.locator.isAsked(flow);
  }

  /** Begins another search for each flow whose search has had no outcome, with the packet that came last. */
  private endOverdue(): void {
    const { environment } = this.dependencies;
    this.timer = undefined;
    const overdue = this.locator.takeOverdue(environment.now());
    for (const waiting of groupByFlow(overdue).values()) {
      this.repeatWith(waiting);
    }
    if (this.locator.size > 0) {
      this.startTimer();
    }
  }

  /** Packets that have waited for two searches are dropped: their client repeats them. */
  private repeatWith(waiting: readonly WaitingPacket[]): void {
    const latest = waiting.filter(({ hasWaited }) => !hasWaited).at(-1);
    if (!latest) {
      return;
    }
    this.find(latest.packet, latest.route);
    waiting
      .filter((one) => one !== latest)
      .forEach((one) => this.locator.wait({ ...one, hasWaited: true }));
  }

  private startTimer(): void {
    const { environment, locateTimeout } = this.dependencies;
    this.timer ??= environment.startTimer(locateTimeout, () => this.endOverdue());
  }

  /** Every agent known has refused the packet: the flow is dead if every agent is known. */
  private conclude(packet: FlowPacket, search: FlowSearch): void {
    const { directory, environment, isViewSettled, outlet, searches } = this.dependencies;
    searches.end(search);
    const waiting = this.locator.take(packet.flow);
    const isEveryAgentKnown = directory.isComplete && isViewSettled();
    if (search.refusedBy.size === 0 || !isEveryAgentKnown) {
      outlet.drop(packet, 'holder unknown');
      return;
    }
    this.resetNotes.add(packet.flow, environment.now());
    if (!packet.resets) {
      outlet.reset(packet, 'no agent holds the flow', {
        refusals: search.refusedBy.size,
        agents: directory.size,
        attempts: search.attempts,
        sureAttempts: search.sureAttempts,
      });
    } else if (waiting.length > 0) {
      this.repeatReset(waiting[0]!.packet);
    }
  }

  private repeatReset(packet: FlowPacket): void {
    if (!packet.resets) {
      this.dependencies.outlet.repeatReset(packet);
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

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
import {
  FlowKnowledge,
  MAXIMUM_SEARCH_LENGTH,
  PacketMessageType,
  SearchPhase,
  type SearchMessage,
  type SearchPhaseValue,
} from './packet-messages';
import type { PacketOutlet } from './packet-outlet';
import { ResetNotes } from './reset-notes';
import { servicesOf, type Route } from './routing-table';
import { planSearch, type SearchView } from './search-plan';
import { GROUP_LENGTH, orderSearch, splitIntoGroups } from './search-order';

/** Agents of one round of groups: a balancer sends and hears 20 messages for each stage of it. */
const MAXIMUM_ROUND_LENGTH = 20 * GROUP_LENGTH;

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
  private readonly resetNotes = new ResetNotes();
  private timer: TimerHandle | undefined;

  constructor(private readonly dependencies: HolderSearchDependencies) {
    this.locator = new FlowLocator(dependencies.locateTimeout);
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
    return searches.forHolder(packet.flow, route, servicesOf(route), environment.now());
  }

  /**
   * No agent of a group knows a packet's flow. Once none of any group does, all groups offer it
   * to their targets; an agent out of reach thus keeps every other target from being touched.
   */
  noneKnows(packet: FlowPacket, search: FlowSearch, agents: readonly Endpoint[]): void {
    const { round, unknownTo } = search;
    agents.forEach((agent) => unknownTo.add(agent));
    if (!round || round.unasked.size === 0) {
      return;
    }
    agents.forEach((agent) => round.unasked.delete(agent));
    if (round.unasked.size > 0) {
      return;
    }
    if (round.isOfferedNext) {
      this.sendToGroups(packet, search, round.agents, SearchPhase.offer);
    } else {
      search.round = undefined;
      this.offerNext(packet, search);
    }
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
        this.askOnly(plan.heard, plan.awaited, packet, search);
        return;
      case 'wait':
        this.waitForAgents(packet, search);
        return;
      case 'search':
        this.searchThrough(plan.agents, packet, search);
        return;
      case 'offer':
        this.offerTo(plan.agent, packet, search);
        return;
      case 'offerSilent':
        this.reportStall(packet, search, untried.length);
        this.offerToSilent(plan.agent, packet, search);
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
      .ofServices(services)
      .filter((entry) => !refusedBy.has(entry.address))
      .filter((entry) => !directory.hasNoTarget(entry, now));
  }

  private createView(): SearchView {
    const { directory, environment, link } = this.dependencies;
    const now = environment.now();
    return {
      isHeard: (entry) => directory.isHeard(entry, now),
      isAwaited: (entry) => directory.isAwaited(entry, now),
      speaksCompact: (agent) => link.speaksCompact(agent),
      searchesInGroups: (agent) => link.searchesInGroups(agent),
    };
  }

  /**
   * Asks agents whether they know a packet's flow. Those that are heard will answer; those that are
   * not stand in groups of their own, since one that is down ends the way of its group.
   */
  private askOnly(
    heard: readonly AgentEntry[],
    awaited: readonly AgentEntry[],
    packet: FlowPacket,
    search: FlowSearch,
  ): void {
    const parts = [heard, awaited].map((agents) => this.orderForAsking(agents, search));
    search.attempts++;
    this.waitForAgents(packet, search);
    this.askAgents(packet, search, parts);
  }

  private orderForAsking(
    agents: readonly AgentEntry[],
    { flow, attempts }: FlowSearch,
  ): Endpoint[] {
    const ordered = this.dependencies.locality.orderForSearch(flow, agents);
    return orderSearch(ordered.agents, attempts, MAXIMUM_ROUND_LENGTH, agents.length);
  }

  /** A packet waits until more agents are heard, or have been silent for long enough. */
  private waitForAgents(packet: FlowPacket, { route }: FlowSearch): void {
    this.waitForOutcome(packet, GROUP_LENGTH);
    this.locator.wait({ packet, route });
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

  /**
   * Sends a packet through agents: first through the few where its flow was placed in all
   * likelihood, then through those that know all flows of their targets, then through the rest.
   */
  private searchThrough(
    agents: readonly AgentEntry[],
    packet: FlowPacket,
    search: FlowSearch,
  ): void {
    const sure = agents.filter((agent) => this.isSure(agent));
    const isFirst = search.attempts === 0;
    if (search.attempts >= REPEATS_EXPECTED) {
      this.reportRepeat(packet, search, agents.length);
    }
    this.send(packet, search, isFirst || sure.length === 0 ? agents : sure);
  }

  private reportRepeat(packet: FlowPacket, search: FlowSearch, heard: number): void {
    const { refusedBy, attempts, services } = search;
    const known = this.dependencies.directory.ofServices(services).length;
    const fields = { attempts, heard, known, refusals: refusedBy.size };
    this.dependencies.outlet.report(Events.searchRepeated, packet, fields);
  }

  private isSure({ address, report }: AgentEntry): boolean {
    return (
      report?.flowKnowledge === FlowKnowledge.whole &&
      this.dependencies.link.searchesForSure(address)
    );
  }

  private offerTo(agent: AgentEntry, packet: FlowPacket, search: FlowSearch): void {
    noteOffer(search, agent.address);
    this.dependencies.outlet.deliver(packet, search.services, agent.address, search.id);
  }

  /**
   * Offers a packet to an agent that is silent to this balancer, and yet may be there. Without need its
   * target is not touched: an agent that knows all flows of its target goes by that.
   */
  private offerToSilent(agent: AgentEntry, packet: FlowPacket, search: FlowSearch): void {
    const { address } = agent;
    if (!this.dependencies.link.searchesForSure(address)) {
      this.offerTo(agent, packet, search);
      return;
    }
    noteOffer(search, address);
    const message = this.createSearch(packet, search, [address], SearchPhase.sure);
    this.dependencies.outlet.sendToSilent(packet, message, address);
  }

  /** Sends a packet through agents; further packets of its flow wait for the outcome. */
  private send(packet: FlowPacket, search: FlowSearch, agents: readonly AgentEntry[]): void {
    const { link, locality } = this.dependencies;
    const ordered = locality.orderForSearch(packet.flow, agents);
    const knowGroups = agents.every(({ address }) => link.searchesInGroups(address));
    const isInGroups = search.attempts > 0 && agents.length > GROUP_LENGTH && knowGroups;
    const maximum = isInGroups ? MAXIMUM_ROUND_LENGTH : MAXIMUM_SEARCH_LENGTH;
    const order = orderSearch(ordered.agents, search.attempts, maximum, ordered.likely);
    search.attempts++;
    const visited = new Set(order);
    const isSure = agents.every((agent) => !visited.has(agent.address) || this.isSure(agent));
    search.sureAttempts += isSure ? 1 : 0;
    if (isInGroups) {
      this.searchGroups(packet, search, order, isSure);
    } else if (!isSure && knowGroups && order.length < agents.length) {
      this.askAgents(packet, search, [order]);
    } else {
      search.round = { agents: order, unasked: new Set(), isOfferedNext: false };
      this.waitForOutcome(packet, order.length);
      this.sendThrough(packet, search, order, isSure ? SearchPhase.sure : SearchPhase.ask);
    }
  }

  /** Searches groups of agents at the same time; those that do not know the flow are not asked again. */
  private searchGroups(
    packet: FlowPacket,
    search: FlowSearch,
    agents: readonly Endpoint[],
    isSure: boolean,
  ): void {
    const unasked = agents.filter((agent) => !search.unknownTo.has(agent));
    search.round = { agents, unasked: new Set(unasked), isOfferedNext: true };
    if (isSure) {
      this.sendToGroups(packet, search, agents, SearchPhase.sure);
    } else if (unasked.length > 0) {
      this.sendToGroups(packet, search, unasked, SearchPhase.askOnly);
    } else {
      this.sendToGroups(packet, search, agents, SearchPhase.offer);
    }
  }

  /** Asks agents whether they know a packet's flow; each part goes its own way. */
  private askAgents(
    packet: FlowPacket,
    search: FlowSearch,
    parts: readonly (readonly Endpoint[])[],
  ): void {
    const agents = parts.flat();
    search.round = { agents, unasked: new Set(agents), isOfferedNext: false };
    parts.forEach((part) => this.sendToGroups(packet, search, part, SearchPhase.askOnly));
  }

  private sendToGroups(
    packet: FlowPacket,
    search: FlowSearch,
    agents: readonly Endpoint[],
    phase: SearchPhaseValue,
  ): void {
    this.waitForOutcome(packet, GROUP_LENGTH);
    for (const group of splitIntoGroups(agents)) {
      this.sendThrough(packet, search, group, phase);
    }
  }

  private waitForOutcome(packet: FlowPacket, agents: number): void {
    this.locator.ask(packet.flow, agents, this.dependencies.environment.now());
    this.startTimer();
  }

  private sendThrough(
    packet: FlowPacket,
    search: FlowSearch,
    agents: readonly Endpoint[],
    phase: SearchPhaseValue,
  ): void {
    const message = this.createSearch(packet, search, agents, phase);
    this.dependencies.link.send(agents[0]!, message);
  }

  private createSearch(
    { bytes: payload }: FlowPacket,
    { id: searchId, services }: FlowSearch,
    agents: readonly Endpoint[],
    phase: SearchPhaseValue,
  ): SearchMessage {
    const { address: balancer } = this.dependencies;
    const type = PacketMessageType.search;
    return { type, searchId, balancer, phase, position: 0, agents, services, payload };
  }

  /** Whether a search, or groups of its present round, are still under way and not overdue. */
  private awaitsOutcome({ flow, refusedBy, round }: FlowSearch): boolean {
    const isOpen = round?.agents.some((agent) => !refusedBy.has(agent)) ?? false;
    return isOpen && this.locator.isAsked(flow);
  }

  /** Begins another search for packets whose search has had no outcome. */
  private endOverdue(): void {
    const { environment } = this.dependencies;
    this.timer = undefined;
    for (const { packet, route } of this.locator.takeOverdue(environment.now())) {
      this.find(packet, route);
    }
    if (this.locator.size > 0) {
      this.startTimer();
    }
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

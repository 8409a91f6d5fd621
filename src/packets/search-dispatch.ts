/**
 * Sends a packet of a flow with unknown holder through agents: in one chain, in several groups in
 * parallel, or to one unresponsive agent.
 */
import type { Endpoint } from '../environment';
import type { AgentEntry } from './agent-directory';
import type { FlowPacket } from './flow-packet';
import { recordOffer, type FlowSearch } from './flow-search';
import type { Locality } from './locality/locality';
import type { PacketLink } from './packet-link';
import {
  FlowKnowledge,
  MAXIMUM_SEARCH_AGENTS,
  PacketMessageType,
  SearchPhase,
  type SearchMessage,
  type SearchPhaseValue,
} from './packet-messages';
import type { PacketForwarder } from './packet-forwarder';
import { GROUP_SIZE, orderSearch, splitIntoGroups } from './search-order';

/** Maximum agents in a round of groups: 20 messages sent and 20 received in each phase. */
const MAXIMUM_ROUND_SIZE = 20 * GROUP_SIZE;

/** Dependencies of the search dispatch. */
export interface SearchDispatchDependencies {
  /** Address to which agents send the outcome. */
  readonly address: Endpoint;
  readonly locality: Locality;
  readonly link: PacketLink;
  readonly forwarder: PacketForwarder;
  /** Starts the time limit for the outcome of chains with at most `agents` agents each. */
  waitForOutcome(packet: FlowPacket, search: FlowSearch, agents: number): void;
}

/** Sends the search messages of one balancer. */
export class SearchDispatch {
  constructor(private readonly dependencies: SearchDispatchDependencies) {}

  /**
   * Queries agents whether they know a packet's flow. Agents without a recent report are put in
   * separate groups, since one that is down stops the query of its group.
   */
  queryInParts(
    heard: readonly AgentEntry[],
    awaited: readonly AgentEntry[],
    packet: FlowPacket,
    search: FlowSearch,
  ): void {
    const parts = [heard, awaited].map((agents) => this.orderForQuery(agents, search));
    search.attempts++;
    this.queryAgents(packet, search, parts);
  }

  /**
   * Sends a packet through agents: first through the few where its flow was most likely placed,
   * then through those that know all flows of their targets, then through the rest.
   */
  sendThroughAgents(agents: readonly AgentEntry[], packet: FlowPacket, search: FlowSearch): void {
    const conclusive = agents.filter((agent) => this.isConclusive(agent));
    const isFirst = search.attempts === 0;
    this.send(packet, search, isFirst || conclusive.length === 0 ? agents : conclusive);
  }

  /** Lets agents that do not know a packet's flow offer the packet to their targets. */
  offerToAll(packet: FlowPacket, search: FlowSearch, agents: readonly Endpoint[]): void {
    this.sendToGroups(packet, search, agents, SearchPhase.offer);
  }

  /**
   * Offers a packet to an agent that does not report to this balancer but may be running. Its target
   * gets the packet only if needed: an agent that knows all flows of its target decides by itself.
   */
  offerToUnresponsive(agent: AgentEntry, packet: FlowPacket, search: FlowSearch): void {
    const { address } = agent;
    const { link, forwarder } = this.dependencies;
    recordOffer(search, address);
    if (!link.supportsConclusiveSearch(address)) {
      forwarder.deliver(packet, search.services, address, search.id);
      return;
    }
    const message = this.createSearch(packet, search, [address], SearchPhase.conclusive);
    forwarder.sendToUnresponsive(packet, message, address);
  }

  /** Sends a packet through agents; further packets of the flow wait for the outcome. */
  private send(packet: FlowPacket, search: FlowSearch, agents: readonly AgentEntry[]): void {
    const { link, locality } = this.dependencies;
    const ordered = locality.orderForSearch(packet.flow, agents);
    const allSupportGroupSearch = agents.every(({ address }) => link.supportsGroupSearch(address));
    const isInGroups = search.attempts > 0 && agents.length > GROUP_SIZE && allSupportGroupSearch;
    const maximum = isInGroups ? MAXIMUM_ROUND_SIZE : MAXIMUM_SEARCH_AGENTS;
    const order = orderSearch(ordered.agents, search.attempts, maximum, ordered.likelyCount);
    search.attempts++;
    const visited = new Set(order);
    const isConclusive = agents.every(
      (agent) => !visited.has(agent.address) || this.isConclusive(agent),
    );
    search.conclusiveAttempts += isConclusive ? 1 : 0;
    if (isInGroups) {
      this.searchGroups(packet, search, order, isConclusive);
    } else if (!isConclusive && allSupportGroupSearch && order.length < agents.length) {
      this.queryAgents(packet, search, [order]);
    } else {
      search.round = { agents: order, outstanding: new Set(), isFollowedByOffer: false };
      this.dependencies.waitForOutcome(packet, search, order.length);
      this.sendChain(
        packet,
        search,
        order,
        isConclusive ? SearchPhase.conclusive : SearchPhase.query,
      );
    }
    search.unansweredAttempts++;
  }

  /** Searches groups of agents in parallel; agents that do not know the flow are not queried again. */
  private searchGroups(
    packet: FlowPacket,
    search: FlowSearch,
    agents: readonly Endpoint[],
    isConclusive: boolean,
  ): void {
    const unqueried = agents.filter((agent) => !search.unknownTo.has(agent));
    search.round = { agents, outstanding: new Set(unqueried), isFollowedByOffer: true };
    if (isConclusive) {
      this.sendToGroups(packet, search, agents, SearchPhase.conclusive);
    } else if (unqueried.length > 0) {
      this.sendToGroups(packet, search, unqueried, SearchPhase.queryOnly);
    } else {
      this.sendToGroups(packet, search, agents, SearchPhase.offer);
    }
  }

  /** Queries agents whether they know a packet's flow; each part is sent in groups of its own. */
  private queryAgents(
    packet: FlowPacket,
    search: FlowSearch,
    parts: readonly (readonly Endpoint[])[],
  ): void {
    const agents = parts.flat();
    search.round = { agents, outstanding: new Set(agents), isFollowedByOffer: false };
    parts.forEach((part) => this.sendToGroups(packet, search, part, SearchPhase.queryOnly));
  }

  private sendToGroups(
    packet: FlowPacket,
    search: FlowSearch,
    agents: readonly Endpoint[],
    phase: SearchPhaseValue,
  ): void {
    this.dependencies.waitForOutcome(packet, search, GROUP_SIZE);
    for (const group of splitIntoGroups(agents)) {
      this.sendChain(packet, search, group, phase);
    }
  }

  private orderForQuery(agents: readonly AgentEntry[], { flow, attempts }: FlowSearch): Endpoint[] {
    const ordered = this.dependencies.locality.orderForSearch(flow, agents);
    return orderSearch(ordered.agents, attempts, MAXIMUM_ROUND_SIZE, agents.length);
  }

  private sendChain(
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

  private isConclusive({ address, report }: AgentEntry): boolean {
    return (
      report?.flowKnowledge === FlowKnowledge.complete &&
      this.dependencies.link.supportsConclusiveSearch(address)
    );
  }
}

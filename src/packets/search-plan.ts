/**
 * Decides the next step of a search for a flow's holder.
 *
 * A packet is offered to targets only once every agent that may know the flow has been queried, or
 * has exceeded the time for a report. A balancer that has just started, or has only relayed until
 * now, has reports of few agents, and those few need not be all.
 */
import type { Endpoint } from '../environment';
import type { AgentEntry } from './agent-directory';
import { selectNextAgents, type FlowSearch } from './flow-search';

/** The next step of a search. */
export type SearchPlan =
  /** Query agents whether they know the flow; no target gets the packet. */
  | {
      readonly kind: 'query';
      readonly heard: readonly AgentEntry[];
      readonly awaited: readonly AgentEntry[];
    }
  /** Retry later: the reports of agents that cannot be queried yet are still pending. */
  | { readonly kind: 'wait' }
  /** Send the packet through agents, which offer it to their targets. */
  | { readonly kind: 'search'; readonly agents: readonly AgentEntry[] }
  /** Offer the packet to one agent, which runs an earlier version. */
  | { readonly kind: 'offer'; readonly agent: AgentEntry }
  /** Offer the packet to one unresponsive agent; no other is left. */
  | { readonly kind: 'offerSilent'; readonly agent: AgentEntry }
  /** Every known agent has refused the packet. */
  | { readonly kind: 'conclude' };

/** The properties of agents that a plan depends on. */
export interface SearchView {
  isHeard(entry: AgentEntry): boolean;
  /** Whether an agent has not reported yet and is still within the time for it. */
  isReportPending(entry: AgentEntry): boolean;
  supportsCompactFrames(agent: Endpoint): boolean;
  supportsGroupSearch(agent: Endpoint): boolean;
}

/**
 * Plans the next step of a search.
 * @param untried agents of the flow's services that have not refused the packet
 */
export function planSearch(
  untried: readonly AgentEntry[],
  search: FlowSearch,
  view: SearchView,
): SearchPlan {
  const unqueried = untried.filter(({ address }) => !search.unknownTo.has(address));
  return unqueried.some((entry) => view.isReportPending(entry))
    ? planQuery(unqueried, view)
    : planOffer(untried, search, view);
}

function planQuery(unqueried: readonly AgentEntry[], view: SearchView): SearchPlan {
  const askable = unqueried.filter(({ address }) => view.supportsGroupSearch(address));
  const heard = askable.filter((entry) => view.isHeard(entry));
  const awaited = askable.filter((entry) => view.isReportPending(entry));
  const isAnyAskable = heard.length + awaited.length > 0;
  return isAnyAskable ? { kind: 'query', heard, awaited } : { kind: 'wait' };
}

function planOffer(
  untried: readonly AgentEntry[],
  search: FlowSearch,
  view: SearchView,
): SearchPlan {
  const heard = untried.filter((entry) => view.isHeard(entry));
  const agents = heard.filter(({ address }) => view.supportsCompactFrames(address));
  if (agents.length > 0) {
    return { kind: 'search', agents };
  }
  const [agent] = selectNextAgents(search, heard.length > 0 ? heard : untried);
  if (agent === undefined) {
    return { kind: 'conclude' };
  }
  return heard.length > 0 ? { kind: 'offer', agent } : { kind: 'offerSilent', agent };
}

/**
 * What a search for a flow's holder does next.
 *
 * A target gets the packet only once every agent that may know the flow has been asked, or has been
 * silent for long enough. A balancer that has just started, or has relayed until now, has heard few
 * agents: those few are not all that there are.
 */
import type { Endpoint } from '../environment';
import type { AgentEntry } from './agent-directory';
import { selectNextAgents, type FlowSearch } from './flow-search';

/** The next step of a search. */
export type SearchPlan =
  /** Ask agents whether they know the flow; no target is touched. */
  | {
      readonly kind: 'ask';
      readonly heard: readonly AgentEntry[];
      readonly awaited: readonly AgentEntry[];
    }
  /** Look again later: agents that cannot be asked yet are still awaited. */
  | { readonly kind: 'wait' }
  /** Send the packet through agents, which offer it to their targets. */
  | { readonly kind: 'search'; readonly agents: readonly AgentEntry[] }
  /** Offer the packet to one agent, which is of an earlier version. */
  | { readonly kind: 'offer'; readonly agent: AgentEntry }
  /** Offer the packet to one agent that is silent; no other is left. */
  | { readonly kind: 'offerSilent'; readonly agent: AgentEntry }
  /** Every agent known has refused the packet. */
  | { readonly kind: 'conclude' };

/** What a plan asks of an agent. */
export interface SearchView {
  isHeard(entry: AgentEntry): boolean;
  /** Whether an agent has not had the time to be heard. */
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
  const unasked = untried.filter(({ address }) => !search.unknownTo.has(address));
  return unasked.some((entry) => view.isReportPending(entry))
    ? planQuery(unasked, view)
    : planOffer(untried, search, view);
}

function planQuery(unasked: readonly AgentEntry[], view: SearchView): SearchPlan {
  const askable = unasked.filter(({ address }) => view.supportsGroupSearch(address));
  const heard = askable.filter((entry) => view.isHeard(entry));
  const awaited = askable.filter((entry) => view.isReportPending(entry));
  const isAnyAskable = heard.length + awaited.length > 0;
  return isAnyAskable ? { kind: 'ask', heard, awaited } : { kind: 'wait' };
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

/** Whether a new flow stays in its balancer's zone, and why it does not. */
import type { AgentEntry } from '../agent-directory';
import { acceptsNewFlows } from '../agent-selection';
import { CANDIDATE_COUNT } from '../flow-candidates';

/** Why a flow is placed in another zone. */
export const SpillReason = {
  /** A target there answers sooner, by more than the way and the bytes are worth. */
  wait: 'wait',
  /** No target of the home zone takes new flows, or the zone is out of service. */
  noTarget: 'no-target',
  /** None of the home zone's agents that would take flows is heard. */
  homeUnknown: 'home-unknown',
} as const;
export type SpillReasonValue = (typeof SpillReason)[keyof typeof SpillReason];

/** Where a flow has been placed. */
export type PlacementResult =
  { readonly kind: 'home' } | { readonly kind: 'spilled'; readonly reason: SpillReasonValue };

/**
 * Where a flow goes with the agent chosen for it.
 * @param candidates the agents that it could have gone to; none of a zone out of service
 * @param isHeard whether an agent has been heard lately
 */
export function classifyPlacement(
  chosen: AgentEntry,
  candidates: readonly AgentEntry[],
  home: string,
  isHeard: (entry: AgentEntry) => boolean,
): PlacementResult {
  if (chosen.zone === home) {
    return { kind: 'home' };
  }
  const acceptingAtHome = candidates.filter(
    (entry) => entry.zone === home && acceptsNewFlows(entry),
  );
  if (acceptingAtHome.length === 0) {
    return { kind: 'spilled', reason: SpillReason.noTarget };
  }
  const reason = acceptingAtHome.some(isHeard) ? SpillReason.wait : SpillReason.homeUnknown;
  return { kind: 'spilled', reason };
}

/**
 * The order for a second choice when the first one leaves the home zone though agents of it have
 * not been looked at: the agent chosen, the rest of the home zone, then all others. Thus a flow
 * leaves only where the whole zone is worse off, as far as one choice looks at it, and two zones
 * with the same reports do not exchange flows that met busy candidates by chance.
 * @param ordered the agents in the order of the first choice
 * @returns undefined when the first choice stands
 */
export function orderSecondChoice(
  chosen: AgentEntry,
  ordered: readonly AgentEntry[],
  home: string,
): AgentEntry[] | undefined {
  if (chosen.zone === home) {
    return undefined;
  }
  const accepting = ordered.filter((entry) => acceptsNewFlows(entry));
  const remainingHome = accepting.slice(CANDIDATE_COUNT).filter(({ zone }) => zone === home);
  if (remainingHome.length === 0) {
    return undefined;
  }
  const front = new Set([chosen, ...remainingHome]);
  return [...front, ...ordered.filter((entry) => !front.has(entry))];
}

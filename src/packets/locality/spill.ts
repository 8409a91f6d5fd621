/** Why new flows leave their balancer's zone, and the order that avoids it. */
import type { AgentEntry } from '../agent-directory';
import { acceptsNewFlows } from '../agent-selection';
import { CANDIDATE_COUNT } from '../flow-candidates';

/** Why a flow is placed in another zone. */
export const SpillReason = {
  /** A target there answers sooner, by more than the transfer cost. */
  wait: 'wait',
  /** No target of the home zone accepts new flows, or the zone is out of service. */
  noTarget: 'no-target',
  /** None of the home zone's agents that accept flows has reported recently. */
  homeUnknown: 'home-unknown',
} as const;
export type SpillReasonValue = (typeof SpillReason)[keyof typeof SpillReason];

/** Where a flow has been placed. */
export type PlacementResult =
  { readonly kind: 'home' } | { readonly kind: 'spilled'; readonly reason: SpillReasonValue };

/**
 * Classifies the placement of a flow at the chosen agent.
 * @param candidates the agents at which it could have been placed; none of a zone out of service
 * @param isHeard whether an agent has reported recently
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
 * The order of a second choice when the first one leaves the home zone before all its agents were
 * considered: the chosen agent, the rest of the home zone, then all others. So a flow leaves only
 * if the whole home zone is worse, as far as one choice considers it, and two zones with the same
 * reports do not exchange flows whose candidates were busy by chance.
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

/** What the choice of an agent for a new flow depends on, and what comes of it. */
import type { AgentEntry } from '../agent-directory';
import { TargetState } from '../packet-messages';

/**
 * How far a target may be relied upon, best first; a worse class is no matter of milliseconds, so
 * it is compared before any time.
 */
export const PlacementClass = {
  /**
   * Heard, and as good as its service. Also one of which its agent has had no heartbeat yet: after
   * all agents have restarted, the first that has one would else draw every flow.
   */
  healthy: 0,
  /** Nothing speaks against it, and too little is known: its agent is new, or it was just restored. */
  doubtful: 1,
  /** Its agent is silent, or it is set aside ({@link OutlierStatus}). */
  lastResort: 2,
} as const;
export type PlacementClassValue = (typeof PlacementClass)[keyof typeof PlacementClass];

/** How a target stands in comparison with its service. */
export type OutlierStatus =
  | { readonly kind: 'usual' }
  /** It fails or is slow where its service does not; a trial may be due. */
  | { readonly kind: 'setAside'; readonly isTrialDue: boolean }
  /** It was set aside until a moment ago. */
  | { readonly kind: 'restored' };

/** What the choice depends on besides the agents. */
export interface SelectionContext {
  /** Milliseconds, by the clock of `AgentEntry.recentOpenings`. */
  readonly now: number;
  /** Whether the expected time of an answer decides; else the least load does. */
  readonly usesExpectedWait: boolean;
  /** New flows that this balancer places with the service in a millisecond, in the mean of late. */
  readonly openingRate: number;
  /** Requests that the flow is expected to carry; 1 for one that ends with its first. */
  readonly requestsPerFlow: number;
  /** Part of the other balancers that place among the same agents, 0 to 1. */
  readonly competingShare: number;
  isHeard(entry: AgentEntry): boolean;
  /** Milliseconds since an agent's latest report. */
  getReportAge(entry: AgentEntry): number;
  /** Whether the agent is so new that other balancers may not know it. */
  isSettling(entry: AgentEntry): boolean;
  /** Milliseconds that a flow to an agent costs on the way; at home too where an agent is in doubt. */
  getTransferCost(entry: AgentEntry): number;
  getOutlierStatus(entry: AgentEntry): OutlierStatus;
  /** Uniform in [0, 1). */
  random(): number;
}

/** The agent that a new flow goes to. */
export interface Choice {
  readonly entry: AgentEntry;
  readonly placementClass: PlacementClassValue;
  /** Whether the flow goes to a target that is set aside, to see how it does. */
  readonly isTrial: boolean;
  /** Milliseconds until its answer, the way there and back included; 0 where load decides. */
  readonly expectedTime: number;
  /** The same by its report alone, without what has been sent there since; 0 where load decides. */
  readonly reportedTime: number;
}

/** Whether an agent may be offered a new flow. */
export function acceptsNewFlows(entry: AgentEntry): boolean {
  const state = entry.report?.state ?? TargetState.unknown;
  return state === TargetState.ready || state === TargetState.unknown;
}

/** How far the target of an agent that takes new flows may be relied upon. */
export function getPlacementClass(
  entry: AgentEntry,
  context: SelectionContext,
): PlacementClassValue {
  const { kind } = context.getOutlierStatus(entry);
  if (kind === 'setAside' || !context.isHeard(entry)) {
    return PlacementClass.lastResort;
  }
  return kind === 'usual' && !context.isSettling(entry)
    ? PlacementClass.healthy
    : PlacementClass.doubtful;
}

/** Inputs and result of the selection of an agent for a new flow. */
import type { AgentEntry } from '../agent-directory';
import { TargetState } from '../packet-messages';

/** How reliable a target is, best first; classes are compared before any answer time. */
export const PlacementClass = {
  /**
   * Its agent reports and it is no outlier. Includes an agent without a heartbeat of its target:
   * after a restart of all agents, the first that has one would otherwise attract every flow.
   */
  healthy: 0,
  /** Too little is known: its agent is new, or its ejection has just ended. */
  doubtful: 1,
  /** Its agent is unresponsive, or it is ejected ({@link OutlierStatus}). */
  lastResort: 2,
} as const;
export type PlacementClassValue = (typeof PlacementClass)[keyof typeof PlacementClass];

/** Status of a target in outlier ejection. */
export type OutlierStatus =
  | { readonly kind: 'usual' }
  /** Ejected: it fails or is slow where its service does not; a trial may be due. */
  | { readonly kind: 'setAside'; readonly isTrialDue: boolean }
  /** Its ejection ended a moment ago. */
  | { readonly kind: 'restored' };

/** Inputs of the selection besides the agents. */
export interface SelectionContext {
  /** Milliseconds, on the clock of `AgentEntry.recentOpenings`. */
  readonly now: number;
  /** Whether the expected answer time decides; otherwise the lowest load does. */
  readonly usesExpectedWait: boolean;
  /** Recent mean of new flows per millisecond that this balancer places with the service. */
  readonly openingRate: number;
  /** Expected number of requests of the flow; 1 for one that ends with its first. */
  readonly requestsPerFlow: number;
  /** Fraction of the other balancers that place flows among the same agents, 0 to 1. */
  readonly competingShare: number;
  isHeard(entry: AgentEntry): boolean;
  /** Milliseconds since an agent's latest report. */
  getReportAge(entry: AgentEntry): number;
  /** Whether the agent is so new that other balancers may not know it. */
  isRecentlyAdded(entry: AgentEntry): boolean;
  /** Network cost of a flow in milliseconds; not 0 at home either where the agent is in doubt. */
  getTransferCost(entry: AgentEntry): number;
  getOutlierStatus(entry: AgentEntry): OutlierStatus;
  /** Uniform in [0, 1). */
  random(): number;
}

/** The agent selected for a new flow. */
export interface Choice {
  readonly entry: AgentEntry;
  readonly placementClass: PlacementClassValue;
  /** Whether the flow is a trial of an ejected target. */
  readonly isTrial: boolean;
  /** Expected milliseconds to its answer, round trip included; 0 where load decides. */
  readonly expectedTime: number;
  /** The same by the report alone, without flows sent since; 0 where load decides. */
  readonly reportedTime: number;
}

/** Whether an agent accepts new flows. */
export function acceptsNewFlows(entry: AgentEntry): boolean {
  const state = entry.report?.state ?? entry.lastTargetState ?? TargetState.unknown;
  return state === TargetState.ready || state === TargetState.unknown;
}

/** The placement class of an agent that accepts new flows. */
export function getPlacementClass(
  entry: AgentEntry,
  context: SelectionContext,
): PlacementClassValue {
  const { kind } = context.getOutlierStatus(entry);
  if (kind === 'setAside' || !context.isHeard(entry)) {
    return PlacementClass.lastResort;
  }
  return kind === 'usual' && !context.isRecentlyAdded(entry)
    ? PlacementClass.healthy
    : PlacementClass.doubtful;
}

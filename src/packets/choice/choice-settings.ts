/** Operator settings of agent selection. */

/** Settings of agent selection. */
export interface ChoiceSettings {
  /** Whether the expected answer time decides; otherwise the lowest load does. */
  readonly expectedWait: boolean;
  /** Percentage of a service's targets that may be ejected at most; 0 for none. */
  readonly setAsideShare: number;
  /** Whether persistent flows are spread by the open flows of targets. */
  readonly keptFlows: boolean;
  /** Whether new flows are refused that could only be answered after their caller's deadline. */
  readonly admission: boolean;
  /** Percentage of such a route's new flows that is admitted nevertheless. */
  readonly keptShare: number;
}

/**
 * Defaults. A share of 30 leaves seven targets in ten with the whole load, which a service with up
 * to two thirds utilization can bear.
 */
export const DEFAULT_CHOICE: ChoiceSettings = {
  expectedWait: true,
  setAsideShare: 30,
  keptFlows: true,
  admission: true,
  keptShare: 10,
};

/** What operators set of the choice of agents. */

/** Settings of the choice. */
export interface ChoiceSettings {
  /** Whether the expected time of an answer decides; else the least load does, as before. */
  readonly expectedWait: boolean;
  /** Targets of a service, in percent, that may be set aside at most; 0 for none. */
  readonly setAsideShare: number;
  /** Whether flows that stay for several requests are spread by the flows that targets have. */
  readonly keptFlows: boolean;
  /** Whether openings are refused that could be answered only after their callers have given up. */
  readonly admission: boolean;
  /** Openings in a hundred of such a route that are let in all the same. */
  readonly keptShare: number;
}

/**
 * Used where nothing is set. A share of 30 leaves seven targets in ten with ten tenths of the load:
 * a service that is busy for up to two thirds of its time bears that.
 */
export const DEFAULT_CHOICE: ChoiceSettings = {
  expectedWait: true,
  setAsideShare: 30,
  keptFlows: true,
  admission: true,
  keptShare: 10,
};

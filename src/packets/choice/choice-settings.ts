/** What operators set of the choice of agents. */

/** Settings of the choice. */
export interface ChoiceSettings {
  /** Whether the expected time of an answer decides; else the least load does, as before. */
  readonly expectedWait: boolean;
  /** Targets of a service, in percent, that may be set aside at most; 0 for none. */
  readonly setAsideShare: number;
  /** Whether flows that stay for several requests are spread by the flows that targets have. */
  readonly keptFlows: boolean;
}

/**
 * Used where nothing is set. A share of 30 leaves seven targets in ten with ten tenths of the load:
 * a service that is busy for up to two thirds of its time bears that.
 */
export const DEFAULT_CHOICE: ChoiceSettings = {
  expectedWait: true,
  setAsideShare: 30,
  keptFlows: true,
};

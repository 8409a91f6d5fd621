/** What the judge of a world has noted when no promise was broken. */
import type { WorldViolations } from '../../src/simulation/packets/world-judge';

export const NO_VIOLATIONS: WorldViolations = {
  flowsReset: [],
  strayed: [],
  doubled: [],
  misrouted: [],
  mixed: [],
  drained: [],
  outdated: [],
};

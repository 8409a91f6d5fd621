/** What the judge of a world has noted when no promise was broken. */
import type { InvariantViolations } from '../../src/simulation/packets/packet-invariant-checker';

export const NO_VIOLATIONS: InvariantViolations = {
  flowsReset: [],
  strayed: [],
  doubled: [],
  misrouted: [],
  mixed: [],
  drained: [],
  outdated: [],
};

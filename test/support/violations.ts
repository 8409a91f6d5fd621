/** Violations of a packet simulation in which no invariant was violated. */
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

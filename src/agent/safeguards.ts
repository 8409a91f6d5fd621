/**
 * The mechanisms that enforce hallhold's invariants, each with a switch.
 *
 * Real processes always run with all of them; the simulator can disable some to show
 * which invariants are violated without them.
 */

/** Names of the switches, as `hallhold simulate --without` takes them. */
export const SAFEGUARD_NAMES = [
  'permits',
  'handshake',
  'burn',
  'expiry',
  'revision-check',
  'target-check',
  'drain',
] as const;

export type SafeguardName = (typeof SAFEGUARD_NAMES)[number];

/** The set of enabled mechanisms. */
export class Safeguards {
  /** @param without disabled mechanisms; only the simulator passes any */
  constructor(private readonly without: ReadonlySet<SafeguardName> = new Set()) {}

  has(name: SafeguardName): boolean {
    return !this.without.has(name);
  }
}

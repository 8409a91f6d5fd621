/**
 * The mechanisms that keep hallhold's promises, each with a switch.
 *
 * Real processes always run with all of them; the simulator can take one out to
 * show what breaks without it.
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

/** Answers whether a mechanism is in. */
export class Safeguards {
  /** @param without mechanisms taken out; only the simulator passes any */
  constructor(private readonly without: ReadonlySet<SafeguardName> = new Set()) {}

  has(name: SafeguardName): boolean {
    return !this.without.has(name);
  }
}

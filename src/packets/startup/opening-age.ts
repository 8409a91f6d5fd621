/** How long a client has been waiting by its opening packet: it numbers the copies. */

/** Milliseconds from a client's first opening packet to each of its copies. */
const TRANSMISSION_DELAYS_MS = [0, 200, 600] as const;
/** Milliseconds from a client's first opening packet until it gives the attempt up. */
export const OPENING_LIFETIME_MS = 1_400;

/** Milliseconds since the first opening packet of a flow when the given copy of it was sent. */
export function getOpeningAge(copy: number): number {
  return TRANSMISSION_DELAYS_MS[copy] ?? TRANSMISSION_DELAYS_MS.at(-1)!;
}

/** How long a client has been waiting by its opening packet: it numbers the copies. */

/** Milliseconds from a client's first opening packet to each of its copies. */
const COPY_DELAYS = [0, 200, 600] as const;
/** Milliseconds from a client's first opening packet until it gives the attempt up. */
export const OPENING_LIFETIME = 1_400;

/** Milliseconds since the first opening packet of a flow when the given copy of it was sent. */
export function ageOfOpening(copy: number): number {
  return COPY_DELAYS[copy] ?? COPY_DELAYS.at(-1)!;
}

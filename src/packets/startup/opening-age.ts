/** Age of a client's connection attempt, by the number of its opening packet's transmission. */

/** Delay of each transmission of an opening packet after the first. */
const TRANSMISSION_DELAYS_MS = [0, 200, 600] as const;
/** Time after its first opening packet at which a client gives up the attempt. */
export const OPENING_LIFETIME_MS = 1_400;

/** Milliseconds from a flow's first opening packet to the given transmission of it. */
export function getOpeningAge(copy: number): number {
  return TRANSMISSION_DELAYS_MS[copy] ?? TRANSMISSION_DELAYS_MS.at(-1)!;
}

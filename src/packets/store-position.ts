/**
 * Moments of the store, and which of two is later.
 *
 * Revisions rise with each change, and are given out again after the store has come back from a copy of
 * itself; its era rises by one then. So revisions are compared within an era only: compared across a
 * return, a balancer takes what it knew for later than what the store says now.
 */

/** A moment of the store. */
export interface StorePosition {
  /** 0 when it is not known: told by a program of an earlier version, or by a store without eras. */
  readonly era: number;
  readonly revision: number;
}

/** Before anything is known of the store. */
export const UNKNOWN_POSITION: StorePosition = { era: 0, revision: 0 };

/**
 * Milliseconds in which the owners of what a copy lacks write it again: a balancer tells an agent every
 * two seconds whether it is listed, and readers enter one that is still missing after three.
 */
export const REWRITE_TIME_MS = 3_000;

/** Whether a moment is later than another one. Within a later era every revision is. */
export function isLater(one: StorePosition, other: StorePosition): boolean {
  return one.era === other.era ? one.revision > other.revision : one.era > other.era;
}

/** A moment as told by a program that may not know eras: then it is taken to be of the known one. */
export function resolveEra<T extends StorePosition>(received: T, known: StorePosition): T {
  return received.era === 0 ? { ...received, era: known.era } : received;
}

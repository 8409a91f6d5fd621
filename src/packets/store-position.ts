/**
 * Positions in the store's history, and their order.
 *
 * Revisions rise with each change, and are reused after the store is restored from a backup; its era
 * rises by one then. So revisions are compared only within an era: compared across a restore, a
 * balancer would consider what it knew newer than the present content of the store.
 */

/** A position in the store's history. */
export interface StorePosition {
  /** Number of the restore; 0 when unknown: from an earlier version, or a store without eras. */
  readonly era: number;
  readonly revision: number;
}

/** Position before anything is known about the store. */
export const UNKNOWN_POSITION: StorePosition = { era: 0, revision: 0 };

/**
 * Time within which entries missing from a backup are written again by their owners: a balancer
 * informs an agent every two seconds whether it is listed, and readers register it after three.
 */
export const REWRITE_TIME_MS = 3_000;

/** Whether a position is later than another one. Any revision of a later era is later. */
export function isLater(one: StorePosition, other: StorePosition): boolean {
  return one.era === other.era ? one.revision > other.revision : one.era > other.era;
}

/** Assigns the known era to a position without one, from a sender that does not support eras. */
export function resolveEra<T extends StorePosition>(received: T, known: StorePosition): T {
  return received.era === 0 ? { ...received, era: known.era } : received;
}

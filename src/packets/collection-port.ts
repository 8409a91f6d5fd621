/**
 * What the packet nodes need from the platform's store: collections that can be listed
 * and watched, and entries of the registry of agents. An adapter implements it; answers
 * come by callback so that the nodes stay free of promises.
 */
import type { Result } from 'ts-results';
import type { HallholdError } from '../errors/hallhold-error';
import type { AgentRecord } from './packet-messages';

/** Receives one answer, exactly once. */
export type Answer<T> = (result: Result<T, HallholdError>) => void;

/**
 * A moment of the store. Its revisions rise with each change within an era; the era rises when the
 * store comes back from a copy of itself, and from then on revisions are given out again.
 */
export interface StorePosition {
  /** 0 when it is not known: told by a program of an earlier version, or by a store without eras. */
  readonly era: number;
  readonly revision: number;
}

/** One item with the revision of its last change. */
export interface Revised<T> {
  readonly name: string;
  readonly revision: number;
  readonly item: T;
}

/** All items as of one moment of the store. */
export interface Listing<T> extends StorePosition {
  readonly items: readonly Revised<T>[];
}

/** One change; `item` is the last state for a removal. */
export interface Change<T> extends Revised<T> {
  readonly removed: boolean;
}

/** Changes after a revision, in order, through `revision`. */
export interface Changes<T> extends StorePosition {
  readonly changes: readonly Change<T>[];
}

/** A collection of the store. Errors: 1201 no answer, 1203 history gone, 1204 wrong form. */
export interface CollectionPort<T> {
  /** A whole, linearizable listing. */
  list(answer: Answer<Listing<T>>): void;
  /** Waits so many milliseconds for changes after a revision; may answer none. */
  awaitChanges(afterRevision: number, waitTime: number, answer: Answer<Changes<T>>): void;
}

/** Shows whether the connections to the store still carry answers. */
export interface StoreProbePort {
  /**
   * Makes the cheapest call there is, over a connection that is open already. Without an answer
   * within `timeout` milliseconds all open connections are dropped, so that calls which wait on
   * them end and can be repeated.
   */
  check(timeout: number, answer: Answer<void>): void;
}

/** The registry of agents. */
export interface AgentRegistryPort extends CollectionPort<AgentRecord> {
  /** Makes the registry list an agent as given; answers when it does. */
  register(agent: AgentRecord, answer: Answer<void>): void;
  /** Removes an agent if its entry is still that of `revision`, or any when undefined. */
  remove(agent: AgentRecord, revision: number | undefined, answer: Answer<void>): void;
}

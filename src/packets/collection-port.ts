/**
 * What the packet nodes need from the platform's store: collections that can be listed
 * and watched, and entries of the registry of agents. An adapter implements it; answers
 * come by callback so that the nodes stay free of promises.
 */
import type { Result } from 'ts-results';
import type { HallholdError } from '../errors/hallhold-error';
import type { AgentRecord } from './packet-messages';
import type { StorePosition } from './store-position';

/** Receives one answer, exactly once. */
export type ResultCallback<T> = (result: Result<T, HallholdError>) => void;

/** One item with the revision of its last change. */
export interface RevisionedItem<T> {
  readonly name: string;
  readonly revision: number;
  readonly item: T;
}

/** All items as of one moment of the store. */
export interface Listing<T> extends StorePosition {
  readonly items: readonly RevisionedItem<T>[];
  /** Entries that name nothing to use: of another form, as other programs may write them. */
  readonly skipped: number;
}

/** One change; `item` is the last state for a removal. */
export interface Change<T> extends RevisionedItem<T> {
  readonly removed: boolean;
}

/** Changes after a revision, in order, through `revision`. */
export interface Changes<T> extends StorePosition {
  readonly changes: readonly Change<T>[];
  /** As in {@link Listing}. */
  readonly skipped: number;
}

/**
 * A collection of the store. Errors: 1201 no answer, 1203 history gone, 1204 wrong form, 1205 the store
 * has come back from a copy.
 */
export interface CollectionPort<T> {
  /** A whole, linearizable listing. */
  list(answer: ResultCallback<Listing<T>>): void;
  /**
   * Waits so many milliseconds for changes after a moment; may answer none. Error 1205 as soon as the
   * store turns out to be of a later era than that moment, whatever else it answers.
   */
  awaitChanges(after: StorePosition, waitTime: number, answer: ResultCallback<Changes<T>>): void;
}

/** Shows whether the connections to the store still carry answers. */
export interface StoreProbePort {
  /**
   * Makes the cheapest call there is, over a connection that is open already. Without an answer
   * within `timeout` milliseconds all open connections are dropped, so that calls which wait on
   * them end and can be repeated.
   */
  check(timeout: number, answer: ResultCallback<void>): void;
}

/** The registry of agents. */
export interface AgentRegistryPort extends CollectionPort<AgentRecord> {
  /** Makes the registry list an agent as given; answers when it does. */
  register(agent: AgentRecord, answer: ResultCallback<void>): void;
  /** Removes an agent if its entry is still that of a moment, or any when undefined. */
  remove(
    agent: AgentRecord,
    entered: StorePosition | undefined,
    answer: ResultCallback<void>,
  ): void;
}

/**
 * Ports of the packet nodes to the platform's store: collections that can be listed and
 * watched, and entries of the registry of agents. An adapter implements them; results are
 * passed to callbacks so that the nodes need no promises.
 */
import type { Result } from 'ts-results';
import type { HallholdError } from '../errors/hallhold-error';
import type { AgentRecord } from './packet-messages';
import type { StorePosition } from './store-position';

/** Receives one result, exactly once. */
export type ResultCallback<T> = (result: Result<T, HallholdError>) => void;

/** One item with the revision of its last change. */
export interface RevisionedItem<T> {
  readonly name: string;
  readonly revision: number;
  readonly item: T;
}

/** All items at one store position. */
export interface Listing<T> extends StorePosition {
  readonly items: readonly RevisionedItem<T>[];
  /** Number of entries of an unknown form, as other programs may write them. */
  readonly skipped: number;
}

/** One change; `item` is the last state for a removal. */
export interface Change<T> extends RevisionedItem<T> {
  readonly removed: boolean;
}

/** Changes after a revision, in order, up to and including `revision`. */
export interface Changes<T> extends StorePosition {
  readonly changes: readonly Change<T>[];
  /** As in {@link Listing}. */
  readonly skipped: number;
}

/**
 * A collection of the store. Errors: 1201 no answer, 1203 history expired, 1204 invalid answer, 1205
 * store restored from a backup, 1206 answer too large.
 */
export interface CollectionPort<T> {
  /** Returns a complete, linearizable listing. */
  list(answer: ResultCallback<Listing<T>>): void;
  /**
   * Waits `waitTime` milliseconds for changes after a store position; may return none. Error 1205 as
   * soon as the store is found to have a later era than that position, whatever else it answers.
   */
  awaitChanges(after: StorePosition, waitTime: number, answer: ResultCallback<Changes<T>>): void;
}

/** Checks whether the connections to the store still work. */
export interface StoreProbePort {
  /**
   * Makes the cheapest possible call over a connection that is already open. Without an answer
   * within `timeout` milliseconds all open connections are closed, so that calls pending on them
   * fail and can be retried.
   */
  check(timeout: number, answer: ResultCallback<void>): void;
}

/** The registry of agents. */
export interface AgentRegistryPort extends CollectionPort<AgentRecord> {
  /**
   * Creates the entry of an agent, or replaces one of another service or zone. Answers with the entry
   * as it is stored: an existing one may name another deregistered target.
   */
  register(agent: AgentRecord, answer: ResultCallback<AgentRecord>): void;
  /** Writes the entry of an agent, whether or not there is one. */
  replace(agent: AgentRecord, answer: ResultCallback<void>): void;
  /** Removes an agent if its entry is still that of a store position, or any when undefined. */
  remove(
    agent: AgentRecord,
    entered: StorePosition | undefined,
    answer: ResultCallback<void>,
  ): void;
}

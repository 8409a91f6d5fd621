/**
 * Interface of a node to the platform's store, implemented over HTTP and by the
 * simulated store. It uses callbacks instead of promises, so that the order of events
 * in the node classes is deterministic.
 */
import type { Result } from 'ts-results';
import type { TableDelta } from '../core/table-cache';
import type { ServiceTable, TableRow } from '../core/table';
import type { HallholdError } from '../errors/hallhold-error';

/** A table to be written, before the store assigns it a revision. */
export interface TableWrite {
  readonly service: string;
  readonly rows: readonly TableRow[];
  readonly writeId: string;
}

/** A stored table with the ids of its most recent writes, newest first. */
export interface StoredTable {
  readonly table: ServiceTable;
  readonly recentWriteIds: readonly string[];
}

/** One machine of the platform's machine list, which may be out of date. */
export interface MachineRecord {
  /** IPv4 address. */
  readonly address: string;
  readonly leaving: boolean;
}

/** Handle of an open watch. */
export interface WatchHandle {
  close(): void;
}

/** Receives the result of one call. */
export type ResultCallback<T> = (result: Result<T, HallholdError>) => void;

/** Calls to the store. Each calls back once; a lost answer is error 1201 after a time-out. */
export interface StorePort {
  /** Lists all tables, complete through one revision. */
  list(callback: ResultCallback<TableDelta>): void;
  /** Watches changes after a revision, in order; `onEnd` is called once when the watch fails. */
  watch(
    fromRevision: number,
    onChange: (delta: TableDelta) => void,
    onEnd: (error: HallholdError) => void,
  ): WatchHandle;
  /** Reads one table; undefined when the service has none. */
  read(service: string, callback: ResultCallback<StoredTable | undefined>): void;
  /**
   * Writes a table if its revision is still `expectedRevision` (0: it must not exist).
   * Returns the new revision, or error 1202 on a conflict.
   */
  write(write: TableWrite, expectedRevision: number, callback: ResultCallback<number>): void;
  /** Reads the machine list. */
  listMachines(callback: ResultCallback<readonly MachineRecord[]>): void;
}

/** Write ids retained with a stored table, by which a writer later recognises its own write. */
export const MAXIMUM_RECENT_WRITE_IDS = 16;

/**
 * The tables one node knows, with the revision through which it knows all of them.
 *
 * Pure state: a table is replaced only by one of a higher revision, so a late or
 * repeated delta can never take an accepted table back.
 */
import { hashText } from './hashing';
import type { ServiceTable } from './table';

/** Tables changed after `fromRevision`, complete through `throughRevision`. */
export interface TableDelta {
  readonly fromRevision: number;
  readonly throughRevision: number;
  readonly tables: readonly ServiceTable[];
}

/** What applying a delta did. */
export interface AppliedDelta {
  /** Tables that are new in force. */
  readonly changed: readonly ServiceTable[];
  /** True when the delta starts after what this node has, so older changes are missing. */
  readonly hasGap: boolean;
}

const DIGEST_RANGE = 2 ** 32;

/** Deltas kept that arrived before the one they follow. */
const MAXIMUM_OUT_OF_ORDER_DELTAS = 256;

/** A stretch of revisions whose tables are known. */
interface RevisionRange {
  readonly fromRevision: number;
  readonly throughRevision: number;
}

/** Revision-ordered tables of all services. */
export class TableCache {
  private readonly tables = new Map<string, ServiceTable>();
  private completeThrough = 0;
  private digest: number | undefined;
  /** Stretches known beyond a gap: parts of one transfer overtake each other on the way. */
  private outOfOrder: RevisionRange[] = [];

  /** The revision through which no table is missing; 0 before the first full delta. */
  get revision(): number {
    return this.completeThrough;
  }

  /** The table in force for a service. */
  get(service: string): ServiceTable | undefined {
    return this.tables.get(service);
  }

  /**
   * Sums up the tables held beyond {@link revision}, such as one just accepted while the
   * store cannot tell what came before it; 0 when there are none. Two nodes with the
   * same revision and different digests have tables to tell each other.
   */
  get aheadDigest(): number {
    this.digest ??= this.computeDigest();
    return this.digest;
  }

  /** All tables in force. */
  listTables(): Iterable<ServiceTable> {
    return this.tables.values();
  }

  /** Applies the newer tables of a delta; advances the revision only without a gap. */
  apply(delta: TableDelta): AppliedDelta {
    const changed = delta.tables.filter((table) => this.applyTable(table));
    this.digest = undefined;
    const hasGap = delta.fromRevision > this.completeThrough;
    if (hasGap) {
      const { fromRevision, throughRevision } = delta;
      this.outOfOrder = [...this.outOfOrder, { fromRevision, throughRevision }].slice(
        -MAXIMUM_OUT_OF_ORDER_DELTAS,
      );
    } else {
      this.advanceTo(delta.throughRevision);
    }
    return { changed, hasGap: hasGap };
  }

  /** Everything a node with all through `revision` lacks. */
  createDelta(revision: number): TableDelta {
    const tables = [...this.tables.values()].filter((table) => table.revision > revision);
    return { fromRevision: revision, throughRevision: this.completeThrough, tables };
  }

  /** Moves the revision forward, over every early stretch that this reaches. */
  private advanceTo(revision: number): void {
    this.completeThrough = Math.max(this.completeThrough, revision);
    const reached = this.outOfOrder.filter((one) => one.fromRevision <= this.completeThrough);
    if (reached.length > 0) {
      this.outOfOrder = this.outOfOrder.filter((one) => one.fromRevision > this.completeThrough);
      this.advanceTo(Math.max(...reached.map((one) => one.throughRevision)));
    }
  }

  private computeDigest(): number {
    const ahead = [...this.tables.values()].filter(
      (table) => table.revision > this.completeThrough,
    );
    const hashes = ahead.map(({ service, revision }) => hashText(`${service}/${revision}`));
    return hashes.reduce((sum, hash) => (sum + hash) % DIGEST_RANGE, 0);
  }

  private applyTable(table: ServiceTable): boolean {
    const known = this.tables.get(table.service);
    if (known && known.revision >= table.revision) {
      return false;
    }
    this.tables.set(table.service, table);
    return true;
  }
}

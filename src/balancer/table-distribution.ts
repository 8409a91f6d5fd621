/**
 * How tables reach every balancer: a new one is pushed at once to a few members,
 * who push it on; whoever is missed sees a higher revision in the next probe and
 * asks for what it lacks.
 */
import { TableCache, type TableDelta } from '../core/table-cache';
import type { ServiceTable } from '../core/table';
import { TABLE_PUSH_FANOUT } from '../core/timing';
import type { Endpoint } from '../environment';
import { Events } from '../logging/events';
import {
  MessageType,
  type MemberRecord,
  type TableConfirmMessage,
  type TableDeltaMessage,
  type TableRequestMessage,
} from '../wire/messages';
import type { BalancerContext } from './balancer-context';

const MINIMUM_REQUEST_INTERVAL_MS = 300;
/** Rows per datagram, so that a delta stays well under 64 KiB. */
const MAXIMUM_ROWS_PER_PART = 250;
const CONFIRM_RETRY_INTERVAL_MS = 400;
const MAXIMUM_CONFIRM_ATTEMPTS = 5;

/** What the distribution needs from its surroundings. */
export interface TableDistributionDependencies {
  sampleMembers(count: number): MemberRecord[];
  listActiveMembers(): MemberRecord[];
  /** Tables that are new in force here. */
  handleChangedTables(tables: readonly ServiceTable[]): void;
}

interface PendingReplication {
  readonly delta: TableDelta;
  readonly wanted: number;
  readonly confirmed: Set<string>;
  readonly done: (copies: number) => void;
  attempts: number;
}

/** Spreads tables among balancers. */
export class TableDistribution {
  readonly cache = new TableCache();
  private readonly pending = new Map<number, PendingReplication>();
  private lastRequestAt = -Infinity;
  private nextConfirmId = 1;
  /** True once a peer or the store has said that nothing newer is missing. */
  private caughtUp = false;

  constructor(
    private readonly context: BalancerContext,
    private readonly dependencies: TableDistributionDependencies,
  ) {}

  /** Whether this balancer has a table as new as any peer it has asked. */
  get isCaughtUp(): boolean {
    return this.caughtUp && this.cache.revision > 0;
  }

  /** Takes news from the store, a peer's push or an own accepted write, and passes it on. */
  applyAndPush(delta: TableDelta, from: Endpoint | undefined): void {
    if (this.apply(delta, from)) {
      this.pushToSample(delta);
    }
  }

  /** Takes a delta without pushing it on: the peers have it. */
  applyWithoutPush(delta: TableDelta): void {
    const { changed, hasGap: hasGap } = this.cache.apply(delta);
    this.caughtUp = this.caughtUp || !hasGap;
    this.dependencies.handleChangedTables(changed);
  }

  /**
   * A peer has all through `revision`, and `beyond` sums up what it has after that:
   * asks it if it has anything that this node may lack.
   */
  handlePeerRevision(revision: number, beyond: number, from: Endpoint): void {
    const hasOtherTables = beyond !== 0 && beyond !== this.cache.aheadDigest;
    if (revision > this.cache.revision || hasOtherTables) {
      this.requestTables(from);
    }
    if (revision <= this.cache.revision && this.cache.revision > 0) {
      this.caughtUp = true;
    }
  }

  handleRequest(message: TableRequestMessage, from: Endpoint): void {
    const delta = this.cache.createDelta(message.haveThrough);
    for (const part of splitDelta(delta)) {
      this.context.send(from, { type: MessageType.tableDelta, ...part, pushed: 0, confirmId: 0 });
    }
  }

  handleDelta(message: TableDeltaMessage, from: Endpoint): void {
    if (message.pushed === 1) {
      this.applyAndPush(message, from);
    } else {
      this.apply(message, from);
    }
    if (message.confirmId !== 0) {
      this.context.send(from, {
        type: MessageType.tableConfirm,
        confirmId: message.confirmId,
        name: this.context.settings.name,
      });
    }
  }

  handleConfirm(message: TableConfirmMessage): void {
    const pending = this.pending.get(message.confirmId);
    if (!pending) {
      return;
    }
    pending.confirmed.add(message.name);
    if (pending.confirmed.size >= pending.wanted) {
      this.finishReplication(message.confirmId, pending);
    }
  }

  /** Has a table copied to peers, in other zones first; `done` gets how many confirmed. */
  replicateTable(table: ServiceTable, wanted: number, done: (copies: number) => void): void {
    const { revision } = table;
    const delta = { fromRevision: revision, throughRevision: revision, tables: [table] };
    const reachable = Math.min(wanted, this.dependencies.listActiveMembers().length);
    const pending = { delta, wanted: reachable, confirmed: new Set<string>(), done, attempts: 0 };
    const id = this.nextConfirmId++;
    this.pending.set(id, pending);
    this.pushUntilConfirmed(id, pending);
  }

  /** Applies a delta; returns true when any table in it was new here. */
  private apply(delta: TableDelta, from: Endpoint | undefined): boolean {
    const { changed, hasGap: hasGap } = this.cache.apply(delta);
    if (!hasGap) {
      this.caughtUp = true;
    } else if (from !== undefined) {
      this.requestTables(from);
    }
    if (changed.length === 0) {
      return false;
    }
    for (const { service, revision } of changed) {
      this.context.environment.report(Events.tableApplied, { service, revision });
    }
    this.dependencies.handleChangedTables(changed);
    return true;
  }

  private pushUntilConfirmed(id: number, pending: PendingReplication): void {
    if (!this.pending.has(id)) {
      return;
    }
    if (pending.wanted === 0 || pending.attempts >= MAXIMUM_CONFIRM_ATTEMPTS) {
      this.finishReplication(id, pending);
      return;
    }
    pending.attempts++;
    for (const member of this.selectReplicas(pending)) {
      this.pushTo(member.endpoint, pending.delta, id);
    }
    this.context.environment.startTimer(CONFIRM_RETRY_INTERVAL_MS, () =>
      this.pushUntilConfirmed(id, pending),
    );
  }

  private selectReplicas(pending: PendingReplication): MemberRecord[] {
    const { random } = this.context.environment;
    const candidates = this.dependencies
      .listActiveMembers()
      .filter((member) => !pending.confirmed.has(member.name))
      .map((member) => ({ member, order: random.call(this.context.environment) }));
    const rankZone = (member: MemberRecord): number =>
      member.zone === this.context.settings.zone ? 1 : 0;
    candidates.sort((a, b) => rankZone(a.member) - rankZone(b.member) || a.order - b.order);
    return candidates.slice(0, pending.wanted + 1).map(({ member }) => member);
  }

  private finishReplication(id: number, pending: PendingReplication): void {
    this.pending.delete(id);
    pending.done(pending.confirmed.size);
  }

  /** A delta too large for one datagram is not pushed: peers ask for it in parts. */
  private pushToSample(delta: TableDelta): void {
    if (splitDelta(delta).length > 1) {
      return;
    }
    for (const member of this.dependencies.sampleMembers(TABLE_PUSH_FANOUT)) {
      this.pushTo(member.endpoint, delta, 0);
    }
  }

  private requestTables(from: Endpoint): void {
    const now = this.context.environment.now();
    if (now - this.lastRequestAt < MINIMUM_REQUEST_INTERVAL_MS) {
      return;
    }
    this.lastRequestAt = now;
    this.context.send(from, { type: MessageType.tableRequest, haveThrough: this.cache.revision });
  }

  private pushTo(to: Endpoint, delta: TableDelta, confirmId: number): void {
    this.context.send(to, { type: MessageType.tableDelta, ...delta, pushed: 1, confirmId });
  }
}

/**
 * Splits a delta into datagram-sized parts that each begin where the one before
 * ends, so that a receiver which misses a part sees the gap in the next.
 */
export function splitDelta(delta: TableDelta): TableDelta[] {
  const ordered = [...delta.tables].sort((a, b) => a.revision - b.revision);
  const parts: TableDelta[] = [];
  let fromRevision = delta.fromRevision;
  let tables: ServiceTable[] = [];
  let rows = 0;
  for (const table of ordered) {
    if (rows > 0 && rows + table.rows.length > MAXIMUM_ROWS_PER_PART) {
      const throughRevision = tables[tables.length - 1]!.revision;
      parts.push({ fromRevision, throughRevision, tables });
      fromRevision = throughRevision;
      tables = [];
      rows = 0;
    }
    tables.push(table);
    rows += table.rows.length;
  }
  parts.push({ fromRevision, throughRevision: delta.throughRevision, tables });
  return parts;
}

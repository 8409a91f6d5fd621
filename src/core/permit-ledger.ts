/**
 * What became of every permit this agent incarnation issued and saw used.
 *
 * An entry is made before the back end sees the request. The answer is kept until
 * the permit expires; that the permit was used is remembered much longer, so that
 * an expired permit can truthfully be told apart as never used.
 */

/** What became of a used permit. `Answer` is the final answer that repeats receive again. */
export type LedgerEntry<Answer> =
  /** Handed to a back end, no answer yet. */
  | { readonly outcome: 'running' }
  | { readonly outcome: 'answered'; readonly answer: Answer }
  /** Refused for good: no copy of the request may run any more. */
  | { readonly outcome: 'burnt'; readonly answer: Answer }
  /** Used, but its answer is no longer kept. */
  | { readonly outcome: 'used' };

/** Milliseconds after expiry for which a permit's use is remembered. */
export const USE_RETENTION_MS = 3_600_000;

/** An entry as kept and as handed to a successor. */
export interface StoredEntry<Answer> {
  readonly serial: number;
  entry: LedgerEntry<Answer>;
  readonly expiresAt: number;
}

/** The ledger of one agent incarnation. */
export class PermitLedger<Answer> {
  private readonly entries = new Map<number, StoredEntry<Answer>>();

  get size(): number {
    return this.entries.size;
  }

  find(serial: number): LedgerEntry<Answer> | undefined {
    return this.entries.get(serial)?.entry;
  }

  /** Records or replaces the outcome of a permit. */
  record(serial: number, expiresAt: number, entry: LedgerEntry<Answer>): void {
    this.entries.set(serial, { serial, entry, expiresAt });
  }

  /** Everything, for a successor. */
  listEntries(): StoredEntry<Answer>[] {
    return [...this.entries.values()];
  }

  remove(serial: number): void {
    this.entries.delete(serial);
  }

  /** True when an expired permit was certainly never used: its use would still be remembered. */
  wasNeverUsed(serial: number, expiresAt: number, now: number): boolean {
    return !this.entries.has(serial) && now - expiresAt < USE_RETENTION_MS;
  }

  /** Drops the answers of expired permits, and in time the memory of their use. */
  removeExpired(now: number): void {
    for (const [serial, stored] of this.entries) {
      if (now - stored.expiresAt >= USE_RETENTION_MS) {
        this.entries.delete(serial);
      } else if (stored.expiresAt <= now && stored.entry.outcome !== 'running') {
        stored.entry = { outcome: 'used' };
      }
    }
  }
}

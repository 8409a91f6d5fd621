/** Table cache: no table is reverted, no revision is skipped, and deltas may be reordered. */
import fc from 'fast-check';
import test from 'ava';
import { splitDelta } from '../src/balancer/table-distribution';
import { TableCache } from '../src/core/table-cache';
import type { ServiceTable } from '../src/core/table';

const RUNS = { seed: 20_261_202, numRuns: 200 };

function createTable(index: number, rows: number): ServiceTable {
  return {
    service: `service-${index}`,
    revision: 2 + index,
    writeId: 'w',
    rows: Array.from({ length: rows }, (_, number) => ({
      target: `target-${number}`,
      address: number,
      share: 1,
      slots: 1,
      connections: 1,
    })),
  };
}

const tables = Array.from({ length: 200 }, (_, index) => createTable(index, 6));
const parts = splitDelta({ fromRevision: 0, throughRevision: 300, tables });

test('parts of a delta may arrive in any order and more than once', (t) => {
  // Guards against reordered parts making a joining balancer fetch all tables about ten times,
  // as the failure scenario "rack" showed at the planned size.
  t.true(parts.length > 3);
  const order = fc.array(fc.nat(parts.length - 1), { maxLength: 20 });
  fc.assert(
    fc.property(order, (indexes) => {
      const cache = new TableCache();
      [...indexes, ...parts.keys()].reverse().forEach((index) => cache.apply(parts[index]!));
      return cache.revision === 300 && [...cache.listTables()].length === tables.length;
    }),
    RUNS,
  );
});

test('the revision stays before a missing part', (t) => {
  const cache = new TableCache();
  parts.filter((_, index) => index !== 1).forEach((part) => cache.apply(part));
  t.is(cache.revision, parts[0]!.throughRevision);
  cache.apply(parts[1]!);
  t.is(cache.revision, 300);
});

test('an older table never replaces a newer one', (t) => {
  const cache = new TableCache();
  const newer = { ...createTable(0, 1), revision: 9 };
  cache.apply({ fromRevision: 0, throughRevision: 9, tables: [newer] });
  cache.apply({ fromRevision: 0, throughRevision: 2, tables: [createTable(0, 6)] });
  t.is(cache.get('service-0'), newer);
  t.is(cache.revision, 9);
});

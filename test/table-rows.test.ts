/** Tables as CSV: errors name line, column and reason. */
import test from 'ava';
import { parseEndpoint } from '../src/core/endpoint';
import { findConflictingRows, findChangedRows, type TableRow } from '../src/core/table';
import { formatCsvTable, parseCsvTable, createRowViews } from '../src/operator/table-rows';

const HEADER = 'service,target,address,share,slots,connections';

function createRow(target: string, share: number): TableRow {
  const address = parseEndpoint('127.0.0.1:7000').unwrap();
  return { target, address, share, slots: 5, connections: 2_000 };
}

test('a table is unchanged by formatting and parsing, also with byte order mark and CRLF', (t) => {
  const rows = [createRow('target-1', 1), { ...createRow('target-2', 0.5), address: 12_345_678 }];
  const csv = formatCsvTable(createRowViews('live-map', rows));
  const spreadsheet = `\uFEFF${csv.replace(/\n/g, '\r\n')}`;
  t.deepEqual(parseCsvTable(csv).unwrap(), [{ service: 'live-map', rows }]);
  t.deepEqual(parseCsvTable(spreadsheet).unwrap(), [{ service: 'live-map', rows }]);
});

test('every invalid cell is named', (t) => {
  const csv = [
    HEADER,
    'live-map,target-1,127.0.0.1:7000,1,5,2000',
    'live-map,target-2,127.0.0.2,1,5,2000',
    'live-map,target-3,127.0.0.3:7000,minus,5.5,2000',
    'live-map,target-1,127.0.0.4:7000,1,5,2000',
    'tiles,target-1,127.0.0.1:7000,1,5,2000',
  ].join('\n');
  const parsed = parseCsvTable(csv);
  t.true(parsed.err);
  const details = parsed.err ? parsed.val.details : [];
  t.deepEqual(details, [
    'line 3, column address: must be an IPv4 address with a port',
    'line 4, column share: must be a number, 0 or more',
    'line 4, column slots: Invalid input: expected int, received number',
    'line 5, column target: target live-map/target-1 stands at line 2 already',
    'line 6, column address: address 127.0.0.1:7000 stands at line 2 already',
  ]);
});

test('an invalid header is refused', (t) => {
  const parsed = parseCsvTable('a,b\n1,2');
  t.is(parsed.err && parsed.val.resultCode.number, 1_101);
});

test('edits of different rows do not conflict, edits of the same row do', (t) => {
  const base = [createRow('a', 1), createRow('b', 1), createRow('c', 1)];
  const concurrentEdit = [createRow('a', 2), createRow('b', 1), createRow('c', 1)];
  const editOfOtherRow = [createRow('a', 1), createRow('b', 3), createRow('c', 1)];
  const editOfSameRow = [createRow('a', 5), createRow('b', 1)];
  t.deepEqual(findConflictingRows(base, concurrentEdit, editOfOtherRow), []);
  t.deepEqual(
    findConflictingRows(base, concurrentEdit, editOfSameRow).map((conflict) => conflict.target),
    ['a'],
  );
  t.deepEqual(
    findChangedRows(base, editOfSameRow).map((change) => change.target),
    ['a', 'c'],
  );
});

/** The tables in docs/ and the code list the same result codes and events. */
import { readFileSync } from 'node:fs';
import { resolve } from 'node:path';
import test from 'ava';
import { ResultCodes } from '../src/errors/result-codes';
import { Events } from '../src/logging/events';

/** Reads the rows "| number | name | third | ..." of a page. */
function readTableRows(page: string): { number: number; name: string; third: string }[] {
  const text = readFileSync(resolve(__dirname, '../../docs', page), 'utf8');
  return [...text.matchAll(/^\| (\d{4}) \| ([a-z-]+) \| ([a-z]+) \| \S/gm)].map((row) => ({
    number: Number(row[1]),
    name: row[2]!,
    third: row[3]!,
  }));
}

test('docs/ERRORS.md lists exactly the result codes of the code', (t) => {
  const inCode = Object.values(ResultCodes).map(({ number, name, retry }) => ({
    number,
    name,
    third: retry,
  }));
  t.deepEqual(readTableRows('ERRORS.md'), inCode);
});

test('docs/EVENTS.md lists exactly the events of the code', (t) => {
  const inCode = Object.values(Events).map(({ number, name, level }) => ({
    number,
    name,
    third: level,
  }));
  t.deepEqual(readTableRows('EVENTS.md'), inCode);
});

test('no number is used twice', (t) => {
  const all = [...Object.values(ResultCodes), ...Object.values(Events)].map((one) => one.number);
  t.is(new Set(all).size, all.length);
});

/** CI passes over the failures that KNOWN-RED.txt lists, and over nothing else. */
import { spawnSync } from 'node:child_process';
import { mkdtempSync, writeFileSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join, resolve } from 'node:path';
import test from 'ava';

const SCRIPT = resolve(__dirname, '../../.ci/pass-known-red.mjs');
const LIST = 'Kept short.\n\ntest: table › a table is late\n  command: npm test\n  issue: 1\n';
const AT_TIMES = LIST.replace('test: ', 'test (at times): ');
const RED = '  ✘ [fail]: table › a table is late seed 7\n  ✔ table › another\n';

function judge(log: string, list = LIST): number | null {
  const folder = mkdtempSync(join(tmpdir(), 'hallhold-red-'));
  writeFileSync(join(folder, 'log'), log);
  writeFileSync(join(folder, 'list'), list);
  return spawnSync(process.execPath, [SCRIPT, join(folder, 'log'), join(folder, 'list')]).status;
}

test('a listed failure alone is passed over', (t) => {
  t.is(judge(`${RED}\n  1 test failed\n`), 0);
});

test('a test that is listed as failing at times may pass, and no other may fail', (t) => {
  const other = '  ✘ [fail]: table › another\n\n  1 test failed\n';
  t.is(judge(`${RED}\n  1 test failed\n`, AT_TIMES), 0);
  t.is(judge(other, AT_TIMES), 1);
  t.is(judge(`${other}${RED}\n  2 tests failed\n`, AT_TIMES), 1);
});

test('another failure, a listed test that is green, and a run that breaks off are not', (t) => {
  t.is(judge(`${RED}  ✘ [fail]: table › another late one\n\n  2 tests failed\n`), 1);
  t.is(judge('  ✔ table › a table is late\n\n  1 test passed\n'), 1);
  t.is(judge(`${RED}\n  Uncaught exception in x.test.js\n\n  1 test failed\n`.toLowerCase()), 1);
  t.is(judge(`${RED}  ✘ x.test.js exited with a non-zero exit code: 1\n\n  1 test failed\n`), 1);
  t.is(judge(`${RED}  ✘ Timed out while running tests\n\n  1 test failed\n`), 1);
  t.is(judge(RED), 1);
});

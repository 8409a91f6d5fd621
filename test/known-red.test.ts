/** CI accepts the test failures that KNOWN-RED.txt lists, and no others. */
import { spawnSync } from 'node:child_process';
import { mkdtempSync, writeFileSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join, resolve } from 'node:path';
import test from 'ava';

const SCRIPT = resolve(__dirname, '../../.ci/pass-known-red.mjs');
const LIST = 'Kept short.\n\ntest: table › a table is late\n  command: npm test\n  issue: 1\n';
const FLAKY_LIST = LIST.replace('test: ', 'test (at times): ');
const FAILED_LOG = '  ✘ [fail]: table › a table is late seed 7\n  ✔ table › another\n';

function runCheck(log: string, list = LIST): number | null {
  const folder = mkdtempSync(join(tmpdir(), 'hallhold-red-'));
  writeFileSync(join(folder, 'log'), log);
  writeFileSync(join(folder, 'list'), list);
  return spawnSync(process.execPath, [SCRIPT, join(folder, 'log'), join(folder, 'list')]).status;
}

test('a run that fails only in a listed test is accepted', (t) => {
  t.is(runCheck(`${FAILED_LOG}\n  1 test failed\n`), 0);
});

test('a test that is listed as flaky may pass, and no other may fail', (t) => {
  const other = '  ✘ [fail]: table › another\n\n  1 test failed\n';
  t.is(runCheck(`${FAILED_LOG}\n  1 test failed\n`, FLAKY_LIST), 0);
  t.is(runCheck(other, FLAKY_LIST), 1);
  t.is(runCheck(`${other}${FAILED_LOG}\n  2 tests failed\n`, FLAKY_LIST), 1);
});

test('an unlisted failure, a listed test that passes and an aborted run are not accepted', (t) => {
  t.is(runCheck(`${FAILED_LOG}  ✘ [fail]: table › another late one\n\n  2 tests failed\n`), 1);
  t.is(runCheck('  ✔ table › a table is late\n\n  1 test passed\n'), 1);
  t.is(
    runCheck(`${FAILED_LOG}\n  Uncaught exception in x.test.js\n\n  1 test failed\n`.toLowerCase()),
    1,
  );
  t.is(
    runCheck(`${FAILED_LOG}  ✘ x.test.js exited with a non-zero exit code: 1\n\n  1 test failed\n`),
    1,
  );
  t.is(runCheck(`${FAILED_LOG}  ✘ Timed out while running tests\n\n  1 test failed\n`), 1);
  t.is(runCheck(FAILED_LOG), 1);
});

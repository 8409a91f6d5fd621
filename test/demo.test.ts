/** The demo from start to end: its JSON line, for both deployments. */
import { spawnSync } from 'node:child_process';
import { resolve } from 'node:path';
import test from 'ava';

const PROGRAM = resolve(__dirname, '../../bin/hallhold.js');

for (const deployment of ['map', 'porting']) {
  test(`the demo of the ${deployment} deployment ends without violations`, (t) => {
    const commandLine = ['demo', '--deployment', deployment, '--seconds', '5', '--json'];
    const ended = spawnSync(process.execPath, [PROGRAM, ...commandLine], { encoding: 'utf8' });
    t.is(ended.status, 0, ended.stderr);
    const result = JSON.parse(ended.stdout.trim().split('\n').pop()!) as Record<string, number>;
    t.true(result.flowsOpened! > 40, ended.stdout);
    t.true(result.answersWhole! > 100);
    for (const name of [
      'flowsBroken',
      'doubled',
      'falselyRefused',
      'misdelivered',
      'wrongAnswers',
    ]) {
      t.is(result[name], 0, name);
    }
    t.is(typeof result.refusedNotRun, 'number');
    t.is(typeof result.outcomeUnknown, 'number');
    const { imbalance, latencyMs } = result as unknown as {
      imbalance: Record<string, number>;
      latencyMs: Record<string, { p50: number; p99: number }>;
    };
    t.is(Object.keys(imbalance).length, 2);
    t.true(Object.values(imbalance).every((value) => value >= 1));
    t.true(Object.values(latencyMs).every(({ p50, p99 }) => p50 > 0 && p99 >= p50));
  });
}

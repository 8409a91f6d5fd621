/**
 * Builds what runs on the platform: the program in one file, its metrics page in another,
 * which is loaded only if it is wanted, and the bytecode of the program, so that a process
 * that starts on a small share of a processor compiles nothing (docs/DECISIONS.md).
 */
import { execFileSync } from 'node:child_process';
import { buildSync } from 'esbuild';

const METRICS = '../src/runtime/packet-metrics';

buildSync({
  entryPoints: ['platform/main.ts', 'platform/launch.ts', 'src/runtime/packet-metrics.ts'],
  bundle: true,
  external: [METRICS],
  platform: 'node',
  target: 'node20',
  mainFields: ['module', 'main'],
  minifySyntax: true,
  minifyWhitespace: true,
  outbase: '.',
  outdir: 'target',
  logLevel: 'warning',
});
// By a process with the flags of the processes that load it: others refuse it.
execFileSync(process.execPath, ['target/platform/launch.js', 'write-bytecode'], {
  stdio: 'inherit',
});

/** Runs one case: exit status 0 if the rule held, 10 if it was broken, 2 if the case could not run. */
import { existsSync } from 'node:fs';
import { dirname, join, resolve } from 'node:path';
import process from 'node:process';
import { clearTimeout, setTimeout } from 'node:timers';
import { fileURLToPath } from 'node:url';
import { CannotRun, Deployment } from './deployment.mjs';
import { Record } from './record.mjs';

export { CannotRun };

const LIMIT_MS = 110_000;
/** `run.sh` makes 1 of it; node itself ends with 1 on errors of its own. */
const EXIT_BROKEN = 10;

/**
 * @param url the case's own `import.meta.url`
 * @param play plays the case; returns the breaches of the rule, one text each
 */
export async function runCase(url, options, play) {
  const folder = dirname(fileURLToPath(url));
  const root = resolve(folder, '../..');
  const record = new Record(join(folder, 'record.txt'));
  const hasTrouble = process.env.TROUBLE !== '0';
  record.write(`case starts ${hasTrouble ? 'with' : 'without'} the disruption`);
  const deployment = new Deployment({ root, record, ...options });
  let status = 2;
  const breakOff = (reason) => {
    record.write(`broken off: ${reason}`);
    void deployment.end().finally(() => process.exit(2));
  };
  const limit = setTimeout(() => breakOff('it takes too long'), LIMIT_MS);
  ['SIGTERM', 'SIGINT', 'SIGHUP'].forEach((signal) => process.once(signal, () => breakOff(signal)));
  try {
    if (!existsSync(join(root, 'target/platform/launch.js'))) {
      throw new CannotRun('target/platform/launch.js is missing: run review/build.sh');
    }
    const breaches = await play(deployment, record, hasTrouble);
    breaches.forEach((text) => record.write(`BROKEN ${text}`));
    record.write(breaches.length > 0 ? 'the rule was broken' : 'the rule held');
    status = breaches.length > 0 ? EXIT_BROKEN : 0;
  } catch (error) {
    record.write(`the case could not run: ${error.stack ?? error}`);
  }
  clearTimeout(limit);
  await deployment.end();
  process.exit(status);
}

/**
 * `npm run soak:processes -- --minutes 5 [--seed N | --kept] [--seconds 20]`: runs the soak for
 * each seed, prints a JSON line for each, and exits with 2 if any failed. Without `--seed` or
 * `--kept` the seeds are random; add one that fails to kept-seeds.ts with its cause.
 */
import { parseArgs } from 'node:util';
import { rmSync } from 'node:fs';
import { KEPT_SEEDS } from './kept-seeds';
import { runSoak } from './play-soak';

const MINUTE_MS = 60_000;
const SECOND_MS = 1_000;
const SEED_RANGE = 2 ** 31;
const NETWORK = 61;
const EXIT_VIOLATIONS = 2;
const EXIT_STOPPED = 3;

function* freshSeeds(end: number): Generator<number> {
  while (performance.now() < end) {
    yield Math.floor(Math.random() * SEED_RANGE);
  }
}

async function main(): Promise<number> {
  const { values } = parseArgs({
    options: {
      minutes: { type: 'string', default: '5' },
      seconds: { type: 'string', default: '20' },
      seed: { type: 'string' },
      kept: { type: 'boolean', default: false },
      network: { type: 'string', default: String(NETWORK) },
    },
  });
  const end = performance.now() + Number(values.minutes) * MINUTE_MS;
  const given = values.seed === undefined ? [] : [Number(values.seed)];
  const seeds = values.kept ? KEPT_SEEDS.map(({ seed }) => seed) : given;
  let played = 0;
  let failed = 0;
  for (const seed of seeds.length > 0 ? seeds : freshSeeds(end)) {
    const result = await runSoak(seed, Number(values.seconds) * SECOND_MS, Number(values.network));
    played++;
    failed += result.passed ? 0 : 1;
    if (result.passed) {
      rmSync(result.folder, { recursive: true });
    }
    process.stdout.write(`${JSON.stringify(result)}\n`);
  }
  process.stdout.write(`${JSON.stringify({ played, failed })}\n`);
  return failed > 0 ? EXIT_VIOLATIONS : 0;
}

process.once('SIGTERM', () => process.exit(EXIT_STOPPED));
process.once('SIGINT', () => process.exit(EXIT_STOPPED));
void main().then((code) => process.exit(code));

/** Scenarios on fixed seeds: no promise breaks, and what breaks without the design. */
import test from 'ava';
import type { SafeguardName } from '../src/agent/safeguards';
import type { Design } from '../src/simulation/baselines';
import { CHECKER_NAMES } from '../src/simulation/invariant-checkers';
import {
  runSimulation,
  countViolations,
  type SimulationReport,
} from '../src/simulation/run-simulation';
import { findScenario } from '../src/simulation/scenarios';
import { DEPLOYMENTS } from '../src/standins/deployments';

/** Lets ava hear of the tests before: each of these takes seconds without a pause. */
function yieldToRunner(): Promise<void> {
  return new Promise((resolve) => setImmediate(resolve));
}

interface SimulationCase {
  readonly scenario: string;
  readonly deployment: 'map' | 'porting';
  readonly seed: number;
  readonly design?: Design;
  readonly without?: readonly SafeguardName[];
}

function simulate({
  scenario,
  deployment: office,
  seed,
  design,
  without,
}: SimulationCase): SimulationReport {
  return runSimulation({
    scenario: findScenario(scenario)!,
    deployment: DEPLOYMENTS[office],
    seed,
    design: design ?? 'hallhold',
    without: without ?? [],
  });
}

/** Seeds that once broke a promise, with what broke; each was mended at its cause. */
const REGRESSIONS: readonly (SimulationCase & { readonly once: string })[] = [
  {
    scenario: 'everything',
    deployment: 'map',
    seed: 21,
    once: 'a refused POST ran from a frozen balancer',
  },
  {
    scenario: 'everything',
    deployment: 'map',
    seed: 5,
    once: 'two hosts of one flow traded permits',
  },
  {
    scenario: 'everything',
    deployment: 'porting',
    seed: 41,
    once: 'balancers joined as two islands',
  },
  {
    scenario: 'everything',
    deployment: 'porting',
    seed: 37,
    once: 'a thawed agent hosted a stale placement',
  },
  {
    scenario: 'everything',
    deployment: 'porting',
    seed: 30,
    once: 'a feed was given up after 5 s',
  },
  {
    scenario: 'everything',
    deployment: 'porting',
    seed: 99_120_457,
    once: 'the checker judged a sign of leaving in a store that was down',
  },
];

for (const { once, ...run } of REGRESSIONS) {
  test(`${run.scenario}, ${run.deployment} seed ${run.seed}: ${once}`, async (t) => {
    await yieldToRunner();
    const report = simulate(run);
    t.is(countViolations(report), 0, report.examples.join('\n'));
    t.deepEqual(Object.keys(report.checked), [...CHECKER_NAMES]);
  });
}

for (const office of ['map', 'porting'] as const) {
  test(`planned changes break no flow and cut no request, ${office}`, async (t) => {
    await yieldToRunner();
    const report = simulate({ scenario: 'planned', deployment: office, seed: 1 });
    t.is(countViolations(report), 0, report.examples.join('\n'));
    t.is(report.flowsBroken, 0);
    t.true(report.flowsOpened > 200);
    t.true(report.checked['planned-stop-cuts-nothing']! > 0);
    t.true(report.checked['leaving-gets-no-new-work']! > 0);
    t.true(report.tableSecondsToAll < 4);
  });
}

test('the same seed gives the same history, another seed another', async (t) => {
  await yieldToRunner();
  const first = simulate({ scenario: 'everything', deployment: 'map', seed: 3 });
  const second = simulate({ scenario: 'everything', deployment: 'map', seed: 3 });
  const other = simulate({ scenario: 'everything', deployment: 'map', seed: 4 });
  t.deepEqual(second, first);
  t.not(other.digest, first.digest);
});

test('the checkers can fail: a hash alone breaks flows in planned changes', async (t) => {
  await yieldToRunner();
  const hash = simulate({ scenario: 'planned', deployment: 'map', seed: 1, design: 'hash' });
  t.true(hash.violations['established-flow-survives-planned-change']! > 0);
});

test('the checkers can fail: without drains a leaving target gets new work', async (t) => {
  await yieldToRunner();
  const report = simulate({ scenario: 'planned', deployment: 'map', seed: 5, without: ['drain'] });
  t.true(report.violations['leaving-gets-no-new-work']! > 0);
});

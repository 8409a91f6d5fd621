/** Scenarios on fixed seeds: no violations with the design, and violations without parts of it. */
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

/** Lets ava report earlier tests: each simulation blocks the event loop for seconds. */
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
  deployment,
  seed,
  design,
  without,
}: SimulationCase): SimulationReport {
  return runSimulation({
    scenario: findScenario(scenario)!,
    deployment: DEPLOYMENTS[deployment],
    seed,
    design: design ?? 'hallhold',
    without: without ?? [],
  });
}

/** Seeds that once violated an invariant, with the failure; each was fixed at its cause. */
const REGRESSIONS: readonly (SimulationCase & { readonly failure: string })[] = [
  {
    scenario: 'everything',
    deployment: 'map',
    seed: 21,
    failure: 'a refused POST ran from a frozen balancer',
  },
  {
    scenario: 'everything',
    deployment: 'map',
    seed: 5,
    failure: 'two hosts of one flow traded permits',
  },
  {
    scenario: 'everything',
    deployment: 'porting',
    seed: 41,
    failure: 'balancers joined as two separate groups',
  },
  {
    scenario: 'everything',
    deployment: 'porting',
    seed: 37,
    failure: 'a resumed agent hosted a stale placement',
  },
  {
    scenario: 'everything',
    deployment: 'porting',
    seed: 30,
    failure: 'a feed timed out after 5 s',
  },
  {
    scenario: 'everything',
    deployment: 'porting',
    seed: 99_120_457,
    failure: 'the checker counted a target as leaving while the store was down',
  },
];

for (const { failure, ...run } of REGRESSIONS) {
  test(`${run.scenario}, ${run.deployment} seed ${run.seed}: ${failure}`, async (t) => {
    await yieldToRunner();
    const report = simulate(run);
    t.is(countViolations(report), 0, report.examples.join('\n'));
    t.deepEqual(Object.keys(report.checked), [...CHECKER_NAMES]);
  });
}

for (const deployment of ['map', 'porting'] as const) {
  test(`planned changes break no flow and cut no request, ${deployment}`, async (t) => {
    await yieldToRunner();
    const report = simulate({ scenario: 'planned', deployment, seed: 1 });
    t.is(countViolations(report), 0, report.examples.join('\n'));
    t.is(report.flowsBroken, 0);
    t.true(report.flowsOpened > 200);
    t.true(report.checked['planned-stop-cuts-nothing']! > 0);
    t.true(report.checked['leaving-gets-no-new-work']! > 0);
    t.true(report.tableSecondsToAll < 4);
  });
}

test('the same seed gives the same run, another seed another', async (t) => {
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

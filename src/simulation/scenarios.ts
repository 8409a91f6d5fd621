/** Named scenarios: schedules of faults. */
import { FAULT_NAMES, PLANNED_CHANGES, type FaultName } from './faults';
import type { SeededRandom } from './seeded-random';

/** One fault of a schedule; times in milliseconds, `at` counted from the start of the callers. */
export interface ScheduledFault {
  readonly at: number;
  readonly name: FaultName;
  readonly duration: number;
}

/** A named scenario; its schedule is drawn from the seed. */
export interface Scenario {
  readonly name: string;
  readonly description: string;
  /** Run time of the callers, in milliseconds. */
  readonly length: number;
  drawSchedule(random: SeededRandom): ScheduledFault[];
}

const SCENARIO_LENGTH_MS = 60_000;
const FIRST_FAULT_MS = 5_000;
const LAST_FAULT_MS = 40_000;
const EVERYTHING_FAULT_COUNT = 10;
const PLANNED_FAULT_COUNT = 14;

function drawFaults(
  random: SeededRandom,
  names: readonly FaultName[],
  count: number,
): ScheduledFault[] {
  const drawn = Array.from({ length: count }, () => ({
    at: random.between(FIRST_FAULT_MS, LAST_FAULT_MS),
    name: random.pick(names),
    duration: random.between(1_000, 12_000),
  }));
  return drawn.sort((a, b) => a.at - b.at);
}

function createSingleFaultScenario(name: FaultName): Scenario {
  return {
    name,
    description: `${name}, three times`,
    length: SCENARIO_LENGTH_MS,
    drawSchedule: (random) => drawFaults(random, [name], 3),
  };
}

const QUIET: Scenario = {
  name: 'quiet',
  description: 'no fault',
  length: SCENARIO_LENGTH_MS,
  drawSchedule: () => [],
};

const PLANNED: Scenario = {
  name: 'planned',
  description: 'planned changes only: drains, table edits, rolling restarts',
  length: SCENARIO_LENGTH_MS,
  drawSchedule: (random) => drawFaults(random, PLANNED_CHANGES, PLANNED_FAULT_COUNT),
};

const EVERYTHING: Scenario = {
  name: 'everything',
  description: 'random faults that may overlap, one of them injected twice',
  length: SCENARIO_LENGTH_MS,
  drawSchedule: (random) => {
    const drawn = drawFaults(random, FAULT_NAMES, EVERYTHING_FAULT_COUNT);
    const repeated = random.pick(drawn);
    return [...drawn, { ...repeated, at: repeated.at + 50 }];
  },
};

/** All scenarios. */
export const SCENARIOS: readonly Scenario[] = [
  QUIET,
  PLANNED,
  EVERYTHING,
  ...FAULT_NAMES.map(createSingleFaultScenario),
];

/** Finds a scenario by name. */
export function findScenario(name: string): Scenario | undefined {
  return SCENARIOS.find((scenario) => scenario.name === name);
}

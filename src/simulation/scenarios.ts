/** Named scenarios: which faults come when. */
import { FAULT_NAMES, PLANNED_CHANGES, type FaultName } from './faults';
import type { SeededRandom } from './seeded-random';

/** One fault of a schedule; milliseconds after the callers started. */
export interface ScheduledFault {
  readonly at: number;
  readonly name: FaultName;
  readonly duration: number;
}

/** A scenario draws its schedule from the seed. */
export interface Scenario {
  readonly name: string;
  readonly what: string;
  /** Milliseconds that callers run. */
  readonly length: number;
  draw(random: SeededRandom): ScheduledFault[];
}

const LENGTH = 60_000;
const FIRST_FAULT = 5_000;
const LAST_FAULT = 40_000;
const EVERYTHING_FAULTS = 10;
const PLANNED_FAULTS = 14;

function drawMany(
  random: SeededRandom,
  names: readonly FaultName[],
  count: number,
): ScheduledFault[] {
  const drawn = Array.from({ length: count }, () => ({
    at: random.between(FIRST_FAULT, LAST_FAULT),
    name: random.pick(names),
    duration: random.between(1_000, 12_000),
  }));
  return drawn.sort((a, b) => a.at - b.at);
}

function single(name: FaultName): Scenario {
  return {
    name,
    what: `${name}, three times`,
    length: LENGTH,
    draw: (random) => drawMany(random, [name], 3),
  };
}

const QUIET: Scenario = { name: 'quiet', what: 'no fault', length: LENGTH, draw: () => [] };

const PLANNED: Scenario = {
  name: 'planned',
  what: 'planned changes only: drains, table edits, rolling restarts',
  length: LENGTH,
  draw: (random) => drawMany(random, PLANNED_CHANGES, PLANNED_FAULTS),
};

const EVERYTHING: Scenario = {
  name: 'everything',
  what: 'faults at random, together and twice',
  length: LENGTH,
  draw: (random) => {
    const drawn = drawMany(random, FAULT_NAMES, EVERYTHING_FAULTS);
    const twice = random.pick(drawn);
    return [...drawn, { ...twice, at: twice.at + 50 }];
  },
};

/** Every scenario. */
export const SCENARIOS: readonly Scenario[] = [
  QUIET,
  PLANNED,
  EVERYTHING,
  ...FAULT_NAMES.map(single),
];

/** A scenario by name. */
export function findScenario(name: string): Scenario | undefined {
  return SCENARIOS.find((scenario) => scenario.name === name);
}

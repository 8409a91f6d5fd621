/** The choice of an agent by the expected time of its answer, and what agents report for it. */
import test from 'ava';
import { AgentDirectory, type AgentEntry } from '../src/packets/agent-directory';
import { selectAgent } from '../src/packets/agent-selection';
import { OpeningRates } from '../src/packets/choice/opening-rates';
import { DegradationDetector } from '../src/packets/choice/degradation-detector';
import {
  PlacementClass,
  type Choice,
  type SelectionContext,
} from '../src/packets/choice/selection';
import { ServiceTimeTracker } from '../src/packets/choice/service-time-tracker';
import { TargetState, type ReportMessage } from '../src/packets/packet-messages';
import { checkPacketSettings } from '../src/packets/packet-settings';
import { ServiceTimeEstimator } from '../src/packets/service-time-estimator';
import { TargetHealth } from '../src/packets/target-health';
import { SeededRandom } from '../src/simulation/seeded-random';
import { createReport } from './support/reports';
import { createSelectionContext } from './support/selection-context';

const ANSWER_TIME_MS = 20;

/** Agents of one-slot targets, each with some fields of its report replaced. */
function createAgents(reports: readonly Partial<ReportMessage>[]): AgentEntry[] {
  const directory = new AgentDirectory();
  return reports.map((fields, address) => {
    const report = createReport({ slots: 1, answerTime: ANSWER_TIME_MS, ...fields });
    return directory.recordReport(address + 1, report, 0)!;
  });
}

/** Places flows, each half an answer of a target after the one before, and counts them by target. */
function placeFlows(
  entries: readonly AgentEntry[],
  flows: number,
  fields: Partial<SelectionContext> = {},
): number[] {
  const random = new SeededRandom(3);
  const counts = entries.map(() => 0);
  for (let flow = 0; flow < flows; flow++) {
    const now = (flow * ANSWER_TIME_MS) / 2;
    const context = createSelectionContext({ now, random: () => random.next(), ...fields });
    const { entry } = selectAgent(entries, context)!;
    entry.recentOpenings.push(now);
    counts[entries.indexOf(entry)]!++;
  }
  return counts;
}

test('a target known to fail gets next to nothing, also while the others are busy', (t) => {
  const busy = { busyRequests: 3, balancerCount: 20 };
  const failing = { busyRequests: 0, failurePercent: 86, balancerCount: 20 };
  const entries = createAgents([failing, ...Array.from({ length: 9 }, () => busy)]);
  const [atFailing] = placeFlows(entries, 100);
  t.true(atFailing! <= 2, `${atFailing} of 100 flows`);
});

test('a slow target gets its share by time, not by number', (t) => {
  const entries = createAgents([{ answerTime: 2.5 * ANSWER_TIME_MS }, {}, {}, {}]);
  // Two flows in an answer's time for each quick target: they queue there.
  const counts = placeFlows(entries, 400, { random: () => 0 });
  t.true(counts[0]! < counts[1]! / 2, counts.join(', '));
  const { entry, expectedTime } = selectAgent(
    createAgents([{ answerTime: 6 * ANSWER_TIME_MS }, { busyRequests: 2 }]),
    createSelectionContext(),
  )!;
  t.is(entry.address, 2, 'two requests ahead at a quick target are sooner done');
  t.true(expectedTime > 2 * ANSWER_TIME_MS && expectedTime < 6 * ANSWER_TIME_MS);
});

test('chance in the times of targets moves no flows: all balancers hear the same figures', (t) => {
  const entries = createAgents([{ answerTime: 15 }, {}, {}, { answerTime: 25 }]);
  const counts = placeFlows(entries, 400);
  t.true(Math.min(...counts) > 60, counts.join(', '));
});

test('a service that is slow or fails as a whole goes on getting flows everywhere', (t) => {
  const slow = createAgents(Array.from({ length: 4 }, () => ({ answerTime: 6 * ANSWER_TIME_MS })));
  const failing = createAgents(Array.from({ length: 4 }, () => ({ failurePercent: 90 })));
  for (const entries of [slow, failing]) {
    const counts = placeFlows(entries, 200);
    t.true(Math.min(...counts) > 20, counts.join(', '));
  }
});

test('classes go before times: silent and set-aside targets come last, whoever else is busy', (t) => {
  const [silent, aside, settling, busy] = createAgents([{}, {}, {}, { busyRequests: 3 }]);
  const context = createSelectionContext({
    isHeard: (entry) => entry !== silent,
    isSettling: (entry) => entry === settling,
    getOutlierStatus: (entry) =>
      entry === aside ? { kind: 'setAside', isTrialDue: false } : { kind: 'usual' },
  });
  const choose = (...entries: AgentEntry[]): Choice | undefined => selectAgent(entries, context);
  t.is(choose(silent!, aside!, settling!, busy!)?.entry, busy);
  t.is(choose(silent!, aside!, settling!)?.entry, settling);
  t.is(choose(silent!, aside!, settling!)?.placementClass, PlacementClass.doubtful);
  t.is(choose(silent!, aside!)?.placementClass, PlacementClass.lastResort);
});

test('a doubtful target helps out where all others make flows wait for long', (t) => {
  const busy = { busyRequests: 9 };
  const entries = createAgents([{}, busy, busy, busy]);
  const context = createSelectionContext({ isSettling: (entry) => entry === entries[0] });
  t.is(selectAgent(entries, context)?.entry, entries[0]);
});

test('candidates are widened before a worse class is taken', (t) => {
  const entries = createAgents(Array.from({ length: 25 }, () => ({})));
  const isHeard = (entry: AgentEntry): boolean => entry === entries[24];
  t.is(selectAgent(entries, createSelectionContext({ isHeard }))?.entry, entries[24]);
});

test('with a zone silent its targets get nothing; with all silent they get all', (t) => {
  const entries = createAgents([{ zone: 'south' }, { zone: 'south' }, { busyRequests: 2 }, {}]);
  const isHeard = ({ zone }: AgentEntry): boolean => zone === 'north';
  const counts = placeFlows(entries, 100, { isHeard });
  t.deepEqual(counts.slice(0, 2), [0, 0]);
  t.truthy(selectAgent(entries, createSelectionContext({ isHeard: () => false })));
});

test('an agent whose target looks idle while it works is found out by its age and openings', (t) => {
  const entries = createAgents([
    { busyRequests: 0, balancerCount: 20 },
    ...Array.from({ length: 9 }, () => ({ busyRequests: 1, balancerCount: 20 })),
  ]);
  const counts = placeFlows(entries, 100);
  t.true(counts[0]! <= 20, counts.join(', '));
});

test('old agents that count no answers go by the median of the others, or by an assumption', (t) => {
  const withMedian = createAgents([{ answers: 0, answerTime: 300 }, {}, {}]);
  t.true(Math.min(...placeFlows(withMedian, 90)) > 15);
  const untold = createAgents([
    { answers: 0, answerTime: 0 },
    { answers: 0, answerTime: 0 },
  ]);
  t.is(selectAgent(untold, createSelectionContext())?.expectedTime, 50);
});

test('a slow target that has given no answers for a while is tried again', (t) => {
  const [slow, forgotten] = createAgents([
    { answerTime: 6 * ANSWER_TIME_MS },
    { answerTime: 6 * ANSWER_TIME_MS, answers: 0 },
    {},
    {},
  ]);
  const others = createAgents([{}, {}, {}]);
  const timeOf = (entry: AgentEntry): number => {
    const isHeard = (one: AgentEntry): boolean => one === entry;
    return selectAgent([entry, ...others], createSelectionContext({ isHeard }))!.expectedTime;
  };
  t.is(timeOf(slow!) > 4 * ANSWER_TIME_MS, true);
  t.is(timeOf(forgotten!), ANSWER_TIME_MS);
});

test('cold targets come second, and take all where all are cold', (t) => {
  const [cold, warm] = createAgents([{ coldLeft: 900 }, {}]);
  t.is(selectAgent([cold!, warm!], createSelectionContext())?.entry, warm);
  const released = createAgents(Array.from({ length: 4 }, () => ({ coldLeft: 900 })));
  t.true(Math.min(...placeFlows(released, 100)) > 10);
});

test('after agents have restarted, those that know their target again do not draw all', (t) => {
  const unknown = { state: TargetState.unknown };
  const entries = createAgents([{ balancerCount: 20 }, unknown, unknown, unknown, unknown]);
  const counts = placeFlows(entries, 100);
  t.true(counts[0]! < 40, counts.join(', '));
});

test('where flows last, those that are open count beyond the age of a report', (t) => {
  const [many, few] = createAgents([
    { openFlows: 40, busyRequests: 2, slots: 4 },
    { openFlows: 4, busyRequests: 2, slots: 4 },
  ]);
  const late = { getReportAge: () => 500 };
  const lasting = createSelectionContext({ ...late, openingRate: 0.001 });
  t.is(selectAgent([many!, few!], lasting)?.entry, few);
  // A flow for each request: what was open half a second ago is closed.
  const passing = createSelectionContext({ ...late, openingRate: 2 });
  const one = selectAgent([many!, few!], passing)!;
  const other = selectAgent([few!, many!], passing)!;
  t.true(Math.abs(one.expectedTime - other.expectedTime) < 0.1);
});

test('a flow leaves the home zone where all there are far busier', (t) => {
  const entries = createAgents([{ zone: 'south' }, { busyRequests: 4 }, { busyRequests: 6 }]);
  t.is(selectAgent(entries, createSelectionContext())?.entry, entries[0]);
});

test('where answers take long a target that always fails is no way round a short queue', (t) => {
  const slow = { answerTime: 500, answers: 20, slots: 1 };
  const entries = createAgents([
    { ...slow, failurePercent: 100 },
    { ...slow, busyRequests: 2 },
  ]);
  t.is(selectAgent(entries, createSelectionContext())?.entry, entries[1]);
});

test('a transfer that costs more than the wait at home keeps a flow at home', (t) => {
  const entries = createAgents([{ zone: 'south' }, { busyRequests: 2 }]);
  const costly = createSelectionContext({
    getTransferCost: ({ zone }) => (zone === 'south' ? 90 : 0),
  });
  t.is(selectAgent(entries, costly)?.entry, entries[1]);
});

test('a report follows a sixfold slowing within five answers, and its end', (t) => {
  const time = new ServiceTimeEstimator();
  const random = new SeededRandom(1);
  let steadiest = 0;
  for (let answer = 0; answer < 500; answer++) {
    time.recordAnswer(random.between(10, 30), answer * 40);
    steadiest = answer < 20 ? 0 : Math.max(steadiest, Math.abs(time.answerTime - 20));
  }
  t.true(steadiest < 10, `normal spread moves the mean by ${steadiest} ms`);
  for (let answer = 0; answer < 5; answer++) {
    time.recordAnswer(120, 20_000 + answer);
  }
  t.true(time.answerTime > 80, `${time.answerTime}`);
  t.is(Math.round(time.countRecentAnswers(20_005)) > 3, true);
  t.true(time.countRecentAnswers(40_000) < 0.5, 'answers of long ago count for little');
  for (let answer = 0; answer < 8; answer++) {
    time.recordAnswer(20, 40_000 + answer);
  }
  t.true(time.answerTime < 40, `${time.answerTime}`);
});

test('the first answers replace the assumed time; a request under way tells before it ends', (t) => {
  const time = new ServiceTimeEstimator();
  t.is(time.computeExpectedTime(400), 50, 'nothing to compare with');
  time.recordAnswer(12, 0);
  t.is(time.answerTime, 12);
  t.is(time.computeExpectedTime(20), 12, 'within the normal spread');
  t.is(time.computeExpectedTime(90), 90);
  time.clear();
  t.is(time.answerTime, 50);
  t.is(time.countRecentAnswers(0), 0);
});

test('one long request says nothing of a target that answers others meanwhile', (t) => {
  const time = new ServiceTimeEstimator();
  for (let now = 0; now <= 1_000; now += 20) {
    time.recordAnswer(20, now);
  }
  t.is(time.computeExpectedTime(600, 1_010), 20, 'its other slots do well');
  t.is(Math.round(time.computeExpectedTime(600, 1_300)), 300, 'none has been answered for so long');
  t.is(time.computeExpectedTime(90, 1_300), 90, 'it had nothing to do before');
});

test('time that a request waits inside its target is no work', (t) => {
  const clock = new ServiceTimeTracker<string>(() => 1);
  clock.startRequest('first', 0);
  clock.startRequest('second', 5);
  clock.startRequest('third', 6);
  t.is(clock.getServiceTime('second', 10), undefined);
  t.is(clock.getLongestServiceTime(15), 15);
  clock.endRequest('first', 20);
  t.is(clock.getServiceTime('second', 45), 25);
  clock.endRequest('third', 46);
  clock.endRequest('second', 50);
  t.is(clock.getLongestServiceTime(60), 0);
  const unknown = new ServiceTimeTracker<string>(() => 0);
  unknown.startRequest('first', 0);
  unknown.startRequest('second', 1);
  t.is(unknown.getServiceTime('second', 10), 9, 'slots are not known: all are worked on');
});

test('failures in a row tell soon after a thousand successes; a single one is no verdict', (t) => {
  const health = new TargetHealth();
  for (let request = 0; request < 1_000; request++) {
    health.recordOutcome(true, request);
  }
  health.recordOutcome(false, 1_000);
  t.true(health.computeFailureShare(1_000) < 0.02);
  for (let request = 0; request < 4; request++) {
    health.recordOutcome(false, 1_000);
  }
  t.true(health.computeFailureShare(1_000) > 0.5, `${health.computeFailureShare(1_000)}`);
  for (let request = 0; request < 6; request++) {
    health.recordOutcome(true, 1_000);
  }
  t.true(health.computeFailureShare(1_000) < 0.05);
  health.clear();
  t.is(health.computeFailureShare(1_000), 0);
  t.is(health.targetChanges, 1);
});

test('an agent tells at once that its target has become worse, and not again for a while', (t) => {
  const alarm = new DegradationDetector();
  const well = { answerTime: 20, answers: 9, failurePercent: 0 };
  t.false(alarm.shouldReport(well, 0));
  t.true(alarm.shouldReport({ ...well, failurePercent: 36 }, 10));
  t.false(
    alarm.shouldReport({ ...well, failurePercent: 90 }, 20),
    'a quarter of a second has not passed',
  );
  t.true(alarm.shouldReport({ ...well, failurePercent: 90 }, 300));
  t.false(alarm.shouldReport({ ...well, failurePercent: 92 }, 900), 'told before');
  t.false(alarm.shouldReport(well, 1_000), 'better can wait');
  t.true(alarm.shouldReport({ ...well, answerTime: 60 }, 2_000));
  const first = new DegradationDetector();
  t.false(first.shouldReport({ answerTime: 50, answers: 0, failurePercent: 0 }, 0));
  t.false(
    first.shouldReport({ answerTime: 120, answers: 1, failurePercent: 0 }, 900),
    'the first figure',
  );
});

test('times too short to be told apart raise no alarm', (t) => {
  const alarm = new DegradationDetector();
  const fast = { answerTime: 0, answers: 9, failurePercent: 0 };
  t.false(alarm.shouldReport(fast, 0));
  t.false(alarm.shouldReport(fast, 1_000), 'under half a millisecond, told as 0');
  t.false(alarm.shouldReport({ ...fast, answerTime: 3 }, 2_000));
  t.true(alarm.shouldReport({ ...fast, answerTime: 12 }, 3_000));
});

test('where balancers want reports seldom, alarms are as seldom', (t) => {
  const alarm = new DegradationDetector();
  const well = { answerTime: 20, answers: 9, failurePercent: 0 };
  const slow = { ...well, answerTime: 60 };
  let raised = 0;
  for (let now = 0; now < 10_000; now += 50) {
    raised += alarm.shouldReport(now % 100 === 0 ? well : slow, now, () => 1_000) ? 1 : 0;
  }
  t.is(raised, 10);
});

test('what is kept of openings is bounded, though agents are silent and services go', (t) => {
  const directory = new AgentDirectory();
  const entry = directory.recordReport(1, createReport(), 0)!;
  const rates = new OpeningRates();
  for (let now = 1; now <= 5_000; now++) {
    directory.recordOpening(entry, false, now);
    rates.recordOpening(`service-${now}`, now);
  }
  t.is(entry.recentOpenings.length, 1_000);
  t.is(entry.recentOpenings.at(-1), 5_000, 'the latest are kept');
  rates.recordOpening('map', 60_000);
  rates.expire(150_000);
  t.is(rates.size, 1);
});

test('rates of openings fade', (t) => {
  const rates = new OpeningRates();
  for (let now = 0; now < 30_000; now += 20) {
    rates.recordOpening('map', now);
  }
  t.true(Math.abs(rates.getRate('map', 30_000) - 0.05) < 0.001);
  t.true(rates.getRate('map', 60_000) < 0.001);
  t.is(rates.getRate('other', 0), 0);
});

test('settings switch the rule and bound the share; wrong ones are errors', (t) => {
  const base = {
    name: 'n',
    zone: 'z',
    address: '10.0.0.1:1',
    clientPort: 1,
    storeAddress: '10.0.0.1:2',
  };
  t.deepEqual(checkPacketSettings('s', base).unwrap().choice, {
    expectedWait: true,
    setAsideShare: 30,
    keptFlows: true,
    admission: true,
    keptShare: 10,
  });
  const off = {
    ...base,
    expectedWait: 0,
    setAsideShare: 0,
    keptFlows: 0,
    admission: 0,
    lowerPriorityShare: 0,
  };
  t.deepEqual(checkPacketSettings('s', off).unwrap().choice, {
    expectedWait: false,
    setAsideShare: 0,
    keptFlows: false,
    admission: false,
    keptShare: 0,
  });
  for (const wrong of [{ expectedWait: 2 }, { setAsideShare: 51 }, { setAsideShare: 0.5 }]) {
    t.true(checkPacketSettings('s', { ...base, ...wrong }).err);
  }
});

test('a few long queues say nothing of the targets whose reports are old', (t) => {
  const hot = Array.from({ length: 4 }, () => ({ busyRequests: 40 }));
  const idle = Array.from({ length: 15 }, () => ({}));
  const entries = createAgents([{ busyRequests: 4 }, ...idle, ...hot]);
  const recent = entries[0]!;
  const ageOf = (entry: AgentEntry): number => (entry === recent ? 0 : 600);
  t.not(selectAgent(entries, createSelectionContext({ getReportAge: ageOf }))!.entry, recent);
});

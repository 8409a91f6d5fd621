/** Selection of an agent by expected answer time, and the metrics that agents report for it. */
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

/** Creates agents of one-slot targets, each with some fields of its report replaced. */
function createAgents(reports: readonly Partial<ReportMessage>[]): AgentEntry[] {
  const directory = new AgentDirectory();
  return reports.map((fields, address) => {
    const report = createReport({ slots: 1, answerTime: ANSWER_TIME_MS, ...fields });
    return directory.recordReport(address + 1, report, 0)!;
  });
}

/** Places flows at intervals of half an answer time and counts them by target. */
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

test('a target known to fail gets hardly any flows, even while the others are busy', (t) => {
  const busy = { busyRequests: 3, balancerCount: 20 };
  const failing = { busyRequests: 0, failurePercent: 86, balancerCount: 20 };
  const entries = createAgents([failing, ...Array.from({ length: 9 }, () => busy)]);
  const [atFailing] = placeFlows(entries, 100);
  t.true(atFailing! <= 2, `${atFailing} of 100 flows`);
});

test('a slow target gets flows in proportion to its speed', (t) => {
  const entries = createAgents([{ answerTime: 2.5 * ANSWER_TIME_MS }, {}, {}, {}]);
  // Two flows per answer time for each fast target, so they queue there.
  const counts = placeFlows(entries, 400, { random: () => 0 });
  t.true(counts[0]! < counts[1]! / 2, counts.join(', '));
  const { entry, expectedTime } = selectAgent(
    createAgents([{ answerTime: 6 * ANSWER_TIME_MS }, { busyRequests: 2 }]),
    createSelectionContext(),
  )!;
  t.is(entry.address, 2, 'two queued requests at a fast target are served sooner');
  t.true(expectedTime > 2 * ANSWER_TIME_MS && expectedTime < 6 * ANSWER_TIME_MS);
});

test('small differences of answer times between targets do not shift flows', (t) => {
  const entries = createAgents([{ answerTime: 15 }, {}, {}, { answerTime: 25 }]);
  const counts = placeFlows(entries, 400);
  t.true(Math.min(...counts) > 60, counts.join(', '));
});

test('all targets of a service that is slow or fails as a whole still get flows', (t) => {
  const slow = createAgents(Array.from({ length: 4 }, () => ({ answerTime: 6 * ANSWER_TIME_MS })));
  const failing = createAgents(Array.from({ length: 4 }, () => ({ failurePercent: 90 })));
  for (const entries of [slow, failing]) {
    const counts = placeFlows(entries, 200);
    t.true(Math.min(...counts) > 20, counts.join(', '));
  }
});

test('unresponsive and ejected targets come last, however busy the others are', (t) => {
  const [silent, aside, settling, busy] = createAgents([{}, {}, {}, { busyRequests: 3 }]);
  const context = createSelectionContext({
    isHeard: (entry) => entry !== silent,
    isRecentlyAdded: (entry) => entry === settling,
    getOutlierStatus: (entry) =>
      entry === aside ? { kind: 'setAside', isTrialDue: false } : { kind: 'usual' },
  });
  const choose = (...entries: AgentEntry[]): Choice | undefined => selectAgent(entries, context);
  t.is(choose(silent!, aside!, settling!, busy!)?.entry, busy);
  t.is(choose(silent!, aside!, settling!)?.entry, settling);
  t.is(choose(silent!, aside!, settling!)?.placementClass, PlacementClass.doubtful);
  t.is(choose(silent!, aside!)?.placementClass, PlacementClass.lastResort);
});

test('a doubtful target is selected where the wait at all others is long', (t) => {
  const busy = { busyRequests: 9 };
  const entries = createAgents([{}, busy, busy, busy]);
  const context = createSelectionContext({ isRecentlyAdded: (entry) => entry === entries[0] });
  t.is(selectAgent(entries, context)?.entry, entries[0]);
});

test('more candidates are considered before a worse class is selected', (t) => {
  const entries = createAgents(Array.from({ length: 25 }, () => ({})));
  const isHeard = (entry: AgentEntry): boolean => entry === entries[24];
  t.is(selectAgent(entries, createSelectionContext({ isHeard }))?.entry, entries[24]);
});

test('targets of an unresponsive zone get no flows unless all zones are unresponsive', (t) => {
  const entries = createAgents([{ zone: 'south' }, { zone: 'south' }, { busyRequests: 2 }, {}]);
  const isHeard = ({ zone }: AgentEntry): boolean => zone === 'north';
  const counts = placeFlows(entries, 100, { isHeard });
  t.deepEqual(counts.slice(0, 2), [0, 0]);
  t.truthy(selectAgent(entries, createSelectionContext({ isHeard: () => false })));
});

test('a target reported as idle does not attract all flows until its next report', (t) => {
  const entries = createAgents([
    { busyRequests: 0, balancerCount: 20 },
    ...Array.from({ length: 9 }, () => ({ busyRequests: 1, balancerCount: 20 })),
  ]);
  const counts = placeFlows(entries, 100);
  t.true(counts[0]! <= 20, counts.join(', '));
});

test('agents without answer counts get the median of the others or the default time', (t) => {
  const withMedian = createAgents([{ answers: 0, answerTime: 300 }, {}, {}]);
  t.true(Math.min(...placeFlows(withMedian, 90)) > 15);
  const untold = createAgents([
    { answers: 0, answerTime: 0 },
    { answers: 0, answerTime: 0 },
  ]);
  t.is(selectAgent(untold, createSelectionContext())?.expectedTime, 50);
});

test('a slow target without recent answers is tried again', (t) => {
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

test('cold targets are selected last, and get all flows where all are cold', (t) => {
  const [cold, warm] = createAgents([{ coldLeft: 900 }, {}]);
  t.is(selectAgent([cold!, warm!], createSelectionContext())?.entry, warm);
  const released = createAgents(Array.from({ length: 4 }, () => ({ coldLeft: 900 })));
  t.true(Math.min(...placeFlows(released, 100)) > 10);
});

test('after a restart of agents, the first that knows its target does not attract all flows', (t) => {
  const unknown = { state: TargetState.unknown };
  const entries = createAgents([{ balancerCount: 20 }, unknown, unknown, unknown, unknown]);
  const counts = placeFlows(entries, 100);
  t.true(counts[0]! < 40, counts.join(', '));
});

test('open flows of an old report count where flows are long-lived', (t) => {
  const [many, few] = createAgents([
    { openFlows: 40, busyRequests: 2, slots: 4 },
    { openFlows: 4, busyRequests: 2, slots: 4 },
  ]);
  const late = { getReportAge: () => 500 };
  const lasting = createSelectionContext({ ...late, openingRate: 0.001 });
  t.is(selectAgent([many!, few!], lasting)?.entry, few);
  // With a flow per request, flows that were open half a second ago are closed.
  const passing = createSelectionContext({ ...late, openingRate: 2 });
  const one = selectAgent([many!, few!], passing)!;
  const other = selectAgent([few!, many!], passing)!;
  t.true(Math.abs(one.expectedTime - other.expectedTime) < 0.1);
});

test('a flow goes to another zone where all targets at home are far busier', (t) => {
  const entries = createAgents([{ zone: 'south' }, { busyRequests: 4 }, { busyRequests: 6 }]);
  t.is(selectAgent(entries, createSelectionContext())?.entry, entries[0]);
});

test('where answers take long, a target that always fails is not preferred to a short queue', (t) => {
  const slow = { answerTime: 500, answers: 20, slots: 1 };
  const entries = createAgents([
    { ...slow, failurePercent: 100 },
    { ...slow, busyRequests: 2 },
  ]);
  t.is(selectAgent(entries, createSelectionContext())?.entry, entries[1]);
});

test('a flow stays in the home zone where the transfer costs more than the wait there', (t) => {
  const entries = createAgents([{ zone: 'south' }, { busyRequests: 2 }]);
  const costly = createSelectionContext({
    getTransferCost: ({ zone }) => (zone === 'south' ? 90 : 0),
  });
  t.is(selectAgent(entries, costly)?.entry, entries[1]);
});

test('the answer time follows a sixfold slowdown within five answers, and its end', (t) => {
  const time = new ServiceTimeEstimator();
  const random = new SeededRandom(1);
  let largestDeviation = 0;
  for (let answer = 0; answer < 500; answer++) {
    time.recordAnswer(random.between(10, 30), answer * 40);
    largestDeviation = answer < 20 ? 0 : Math.max(largestDeviation, Math.abs(time.answerTime - 20));
  }
  t.true(largestDeviation < 10, `normal variance moves the mean by ${largestDeviation} ms`);
  for (let answer = 0; answer < 5; answer++) {
    time.recordAnswer(120, 20_000 + answer);
  }
  t.true(time.answerTime > 80, `${time.answerTime}`);
  t.is(Math.round(time.countRecentAnswers(20_005)) > 3, true);
  t.true(time.countRecentAnswers(40_000) < 0.5, 'old answers count for little');
  for (let answer = 0; answer < 8; answer++) {
    time.recordAnswer(20, 40_000 + answer);
  }
  t.true(time.answerTime < 40, `${time.answerTime}`);
});

test('the first answers replace the default time; an overdue request counts before it ends', (t) => {
  const time = new ServiceTimeEstimator();
  t.is(time.computeExpectedTime(400), 50, 'nothing to compare with');
  time.recordAnswer(12, 0);
  t.is(time.answerTime, 12);
  t.is(time.computeExpectedTime(20), 12, 'within the normal variance');
  t.is(time.computeExpectedTime(90), 90);
  time.clear();
  t.is(time.answerTime, 50);
  t.is(time.countRecentAnswers(0), 0);
});

test('one long request does not raise the answer time of a target that serves others meanwhile', (t) => {
  const time = new ServiceTimeEstimator();
  for (let now = 0; now <= 1_000; now += 20) {
    time.recordAnswer(20, now);
  }
  t.is(time.computeExpectedTime(600, 1_010), 20, 'its other slots respond normally');
  t.is(Math.round(time.computeExpectedTime(600, 1_300)), 300, 'no answer for so long');
  t.is(time.computeExpectedTime(90, 1_300), 90, 'it was idle before');
});

test('the time that a request is queued inside its target does not count as service time', (t) => {
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
  t.is(unknown.getServiceTime('second', 10), 9, 'with unknown slots all requests are in service');
});

test('failures in a row raise the share despite many successes; a single one does not', (t) => {
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

test('an agent reports a degraded target at once, and not again for a while', (t) => {
  const detector = new DegradationDetector();
  const well = { answerTime: 20, answers: 9, failurePercent: 0 };
  t.false(detector.shouldReport(well, 0));
  t.true(detector.shouldReport({ ...well, failurePercent: 36 }, 10));
  t.false(
    detector.shouldReport({ ...well, failurePercent: 90 }, 20),
    'within the minimum interval',
  );
  t.true(detector.shouldReport({ ...well, failurePercent: 90 }, 300));
  t.false(detector.shouldReport({ ...well, failurePercent: 92 }, 900), 'already reported');
  t.false(detector.shouldReport(well, 1_000), 'an improvement can wait');
  t.true(detector.shouldReport({ ...well, answerTime: 60 }, 2_000));
  const first = new DegradationDetector();
  t.false(first.shouldReport({ answerTime: 50, answers: 0, failurePercent: 0 }, 0));
  t.false(
    first.shouldReport({ answerTime: 120, answers: 1, failurePercent: 0 }, 900),
    'the first answer time',
  );
});

test('answer times too short to compare cause no early report', (t) => {
  const detector = new DegradationDetector();
  const fast = { answerTime: 0, answers: 9, failurePercent: 0 };
  t.false(detector.shouldReport(fast, 0));
  t.false(detector.shouldReport(fast, 1_000), 'under half a millisecond, reported as 0');
  t.false(detector.shouldReport({ ...fast, answerTime: 3 }, 2_000));
  t.true(detector.shouldReport({ ...fast, answerTime: 12 }, 3_000));
});

test('early reports are no more frequent than the regular reports that balancers request', (t) => {
  const detector = new DegradationDetector();
  const well = { answerTime: 20, answers: 9, failurePercent: 0 };
  const slow = { ...well, answerTime: 60 };
  let reports = 0;
  for (let now = 0; now < 10_000; now += 50) {
    reports += detector.shouldReport(now % 100 === 0 ? well : slow, now, () => 1_000) ? 1 : 0;
  }
  t.is(reports, 10);
});

test('records of new flows are bounded while agents are unresponsive and services come and go', (t) => {
  const directory = new AgentDirectory();
  const entry = directory.recordReport(1, createReport(), 0)!;
  const rates = new OpeningRates();
  for (let now = 1; now <= 5_000; now++) {
    directory.recordOpening(entry, false, now);
    rates.recordOpening(`service-${now}`, now);
  }
  t.is(entry.recentOpenings.length, 1_000);
  t.is(entry.recentOpenings.at(-1), 5_000, 'the latest are retained');
  rates.recordOpening('map', 60_000);
  rates.expire(150_000);
  t.is(rates.size, 1);
});

test('rates of new flows decay', (t) => {
  const rates = new OpeningRates();
  for (let now = 0; now < 30_000; now += 20) {
    rates.recordOpening('map', now);
  }
  t.true(Math.abs(rates.getRate('map', 30_000) - 0.05) < 0.001);
  t.true(rates.getRate('map', 60_000) < 0.001);
  t.is(rates.getRate('other', 0), 0);
});

test('settings enable the rule and limit the share; invalid ones are errors', (t) => {
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

test('a few long queues do not change the expected load of targets with old reports', (t) => {
  const hot = Array.from({ length: 4 }, () => ({ busyRequests: 40 }));
  const idle = Array.from({ length: 15 }, () => ({}));
  const entries = createAgents([{ busyRequests: 4 }, ...idle, ...hot]);
  const recent = entries[0]!;
  const ageOf = (entry: AgentEntry): number => (entry === recent ? 0 : 600);
  t.not(selectAgent(entries, createSelectionContext({ getReportAge: ageOf }))!.entry, recent);
});

/** Placement of persistent flows while hundreds of them open within a second or two. */
import test from 'ava';
import { packEndpoint } from '../src/core/endpoint';
import { AgentDirectory, type AgentEntry } from '../src/packets/agent-directory';
import { selectAgent } from '../src/packets/agent-selection';
import { computeWaterLevel } from '../src/packets/choice/water-filling';
import { estimateQueueLength } from '../src/packets/choice/persistent-flows';
import {
  createFlowRequestCount,
  RouteRequestStatistics,
} from '../src/packets/choice/route-request-statistics';
import type { FlowPacket } from '../src/packets/flow-packet';
import type { ReportMessage } from '../src/packets/packet-messages';
import { SeededRandom } from '../src/simulation/seeded-random';
import { createReport } from './support/reports';
import { createSelectionContext } from './support/selection-context';

const STREAM = packEndpoint('198.18.0.1', 8_443);
const CHECK = packEndpoint('198.18.0.1', 8_080);

function createPacket(destination: number, fields: Partial<FlowPacket>): FlowPacket {
  const plain = { payloadLength: 0, isFull: false, ends: false, resets: false, sequence: 1 };
  return { destination, ...plain, ...fields } as FlowPacket;
}

test('a route of persistent flows is recognized by the second request of its first flows', (t) => {
  const use = new RouteRequestStatistics();
  t.is(use.estimateRequestsPerFlow(STREAM, 0), 2, 'no observations');
  for (let flow = 0; flow < 20; flow++) {
    const seen = createFlowRequestCount();
    use.recordPacket(createPacket(STREAM, { payloadLength: 10 }), seen, 0);
    use.recordPacket(createPacket(STREAM, { payloadLength: 10 }), seen, 200);
    t.is(seen.requests, 1, 'a retransmission is no request');
    use.recordPacket(createPacket(STREAM, { payloadLength: 10, sequence: 11 }), seen, 3_000);
  }
  t.true(use.estimateRequestsPerFlow(STREAM, 3_000) > 5);
});

test('a route whose flows end with their first request is recognized by their ends', (t) => {
  const use = new RouteRequestStatistics();
  for (let flow = 0; flow < 30; flow++) {
    const seen = createFlowRequestCount();
    use.recordPacket(createPacket(CHECK, { payloadLength: 10 }), seen, flow);
    use.recordPacket(createPacket(CHECK, { ends: true }), seen, flow);
    use.recordPacket(createPacket(CHECK, { ends: true }), seen, flow);
  }
  t.is(use.estimateRequestsPerFlow(CHECK, 30), 1);
  t.is(use.estimateRequestsPerFlow(STREAM, 30), 2);
});

test('load fills the lowest bins first', (t) => {
  const bins = [
    { level: 10, width: 1 },
    { level: 4, width: 2 },
    { level: 5, width: 1 },
  ];
  t.is(computeWaterLevel(bins, 0), 0);
  t.is(computeWaterLevel(bins, 1), 4.5);
  t.is(computeWaterLevel(bins, 2), 5);
  t.is(computeWaterLevel(bins, 5), 6);
  t.is(computeWaterLevel([], 5), 0);
});

test('the queue length rises with utilization, and linearly where a target is overloaded', (t) => {
  t.is(estimateQueueLength(0.5), 1);
  t.true(Math.abs(estimateQueueLength(0.9) - 9) < 1e-9);
  t.true(Math.abs(estimateQueueLength(1) - 19) < 1e-9);
});

const TARGETS = 48;
const ZONES = 4;
const BALANCERS = 24;
const REPORT_INTERVAL_MS = 500;
const FAST_ANSWER_TIME_MS = 15;
/** Answer time of one target in four. */
const SLOW_ANSWER_TIME_MS = 34;

function getAnswerTime(target: number): number {
  return target % 4 === 0 ? SLOW_ANSWER_TIME_MS : FAST_ANSWER_TIME_MS;
}

/**
 * Opens flows at random balancers that all have the same reports. In these each target looks idle,
 * as it does between the requests of such flows.
 * @returns load of each target relative to the mean
 */
function simulateOpenings(
  flows: number,
  spacing: number,
  requestsPerFlow: number,
  figuresOf: (target: number, now: number) => Partial<ReportMessage> = () => ({}),
): number[] {
  const random = new SeededRandom(7);
  const open = Array.from({ length: TARGETS }, () => 0);
  const directories = Array.from({ length: BALANCERS }, () => new AgentDirectory());
  const entries = directories.map(() => [] as AgentEntry[]);
  let reportedAt = -Infinity;
  let sequence = 0;
  for (let flow = 0; flow < flows; flow++) {
    const now = flow * spacing;
    if (now - reportedAt >= REPORT_INTERVAL_MS) {
      reportedAt = now;
      sequence++;
      directories.forEach((directory, index) => {
        entries[index] = open.map((openFlows, target) => {
          const zone = `z${target % ZONES}`;
          const answerTime = getAnswerTime(target);
          const figures = { slots: 1, answerTime, openFlows, balancerCount: BALANCERS };
          const told = figuresOf(target, now);
          const report = createReport({ zone, sequence, ...figures, ...told });
          return directory.recordReport(target + 1, report, now)!;
        });
      });
    }
    const balancer = Math.floor(random.next() * BALANCERS);
    const own = entries[balancer]!;
    const home = `z${balancer % ZONES}`;
    const shuffled = own.map((entry) => ({ entry, key: random.next() }));
    shuffled.sort((one, other) => one.key - other.key);
    const atHome = shuffled.filter(({ entry }) => entry.zone === home).slice(0, 7);
    const away = shuffled.filter(({ entry }) => entry.zone !== home).slice(0, 3);
    const ordered = [...atHome, ...away].map(({ entry }) => entry);
    const context = createSelectionContext({
      now,
      requestsPerFlow,
      competingShare: 1 / ZONES,
      openingRate: 1 / (spacing * BALANCERS),
      getReportAge: () => now - reportedAt,
      getTransferCost: ({ zone }) => (zone === home ? 0 : 5),
      random: () => random.next(),
    });
    const { entry } = selectAgent(ordered, context)!;
    directories[balancer]!.recordOpening(entry, requestsPerFlow > 1, now);
    open[entry.address - 1]!++;
  }
  const uses = open.map((count, target) => count * getAnswerTime(target));
  const mean = uses.reduce((sum, use) => sum + use, 0) / TARGETS;
  return uses.map((use) => use / mean);
}

test('many flows that open at once are spread by target capacity before any target is busy', (t) => {
  const spread = Math.max(...simulateOpenings(1_700, 1, 5));
  t.true(spread <= 1.25, `the most loaded target has ${spread.toFixed(2)} times the mean`);
  const unspread = Math.max(...simulateOpenings(1_700, 1, 1));
  t.true(unspread > spread, `${unspread.toFixed(2)} where each flow has one request`);
});

test('the first answers of a few targets do not attract flows', (t) => {
  // At the start six targets have one or two answers, some of them to easy requests.
  const firstTimes = [34, 6, 9, 15, 60, 20];
  const figuresOf = (target: number, now: number): Partial<ReportMessage> => {
    const answerTime = firstTimes[target] ?? 0;
    return now > 0 ? {} : { answers: answerTime > 0 ? 2 : 0, answerTime };
  };
  const uses = simulateOpenings(1_700, 1, 5, figuresOf);
  [1, 2].forEach((target) => t.true(uses[target]! <= 1.25, `${uses[target]!.toFixed(2)} times`));
});

test('flows of one request each are placed regardless of open flows', (t) => {
  const directory = new AgentDirectory();
  const reports = [{ openFlows: 90 }, { openFlows: 10 }, { openFlows: 50, busyRequests: 4 }];
  const entries = reports.map((fields, address) =>
    directory.recordReport(address + 1, createReport(fields), 0)!,
  );
  entries.forEach((entry) => entry.recentFlows.push(0));
  const single = selectAgent(entries, createSelectionContext({ requestsPerFlow: 1 }))!;
  entries.forEach((entry) => (entry.recentFlows.length = 0));
  t.deepEqual(selectAgent(entries, createSelectionContext())!, single);
});

test('a target without an answer time gets no more flows than a slow one', (t) => {
  const directory = new AgentDirectory();
  const timed = Array.from({ length: 7 }, (_, target) => ({ answerTime: getAnswerTime(target) }));
  const reports = [...timed, { answers: 0, answerTime: 0 }];
  const entries = reports.map((fields, address) => {
    const report = createReport({ slots: 1, openFlows: 20, ...fields });
    return directory.recordReport(address + 1, report, 0)!;
  });
  const { entry } = selectAgent(entries, createSelectionContext({ requestsPerFlow: 5 }))!;
  t.not(entry.address, 8);
});

test('a target of a nearly idle service gets flows, however many idle ones are open there', (t) => {
  const random = new SeededRandom(9);
  const directory = new AgentDirectory();
  const entries = [377, 315, 325, 214].map((openFlows, address) =>
    directory.recordReport(address + 1, createReport({ openFlows, answerTime: 15 }), 0)!,
  );
  const counts = entries.map(() => 0);
  const context = createSelectionContext({ requestsPerFlow: 6, random: () => random.next() });
  for (let flow = 0; flow < 200; flow++) {
    counts[entries.indexOf(selectAgent(entries, context)!.entry)]!++;
  }
  t.true(Math.min(...counts) > 0, counts.join(', '));
});

/** Ejection of targets that are far worse than their service, and their return. */
import test from 'ava';
import { readRoutingTable } from '../platform/routing-document';
import type { Environment } from '../src/environment';
import type { EventFields, EventKind } from '../src/logging/events';
import { Events } from '../src/logging/events';
import { AgentDirectory, type AgentEntry } from '../src/packets/agent-directory';
import { selectAgent } from '../src/packets/agent-selection';
import { findOutliers, type ComparedTarget } from '../src/packets/choice/outliers';
import { PlacementClass, type Choice } from '../src/packets/choice/selection';
import { OutlierEjection } from '../src/packets/choice/outlier-ejection';
import type { ReportMessage } from '../src/packets/packet-messages';
import {
  decodeSnapshot,
  decodeSnapshotText,
  encodeSnapshot,
  encodeSnapshotText,
} from '../src/packets/peer-snapshot';
import { SeededRandom } from '../src/simulation/seeded-random';
import { createReport } from './support/reports';
import { DESTINATION, RouterHarness } from './support/router-harness';
import { createSelectionContext } from './support/selection-context';

const SHARE_PERCENT = 30;
const STEP_MS = 50;
const SECOND_MS = 1_000;
const FAILING = { failurePercent: 86 };
const SLOW = { answerTime: 120 };

function createTargets(
  fields: readonly Partial<ComparedTarget<number>>[],
): ComparedTarget<number>[] {
  const usual = {
    failurePercent: 0,
    answerTime: 20,
    answers: 20,
    isCold: false,
    isSetAside: false,
  };
  return fields.map((one, id) => ({ id, ...usual, ...one }));
}

function findOutlierIds(
  fields: readonly Partial<ComparedTarget<number>>[],
  share = SHARE_PERCENT,
): number[] {
  return [...findOutliers(createTargets(fields), share).keys()].sort();
}

const USUAL = [{}, {}, {}, {}, {}, {}, {}, {}];

test('targets that fail or are slow are outliers; those that are merely worse are not', (t) => {
  t.deepEqual(findOutlierIds([FAILING, SLOW, ...USUAL]), [0, 1]);
  t.deepEqual(findOutlierIds([{ failurePercent: 25 }, { answerTime: 45 }, ...USUAL]), []);
  const found = findOutliers(createTargets([FAILING, SLOW, ...USUAL]), SHARE_PERCENT);
  t.deepEqual(found.get(0), { kind: 'failing', figure: 86, median: 0 });
  t.deepEqual(found.get(1), { kind: 'slow', figure: 120, median: 20 });
});

test('a service that fails or is slow as a whole has no outliers', (t) => {
  t.deepEqual(findOutlierIds(Array.from({ length: 10 }, () => FAILING)), []);
  t.deepEqual(findOutlierIds(Array.from({ length: 10 }, () => SLOW)), []);
  const most = [...Array.from({ length: 6 }, () => FAILING), {}, {}, {}, {}];
  t.deepEqual(findOutlierIds(most), [], 'most of them fail');
});

test('targets with few answers and cold targets are no outliers', (t) => {
  t.deepEqual(findOutlierIds([{ ...SLOW, answers: 2 }, { ...SLOW, isCold: true }, ...USUAL]), []);
  const quiet = Array.from({ length: 8 }, () => ({ answers: 0 }));
  t.deepEqual(findOutlierIds([SLOW, ...quiet]), [], 'hardly any other target is timed');
  t.deepEqual(findOutlierIds([{ answerTime: 6 }, ...USUAL.map(() => ({ answerTime: 1 }))]), []);
});

test('at most a share is ejected, the worst first', (t) => {
  const failing = [40, 90, 60, 80, 70].map((failurePercent) => ({ failurePercent }));
  t.deepEqual(findOutlierIds([...failing, {}, {}, {}, {}, {}, {}]), [1, 3, 4]);
  t.deepEqual(findOutlierIds([FAILING, {}, {}]), [], 'a third is more than the share');
  t.deepEqual(findOutlierIds([FAILING, ...USUAL], 0), []);
});

test('an ejected target must improve well beyond the ejection margin', (t) => {
  const improved = { failurePercent: 20, isSetAside: true };
  t.deepEqual(findOutlierIds([improved, ...USUAL]), [0]);
  t.deepEqual(findOutlierIds([{ ...improved, failurePercent: 10 }, ...USUAL]), []);
  t.deepEqual(findOutlierIds([{ answerTime: 45, isSetAside: true }, ...USUAL]), [0]);
  t.deepEqual(findOutlierIds([{ answerTime: 35, isSetAside: true }, ...USUAL]), []);
});

/** A balancer with ten agents; each test sets the reports of the first one. */
class EjectionHarness {
  readonly directory = new AgentDirectory();
  readonly events: { readonly kind: EventKind; readonly fields: EventFields }[] = [];
  readonly ejection: OutlierEjection;
  now = 0;
  private readonly random = new SeededRandom(7);
  private sequence = 0;

  constructor(
    share = SHARE_PERCENT,
    private readonly balancers = 1,
  ) {
    const environment = {
      random: () => this.random.next(),
      report: (kind: EventKind, fields: EventFields) => this.events.push({ kind, fields }),
    } as unknown as Environment;
    this.ejection = new OutlierEjection({ environment, directory: this.directory, share });
  }

  /** Makes all agents report, every 50 ms. */
  run(
    milliseconds: number,
    first: Partial<ReportMessage>,
    others: Partial<ReportMessage> = {},
  ): void {
    for (const end = this.now + milliseconds; this.now < end; this.now += STEP_MS) {
      for (let address = 1; address <= 10; address++) {
        this.hear(address, address === 1 ? first : others);
      }
      this.ejection.compareTargets('map', this.now);
      this.ejection.expire(this.now);
    }
  }

  hear(address: number, fields: Partial<ReportMessage>): void {
    const usual = { slots: 1, answerTime: 20, balancerCount: this.balancers };
    const report = createReport({ ...usual, ...fields, sequence: ++this.sequence });
    this.directory.recordReport(address, report, this.now);
  }

  get first(): AgentEntry {
    return this.directory.find(1)!;
  }

  get kinds(): EventKind[] {
    return this.events.map(({ kind }) => kind);
  }

  get status(): string {
    return this.ejection.getStatus(this.first, false, this.now).kind;
  }

  /** @param mayTry whether the flow's request may be repeated */
  place(mayTry: boolean, entries = [...this.directory.getAll()]): Choice {
    const context = createSelectionContext({
      now: this.now,
      getOutlierStatus: (entry) => this.ejection.getStatus(entry, mayTry, this.now),
      isHeard: (entry) => this.directory.isHeard(entry, this.now),
      random: () => this.random.next(),
    });
    const choice = selectAgent(entries, context)!;
    if (choice.isTrial) {
      this.ejection.recordTrial(choice.entry, this.now);
    }
    return choice;
  }

  /** Places a flow every 50 ms and counts those that go to the first target. */
  placeMany(milliseconds: number, mayTry: boolean, first: Partial<ReportMessage>): number {
    let atFirst = 0;
    for (const end = this.now + milliseconds; this.now < end;) {
      this.run(STEP_MS, first);
      atFirst += this.place(mayTry).entry === this.first ? 1 : 0;
    }
    return atFirst;
  }
}

test('a target that stays worse is ejected, gets trials, and is restored in two steps', (t) => {
  const harness = new EjectionHarness();
  harness.run(100, FAILING);
  t.is(harness.status, 'usual', 'the others may not have reported yet');
  harness.run(300, FAILING);
  t.is(harness.status, 'setAside');
  t.is(harness.ejection.ejectedCount, 1);
  t.deepEqual(harness.kinds, [Events.targetSetAside]);
  t.like(harness.events[0]!.fields, { service: 'map', reason: 'failing', figure: 86, median: 0 });
  const trials = harness.placeMany(10 * SECOND_MS, true, FAILING);
  t.true(trials >= 5 && trials <= 20, `${trials} trials in ten seconds`);
  harness.run(2 * STEP_MS, { failurePercent: 5 });
  t.is(harness.status, 'restored');
  t.deepEqual(harness.kinds, [Events.targetSetAside, Events.targetRestored]);
  t.is(harness.place(true, [harness.first]).placementClass, PlacementClass.doubtful);
  harness.run(SECOND_MS, { failurePercent: 2 });
  t.is(harness.status, 'usual');
  t.is(harness.ejection.ejectedCount, 0);
});

test('all balancers together make about one trial per second', (t) => {
  const harness = new EjectionHarness(SHARE_PERCENT, 20);
  harness.run(400, FAILING);
  const trials = harness.placeMany(40 * SECOND_MS, true, { ...FAILING });
  t.true(trials >= 1 && trials <= 4, `${trials} trials by one of twenty balancers in 40 s`);
});

test('flows whose requests are not repeatable are not used as trials', (t) => {
  const harness = new EjectionHarness();
  harness.run(400, FAILING);
  t.is(harness.placeMany(10 * SECOND_MS, false, FAILING), 0);
  t.is(
    harness.place(false, [harness.first]).entry,
    harness.first,
    'unless no other target accepts them',
  );
});

test('a slow target is ejected and restored likewise', (t) => {
  const harness = new EjectionHarness();
  harness.run(400, SLOW);
  t.is(harness.status, 'setAside');
  t.like(harness.events[0]!.fields, { reason: 'slow', figure: 120, median: 20 });
  harness.run(2 * STEP_MS, { answerTime: 30 });
  t.is(harness.status, 'restored');
});

test('a restored target that is worse again stays doubtful until it is ejected', (t) => {
  const harness = new EjectionHarness();
  harness.run(400, FAILING);
  harness.run(2 * STEP_MS, {});
  t.is(harness.status, 'restored');
  harness.run(2 * STEP_MS, FAILING);
  t.is(harness.status, 'restored', 'suspected, and not healthy meanwhile');
  harness.run(300, FAILING);
  t.is(harness.status, 'setAside');
});

test('a suspicion expires while its agent is unresponsive', (t) => {
  const harness = new EjectionHarness();
  harness.run(100, FAILING);
  harness.now += 5 * SECOND_MS;
  harness.ejection.expire(harness.now);
  harness.run(STEP_MS, FAILING);
  t.is(harness.status, 'usual', 'first comparison since then');
  harness.run(400, FAILING);
  t.is(harness.status, 'setAside');
});

test('a large fleet is compared less often, as its reports are less frequent', (t) => {
  const harness = new EjectionHarness();
  let comparisons = 0;
  const find = harness.directory.findByServices.bind(harness.directory);
  harness.directory.findByServices = (services) => {
    comparisons++;
    return find(services);
  };
  harness.run(SECOND_MS, {});
  t.is(comparisons, 20);
  for (let address = 11; address <= 400; address++) {
    harness.hear(address, {});
  }
  comparisons = 0;
  harness.run(SECOND_MS, {});
  t.is(comparisons, 5);
});

test('a fault that affects all targets, one a moment earlier, causes no ejection', (t) => {
  const harness = new EjectionHarness();
  harness.run(200, FAILING);
  harness.run(2 * SECOND_MS, FAILING, FAILING);
  t.is(harness.ejection.ejectedCount, 0);
});

test('a target stays ejected while its restarted agent lacks answers', (t) => {
  const harness = new EjectionHarness();
  harness.run(400, SLOW);
  const blank = { run: 2, answers: 0, answerTime: 50, failurePercent: 0 };
  harness.run(5 * SECOND_MS, blank);
  t.is(harness.status, 'setAside');
  harness.run(2 * STEP_MS, { ...blank, answers: 3, answerTime: 21 });
  t.is(harness.status, 'restored');
  const silent = new EjectionHarness();
  silent.run(400, FAILING);
  silent.run(11 * SECOND_MS, blank);
  t.is(silent.status, 'usual', 'not confirmed for too long');
});

test('a replacement target at the same address is not ejected', (t) => {
  const harness = new EjectionHarness();
  harness.run(400, FAILING);
  harness.run(STEP_MS, { targetChanges: 1, answers: 0, answerTime: 50 });
  t.is(harness.status, 'usual');
  t.like(harness.events[1], { kind: Events.targetRestored, fields: { reason: 'replaced' } });
});

test('the ejection ends when an agent leaves or changes its service', (t) => {
  const harness = new EjectionHarness();
  harness.run(400, FAILING);
  harness.hear(1, { service: 'tiles' });
  t.is(harness.status, 'usual');
  harness.ejection.expire(harness.now);
  t.is(harness.ejection.ejectedCount, 0);
});

test('agents of an earlier version are compared by failures only', (t) => {
  const harness = new EjectionHarness();
  const old = { answers: 0, targetChanges: 0 };
  harness.run(SECOND_MS, { ...old, ...SLOW }, old);
  t.is(harness.ejection.ejectedCount, 0);
  harness.run(SECOND_MS, { ...old, ...FAILING }, old);
  t.is(harness.status, 'setAside');
});

test('a share of 0 disables ejection', (t) => {
  const harness = new EjectionHarness(0);
  harness.run(2 * SECOND_MS, FAILING);
  t.is(harness.ejection.ejectedCount, 0);
});

test('targets of an unresponsive zone are neither compared nor forgotten', (t) => {
  const harness = new EjectionHarness();
  harness.run(400, FAILING);
  for (const end = harness.now + 3 * SECOND_MS; harness.now < end; harness.now += STEP_MS) {
    for (let address = 2; address <= 10; address++) {
      harness.hear(address, {});
    }
    harness.ejection.compareTargets('map', harness.now);
  }
  t.is(harness.status, 'setAside');
  t.not(harness.place(true).entry, harness.first, 'no trial at an unresponsive agent');
});

/** Routes a new flow every 50 ms for ten seconds, while the first of eight targets fails. */
function runOpenings(openingCopy: number): RouterHarness {
  const harness = new RouterHarness([4, 4, 4, 4, 4, 4, 4, 4]);
  const services = [{ service: 'map', weight: 1 }];
  const route = { name: 'map', destination: DESTINATION, services, isRepeatable: true };
  harness.router.apply({ version: 2, idleTimeout: 60_000, profiles: [], routes: [route] });
  // Agents that have just been discovered are doubtful for a while.
  harness.runFor(2 * SECOND_MS);
  for (let round = 0; round < 200; round++) {
    harness.runFor(STEP_MS);
    harness.agents.forEach((agent, index) => {
      const fields = index === 0 ? FAILING : { busyRequests: 2 };
      const report = createReport({ ...fields, sequence: round + 2 });
      harness.directory.recordReport(agent, report, harness.now);
    });
    harness.router.route(harness.createOpening(100 + round, openingCopy));
  }
  return harness;
}

test('a balancer ejects a failing target, sends trials and counts them', (t) => {
  const { router, sent, agents } = runOpenings(0);
  const { flowsPlaced, flowsPlacedDoubtful, flowsPlacedLastResort, trialFlows } = router.counters;
  t.is(flowsPlaced, 200);
  t.is(router.agentsSetAside, 1);
  t.true(trialFlows >= 5 && trialFlows <= 20, `${trialFlows} trials in ten seconds`);
  t.is(sent.filter(({ to }) => to === agents[0]).length, trialFlows);
  t.is(flowsPlacedDoubtful + flowsPlacedLastResort, 0);
});

test('a retransmitted opening packet is not used as a trial: its client has lost time already', (t) => {
  const { router, sent, agents } = runOpenings(1);
  t.is(router.counters.trialFlows, 0);
  t.is(sent.filter(({ to }) => to === agents[0]).length, 0);
});

test('the type of a route determines whether its requests may be repeated', (t) => {
  const routeOf = (type: unknown): unknown => ({
    name: 'r',
    host: '10.0.0.1',
    'path-prefix': '/80/',
    service: 'map',
    priority: 2,
    'slo-ms': 250,
    type,
  });
  const routes = ['safe', 'download', 'unsafe', undefined].map(routeOf);
  const spec = { version: 3, routes };
  const table = readRoutingTable({ name: 'main', revision: 1, spec })!;
  const repeatable = [true, true, undefined, undefined];
  t.deepEqual(
    table.routes.map(({ isRepeatable }) => isRepeatable),
    repeatable,
  );
  const snapshot = {
    routingTable: table,
    viewComplete: true,
    agents: [],
    registryRevision: 1,
    storeEra: 2,
  };
  t.deepEqual(decodeSnapshot(encodeSnapshot(snapshot)).unwrap(), snapshot);
  t.deepEqual(decodeSnapshotText(encodeSnapshotText(snapshot)).unwrap(), snapshot);
  const before = JSON.parse(encodeSnapshotText(snapshot)) as Record<string, unknown>;
  delete before['repeatable'];
  const old = decodeSnapshotText(JSON.stringify(before)).unwrap().routingTable!;
  t.true(old.routes.every(({ isRepeatable }) => isRepeatable === undefined));
});

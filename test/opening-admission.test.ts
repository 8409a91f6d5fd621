/** Admission of new flows when demand exceeds the capacity of all targets of a service. */
import test from 'ava';
import { packEndpoint } from '../src/core/endpoint';
import { OpeningAdmission, type OpeningRequest } from '../src/packets/admission/opening-admission';
import type { Route } from '../src/packets/routing-table';
import { findLessUrgentRoutes } from '../src/packets/terms/route-terms';
import { createReport } from './support/reports';
import { DESTINATION, RouterHarness } from './support/router-harness';

const STREAM = packEndpoint('198.18.0.1', 8_443);
const DEADLINE_MS = 2_000;
const KEPT_PERCENT = 10;
const CLIENT = 0x6440_0007_9c41;

function createRequest(expectedTime: number, fields: Partial<OpeningRequest> = {}): OpeningRequest {
  return {
    destination: STREAM,
    expectedTime,
    deadline: DEADLINE_MS,
    isLessUrgent: true,
    ...fields,
  };
}

test("a late answer is admitted, one after the caller's deadline is refused", (t) => {
  const admission = new OpeningAdmission(KEPT_PERCENT);
  t.true(admission.admit(createRequest(DEADLINE_MS)));
  t.false(admission.admit(createRequest(DEADLINE_MS + 1)));
  t.is(admission.rejectedRouteCount, 1);
});

test('the most urgent route of a service, and one without a deadline, is always admitted', (t) => {
  const admission = new OpeningAdmission(KEPT_PERCENT);
  t.true(admission.admit(createRequest(9_000, { isLessUrgent: false })));
  t.true(admission.admit(createRequest(9_000, { deadline: 0 })));
});

test('a route is admitted again once the wait has fallen well below its deadline', (t) => {
  const admission = new OpeningAdmission(0);
  const decide = (time: number): boolean => admission.admit(createRequest(time));
  t.deepEqual([2_100, 1_900, 1_650, 1_600, 1_900].map(decide), [false, false, false, true, true]);
});

test('a share of the new flows is admitted nevertheless', (t) => {
  const admission = new OpeningAdmission(KEPT_PERCENT);
  const admitted = Array.from({ length: 200 }, () => admission.admit(createRequest(5_000))).filter(
    (isAdmitted) => isAdmitted,
  );
  t.is(admitted.length, 20);
});

function createRoute(port: number, service: string, priority: number): Route {
  return {
    name: 'r',
    destination: packEndpoint('198.18.0.1', port),
    services: [{ service, weight: 1 }],
    terms: { priority, latencyGoal: 0, deadline: 0 },
  };
}

test('a route is less urgent only in comparison with routes of its own service', (t) => {
  const check = createRoute(1, 'live', 1);
  const stream = createRoute(2, 'live', 2);
  const download = createRoute(3, 'archive', 2);
  const less = findLessUrgentRoutes([check, stream, download]);
  t.deepEqual([...less], [stream.destination]);
});

/** Routes one new flow where every target has some requests of 50 ms before its five slots. */
function openWithBusyTargets(busyRequests: number, priority: number): RouterHarness {
  const harness = new RouterHarness([6, 6, 6, 6, 6, 6]);
  harness.agents.forEach((agent) =>
    harness.directory.recordReport(agent, createReport({ sequence: 2, busyRequests }), harness.now),
  );
  const services = [{ service: 'map', weight: 1 }];
  const terms = { latencyGoal: 300, deadline: DEADLINE_MS };
  const route = { name: 'stream', destination: DESTINATION, services, isRepeatable: true };
  const check = { ...createRoute(1, 'map', 1), terms: { ...terms, priority: 1 } };
  const routes = [{ ...route, terms: { ...terms, priority } }, check];
  harness.router.apply({ version: 2, idleTimeout: 60_000, profiles: [], routes });
  harness.router.route(harness.createOpening(CLIENT));
  return harness;
}

test('a refused flow is reset at once and reaches no agent', (t) => {
  const harness = openWithBusyTargets(400, 2);
  t.is(harness.router.counters.openingsRefused, 1);
  t.is(harness.router.counters.resetsSent, 1);
  t.is(harness.router.counters.flowsPlaced, 0);
  t.is(harness.sent.length, 0);
  t.is(openWithBusyTargets(100, 2).router.counters.openingsRefused, 0, 'late, but served');
  t.is(
    openWithBusyTargets(400, 1).router.counters.openingsRefused,
    0,
    'no other route is more urgent',
  );
});

test('a trial of one bad target causes no refusals', (t) => {
  const harness = openWithBusyTargets(100, 2);
  const [bad] = harness.agents;
  const failing = { sequence: 3, busyRequests: 900, failurePercent: 90 };
  for (let round = 0; round < 60; round++) {
    harness.runFor(100);
    const sequence = 4 + round;
    harness.agents.forEach((agent) => {
      const report = agent === bad ? { ...failing, sequence } : { sequence };
      harness.directory.recordReport(agent, createReport(report), harness.now);
    });
    harness.router.route(harness.createOpening(CLIENT + 1 + round));
  }
  t.true(harness.router.counters.trialFlows > 0, 'some flows are trials');
  t.is(harness.router.counters.openingsRefused, 0);
});

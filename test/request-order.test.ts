/** Scheduling of requests of several priorities at an overloaded target. */
import test from 'ava';
import type { FlowPacket } from '../src/packets/flow-packet';
import { PriorityShares } from '../src/packets/queue/priority-shares';
import { RequestQueue, type WaitingRequest } from '../src/packets/queue/request-queue';
import { UNKNOWN_TERMS, type RouteTerms } from '../src/packets/terms/route-terms';
import { SeededRandom } from '../src/simulation/seeded-random';

const CHECK: RouteTerms = { priority: 1, latencyGoal: 300, deadline: 2_500 };
const STREAM: RouteTerms = { priority: 2, latencyGoal: 250, deadline: 2_000 };
const SERVICE_TIME_MS = 20;
const LOWER_SHARE_PERCENT = 10;

function getWaitLimit({ latencyGoal }: RouteTerms): number {
  return latencyGoal * 0.75 - 2 * SERVICE_TIME_MS;
}

function createRequest(flow: string, terms: RouteTerms, since: number): WaitingRequest {
  return { packet: { flow } as FlowPacket, balancer: 1, searchId: 0, terms, since, seenAt: since };
}

test('an urgent request is served before earlier ones', (t) => {
  const queue = new RequestQueue(LOWER_SHARE_PERCENT);
  queue.add(createRequest('stream', STREAM, 0));
  queue.add(createRequest('check', CHECK, 50));
  t.is(queue.take(60, getWaitLimit)!.packet.flow, 'check');
  t.is(queue.take(60, getWaitLimit)!.packet.flow, 'stream');
});

test('within a priority the request that is due first is served first', (t) => {
  const queue = new RequestQueue(LOWER_SHARE_PERCENT);
  queue.add(createRequest('long goal', { ...STREAM, latencyGoal: 1_000 }, 0));
  queue.add(createRequest('short goal', STREAM, 40));
  t.is(queue.take(60, getWaitLimit)!.packet.flow, 'short goal');
});

test('a lower priority gets its share while a more urgent one always waits', (t) => {
  const shares = new PriorityShares(LOWER_SHARE_PERCENT);
  const turns = Array.from({ length: 1_001 }, () => shares.selectPriority([1, 2, 3]));
  t.is(turns.filter((turn) => turn === 2).length, 100);
  t.is(turns.filter((turn) => turn === 3).length, 100, 'the same share');
  t.is(new PriorityShares(0).selectPriority([1, 2]), 1);
});

test('no credit is kept from a time in which nothing waited', (t) => {
  const shares = new PriorityShares(LOWER_SHARE_PERCENT);
  for (let turn = 0; turn < 9; turn++) {
    shares.selectPriority([1, 2]);
  }
  shares.selectPriority([1]);
  t.is(shares.selectPriority([1, 2]), 1);
});

test('requests past their deadline are neither served nor kept in the queue', (t) => {
  const queue = new RequestQueue(LOWER_SHARE_PERCENT);
  queue.add(createRequest('stream', STREAM, 0));
  queue.add({ ...createRequest('check', CHECK, 0), seenAt: 2_000 });
  t.is(queue.take(2_501, getWaitLimit), undefined);
  t.deepEqual(
    queue.expire(2_501).map(({ packet }) => packet.flow),
    ['stream', 'check'],
  );
  t.is(queue.size, 0);
});

/** Shares of requests answered in time at an overloaded target, and of wasted service. */
interface Outcome {
  readonly check: number;
  readonly stream: number;
  readonly wasted: number;
}

interface RequestKind {
  readonly name: 'check' | 'stream';
  readonly terms: RouteTerms;
  /** Requests a second. */
  readonly rate: number;
}

const SECONDS = 6;

/** Creates the requests of each kind, at random times at its rate. */
function createArrivals(kinds: readonly RequestKind[], areTermsKnown: boolean): WaitingRequest[] {
  const random = new SeededRandom(11);
  const arrivals = kinds.flatMap(({ name, terms, rate }) =>
    Array.from({ length: rate * SECONDS }, (_, index) => {
      const since = random.next() * SECONDS * 1_000;
      return createRequest(`${name}${index}`, areTermsKnown ? terms : UNKNOWN_TERMS, since);
    }),
  );
  return arrivals.sort((one, other) => one.since - other.since);
}

/** Serves the arriving requests by one slot. */
function simulateOverload(kinds: readonly RequestKind[], areTermsKnown: boolean): Outcome {
  const arrivals = createArrivals(kinds, areTermsKnown);
  const queue = new RequestQueue(LOWER_SHARE_PERCENT);
  const patience = areTermsKnown ? getWaitLimit : (): number => getWaitLimit(STREAM);
  const answered: { flow: string; time: number }[] = [];
  for (let now = 0; now < SECONDS * 1_000; now += SERVICE_TIME_MS) {
    while (arrivals[0] && arrivals[0].since <= now) {
      queue.add(arrivals.shift()!);
    }
    const next = queue.take(now, patience);
    if (next) {
      answered.push({ flow: next.packet.flow, time: now + SERVICE_TIME_MS - next.since });
    }
  }
  const countOf = ({ name }: RequestKind, limit: number): number =>
    answered.filter(({ flow, time }) => flow.startsWith(name) && time <= limit).length;
  const shareOf = (kind: RequestKind): number =>
    countOf(kind, kind.terms.latencyGoal) / (kind.rate * SECONDS);
  const served = kinds.reduce((sum, kind) => sum + countOf(kind, kind.terms.deadline), 0);
  const [check, stream] = kinds.map(shareOf);
  return { check: check!, stream: stream!, wasted: 1 - served / answered.length };
}

test('at 130% load checks are answered in time and streams get the rest', (t) => {
  const kinds: readonly RequestKind[] = [
    { name: 'check', terms: CHECK, rate: 20 },
    { name: 'stream', terms: STREAM, rate: 45 },
  ];
  const known = simulateOverload(kinds, true);
  const unknown = simulateOverload(kinds, false);
  t.true(known.check >= 0.95, `${known.check}`);
  t.true(known.stream >= 0.6, `${known.stream}`);
  t.true(known.wasted < 0.03, `${known.wasted}`);
  t.true(unknown.check < known.check, `${unknown.check}`);
});

test('without route terms requests are served in the single-priority order', (t) => {
  const random = new SeededRandom(5);
  const patience = 100;
  for (let round = 0; round < 200; round++) {
    const queue = new RequestQueue(LOWER_SHARE_PERCENT);
    const waiting = Array.from({ length: 12 }, (_, index) => {
      const request = createRequest(`f${index}`, UNKNOWN_TERMS, Math.floor(random.next() * 300));
      queue.add(request);
      return request;
    });
    for (let now = 300; waiting.length > 0; now += 7) {
      const expected = takeInSinglePriorityOrder(waiting, now, patience);
      t.is(queue.take(now, () => patience)!.packet.flow, expected.packet.flow);
    }
  }
});

/** Reference order for one priority: the oldest that is in time, else the newest. */
function takeInSinglePriorityOrder(
  waiting: WaitingRequest[],
  now: number,
  patience: number,
): WaitingRequest {
  const inTime = waiting.filter(({ since }) => now - since <= patience);
  const oldest = inTime.reduce<WaitingRequest | undefined>(
    (best, one) => (best === undefined || one.since < best.since ? one : best),
    undefined,
  );
  const newest = waiting.reduce((best, one) => (one.since >= best.since ? one : best));
  const next = oldest ?? newest;
  waiting.splice(waiting.indexOf(next), 1);
  return next;
}

/** Unit tests of the packet interface. */
import test from 'ava';
import { Err, Ok } from 'ts-results';
import type { EventKind } from '../src/logging/events';
import type { Environment, TimerHandle } from '../src/environment';
import { HallholdError } from '../src/errors/hallhold-error';
import { ResultCodes, type ResultCode } from '../src/errors/result-codes';
import { LineLog } from '../src/logging/line-log';
import { Events } from '../src/logging/events';
import { AgentDirectory, type AgentEntry } from '../src/packets/agent-directory';
import { selectAgent } from '../src/packets/agent-selection';
import { CollectionWatcher } from '../src/packets/collection-watcher';
import type { CollectionPort } from '../src/packets/collection-port';
import { DelayedDeliveries } from '../src/packets/delayed-deliveries';
import { FlowCache } from '../src/packets/flow-cache';
import type { FlowPacket } from '../src/packets/flow-packet';
import { FlowSearches } from '../src/packets/flow-search';
import { FlowTracker } from '../src/packets/flow-tracker';
import { PacketMessageType, TargetState, type ReportMessage } from '../src/packets/packet-messages';
import { listChangedKeys, checkPacketSettings } from '../src/packets/packet-settings';
import {
  decodeSnapshot,
  decodeSnapshotText,
  encodeSnapshot,
  encodeSnapshotText,
} from '../src/packets/peer-snapshot';
import { PendingDeliveries } from '../src/packets/pending-deliveries';
import { WeightedRoundRobin } from '../src/packets/weighted-round-robin';
import { TargetLifecycle, type TargetHeartbeat } from '../src/packets/target-lifecycle';
import { SeededRandom } from '../src/simulation/seeded-random';
import { createReport } from './support/reports';
import { createSelectionContext } from './support/selection-context';
import { parseMetricsLocation } from '../src/runtime/packet-metrics';

function createHeartbeat(incarnation: string, sequence: number, draining = false): TargetHeartbeat {
  return { incarnation, service: 'map', slots: 5, draining, coldLeft: 0, sequence };
}

test('a late heartbeat neither reverts a drain nor restores a replaced incarnation', (t) => {
  const target = new TargetLifecycle('map', 770, 0);
  t.is(target.state, TargetState.unknown);
  t.is(target.applyHeartbeat(createHeartbeat('a', 5), 0), 'state');
  t.is(target.applyHeartbeat(createHeartbeat('a', 7, true), 1), 'state');
  t.is(target.applyHeartbeat(createHeartbeat('a', 6), 2), 'none');
  t.is(target.applyHeartbeat(createHeartbeat('a', 8), 3), 'none');
  t.is(target.state, TargetState.draining);
  t.is(target.applyHeartbeat(createHeartbeat('b', 1), 4), 'incarnation');
  t.is(target.state, TargetState.ready);
  t.is(target.applyHeartbeat(createHeartbeat('a', 9, true), 5), 'none');
  t.is(target.applyDeregistration({ incarnation: 'a' }), 'none');
  t.is(target.state, TargetState.ready);
  t.is(target.applyDeregistration({ incarnation: 'b' }), 'state');
  t.is(target.applyHeartbeat(createHeartbeat('b', 2), 6), 'none');
  t.is(target.state, TargetState.gone);
});

test('a target that shuts down before its agent knows it stays gone despite late heartbeats', (t) => {
  const target = new TargetLifecycle('map', 770, 0);
  t.is(target.applyDeregistration({ incarnation: 'a' }), 'state');
  t.is(target.applyHeartbeat(createHeartbeat('a', 3), 1), 'none');
  t.is(target.state, TargetState.gone);
});

const EMPTY: FlowPacket = {
  flow: 'f',
  client: 1,
  destination: 2,
  opens: false,
  ends: false,
  resets: false,
  refused: false,
  openingCopy: 0,
  sequence: 10,
  acknowledgement: 0,
  payloadLength: 0,
  isFull: false,
  bytes: Buffer.alloc(0),
};

test('a request is busy from its first packet to the first of its answer, despite retransmissions', (t) => {
  const tracker = new FlowTracker();
  const request = { ...EMPTY, payloadLength: 900 };
  tracker.recordDelivery(request, 7, 0);
  t.is(tracker.busyRequests, 1);
  t.is(tracker.recordSentPacket({ ...EMPTY, payloadLength: 100 }, 1), 7);
  t.is(tracker.busyRequests, 0);
  tracker.recordDelivery(request, 7, 2);
  t.is(tracker.busyRequests, 0);
  tracker.recordDelivery({ ...request, sequence: 11 }, 7, 3);
  t.is(tracker.busyRequests, 1);
  t.is(tracker.openFlows, 1);
  tracker.recordSentPacket({ ...EMPTY, ends: true }, 4);
  tracker.recordSentPacket(EMPTY, 5);
  t.is(tracker.openFlows, 0);
});

test('sequence numbers wrap', (t) => {
  const tracker = new FlowTracker();
  tracker.recordDelivery({ ...EMPTY, payloadLength: 1, sequence: 0xffff_fffe }, 7, 0);
  tracker.recordSentPacket({ ...EMPTY, payloadLength: 1 }, 1);
  tracker.recordDelivery({ ...EMPTY, payloadLength: 1, sequence: 3 }, 7, 2);
  t.is(tracker.busyRequests, 1);
});

test('a balancer is notified once that a flow is held, and again after a change of balancer', (t) => {
  const tracker = new FlowTracker();
  tracker.recordDelivery(EMPTY, 7, 0);
  t.is(tracker.recordSentPacket(EMPTY, 1), 7);
  t.is(tracker.recordSentPacket(EMPTY, 2), undefined);
  tracker.recordDelivery(EMPTY, 8, 3);
  t.is(tracker.recordSentPacket(EMPTY, 4), 8);
  t.is(new FlowTracker().recordSentPacket({ ...EMPTY, opens: true }, 5), undefined);
});

test('the cache evicts unused flows, and falls back to another agent that was offered the flow', (t) => {
  const cache = new FlowCache(2, 1_000);
  cache.recordOpening('a', 1, 'map', 0);
  cache.recordOpening('a', 2, 'map', 200);
  t.is(cache.get('a', 201)!.agent, 2);
  cache.invalidate('a', 2);
  t.is(cache.get('a', 202)!.agent, 1);
  cache.confirm('b', 3, 203);
  cache.get('a', 204);
  cache.confirm('c', 3, 205);
  t.is(cache.get('b', 206), undefined);
  t.truthy(cache.get('a', 207));
  t.is(cache.get('c', 1_300), undefined);
  cache.expire(5_000);
  t.is(cache.size, 0);
});

const ROUTE = { name: 'r', destination: 2, services: [{ service: 'map', weight: 1 }] };

test('a search for an open flow outlives its packet; a new opening packet ends it', (t) => {
  const searches = new FlowSearches(1_000);
  const search = searches.findOrBegin('f', ROUTE, ['map'], 0);
  search.refusedBy.add(5);
  t.is(searches.findOrBegin('f', ROUTE, ['map'], 500), search);
  t.is(searches.find(search.id, 600), search);
  searches.beginOpening('f', ROUTE, ['map'], 700);
  t.is(searches.findOrBegin('f', ROUTE, ['map'], 800).refusedBy.size, 0);
  searches.expire(5_000);
  t.is(searches.size, 0);
});

test('delayed packets are limited in number and age', (t) => {
  const delayed = new DelayedDeliveries();
  const message = (searchId: number) => ({
    type: PacketMessageType.deliver,
    searchId,
    services: ['map'],
    payload: Buffer.alloc(1),
  });
  for (let index = 0; index < 300; index++) {
    delayed.add(1, 'flow', message(index), index);
  }
  t.is(delayed.take(1, 300).length, 256);
  delayed.add(1, 'flow', message(1), 0);
  t.is(delayed.take(1, 2_000).length, 0);
});

test('a used token, or that of an overwritten slot, finds no delivery', (t) => {
  const pending = new PendingDeliveries(2 ** 32 - 2);
  const first = pending.add(7, 1);
  t.not(pending.add(7, 2), 0);
  t.is(pending.take(first)!.searchId, 1);
  t.is(pending.take(first), undefined);
  const old = pending.add(8, 3);
  for (let index = 0; index < 4_096; index++) {
    pending.add(9, 4);
  }
  t.is(pending.take(old), undefined);
});

test('new flows are split in proportion to weights; a weight of 0 gets none', (t) => {
  const rotation = new WeightedRoundRobin();
  const services = [
    { service: 'a', weight: 9 },
    { service: 'b', weight: 1 },
    { service: 'c', weight: 0 },
  ];
  const route = { name: 'r', destination: 1, services };
  const counts = new Map<string, number>();
  for (let index = 0; index < 100; index++) {
    const service = rotation.selectNext(route);
    counts.set(service, (counts.get(service) ?? 0) + 1);
  }
  t.deepEqual([...counts].sort(), [
    ['a', 90],
    ['b', 10],
  ]);
});

function createEntry(address: number, fields: Partial<ReportMessage>, zone = 'north'): AgentEntry {
  const directory = new AgentDirectory();
  const report = createReport({ zone, ...fields });
  return directory.recordReport(address, report, 0)!;
}

for (const usesExpectedWait of [true, false]) {
  const rule = usesExpectedWait ? 'expected wait' : 'least load';

  test(`the least loaded ready target is selected, never a draining one (${rule})`, (t) => {
    const context = createSelectionContext({ usesExpectedWait });
    const choose = (...entries: AgentEntry[]): AgentEntry | undefined =>
      selectAgent(entries, context)?.entry;
    const busy = createEntry(1, { busyRequests: 4 });
    const idle = createEntry(2, { busyRequests: 1 });
    const draining = createEntry(3, { state: TargetState.draining });
    const away = createEntry(4, { state: TargetState.agentRestarting });
    t.is(choose(busy, idle, draining, away), idle);
    t.is(choose(draining, away), undefined);
    const cold = createEntry(5, { coldLeft: 900 });
    t.is(choose(idle, cold), idle);
    const far = createEntry(6, {}, 'south');
    const near = createEntry(7, {});
    t.is(choose(far, near), near);
    near.recentOpenings.push(1, 2);
    t.is(choose(far, near), far);
  });

  test(`the reported queue counts less with the report's age, relative to the answer time (${rule})`, (t) => {
    const far = createEntry(1, { busyRequests: 0, slots: 1, answerTime: 10 }, 'south');
    const near = createEntry(2, { busyRequests: 1, slots: 1, answerTime: 10 });
    const choose = (age: number): AgentEntry | undefined => {
      const context = createSelectionContext({ usesExpectedWait, getReportAge: () => age });
      return selectAgent([far, near], context)?.entry;
    };
    t.is(choose(5), far);
    t.is(choose(300), near, 'both reports are thirty answer times old');
  });

  test(`a burst at several balancers with the same reports spreads over all (${rule})`, (t) => {
    const random = new SeededRandom(5);
    const taken = new Map<number, number>();
    for (let balancer = 0; balancer < 7; balancer++) {
      // One target is reported idle and six busy; no report arrives during the burst.
      const entries = [0, 1, 2, 3, 4, 5, 6].map((address) =>
        createEntry(address, { busyRequests: address === 0 ? 0 : 4, balancerCount: 7 }),
      );
      const context = createSelectionContext({ usesExpectedWait, random: () => random.next() });
      for (let flow = 0; flow < 20; flow++) {
        const { entry: chosen } = selectAgent(entries, context)!;
        chosen.recentOpenings.push(flow);
        taken.set(chosen.address, (taken.get(chosen.address) ?? 0) + 1);
      }
    }
    const counts = [...taken.values()];
    t.is(counts.length, 7);
    t.true(Math.max(...counts) <= 28, `flows by target: ${counts.join(', ')}`);
  });
}

test('a snapshot is unchanged after encoding and decoding, and invalid input is rejected', (t) => {
  const profiles = [{ service: 'map', latencyGoal: 200, coldTime: 2_000, coldRate: 3.5 }];
  const routingTable = { version: 4, idleTimeout: 9, routes: [ROUTE], profiles };
  const agents = [{ address: 1, service: 's', zone: 'z', revision: 7 }];
  const snapshot = { routingTable, viewComplete: true, agents, registryRevision: 8, storeEra: 2 };
  t.deepEqual(decodeSnapshot(encodeSnapshot(snapshot)).unwrap(), snapshot);
  const bytes = encodeSnapshot(snapshot);
  t.true(decodeSnapshot(bytes.subarray(0, bytes.length - 3)).err);
  t.true(decodeSnapshot(Buffer.from('not bson')).err);
  const text = encodeSnapshotText(snapshot);
  t.deepEqual(decodeSnapshotText(text).unwrap(), snapshot);
  for (const invalid of ['', 'null', '{}', text.slice(3), text.replace('[[', '[{},[')]) {
    t.true(decodeSnapshotText(invalid).err, invalid);
  }
});

/** An environment whose timers the test runs. */
class ManualEnvironment implements Environment {
  readonly due: (() => void)[] = [];
  readonly reported: string[] = [];
  now(): number {
    return 0;
  }
  startTimer(_delay: number, action: () => void): TimerHandle {
    this.due.push(action);
    return { cancel: () => undefined };
  }
  random(): number {
    return 0.5;
  }
  report(event: EventKind): void {
    this.reported.push(event.name);
  }
}

test('a follower lists again only when the watch has expired, and reports an outage and its end once', (t) => {
  const environment = new ManualEnvironment();
  const calls: string[] = [];
  const errors: ResultCode[] = [
    ResultCodes.storeUnavailable,
    ResultCodes.storeUnavailable,
    ResultCodes.storeWatchExpired,
  ];
  const port: CollectionPort<string> = {
    list: (answer) => {
      calls.push('list');
      answer(new Ok({ items: [], skipped: 0, era: 1, revision: 7 }));
    },
    awaitChanges: (after, _waitTime, answer) => {
      calls.push(`watch ${after.revision}`);
      const code = errors.shift();
      if (code) {
        answer(new Err(new HallholdError(code, 'x')));
      }
    },
  };
  const observer = { listed: () => undefined, changed: () => undefined };
  const pace = { waitTime: 10_000, pause: 0, firstPause: 0 };
  new CollectionWatcher('c', port, environment, observer, () => pace).start();
  environment.due.shift()!();
  environment.due.shift()!();
  environment.due.shift()!();
  t.deepEqual(calls, ['list', 'watch 7', 'watch 7', 'watch 7', 'list', 'watch 7']);
  t.deepEqual(environment.reported, [
    'store-listed',
    'store-unavailable',
    'store-regained',
    'store-listed',
  ]);
});

test('changes that are too large for one answer are listed at once, the second time in a row after a delay', (t) => {
  const environment = new ManualEnvironment();
  const calls: string[] = [];
  const port: CollectionPort<string> = {
    list: (answer) => {
      calls.push('list');
      answer(new Ok({ items: [], skipped: 0, era: 1, revision: 7 }));
    },
    awaitChanges: (_after, _waitTime, answer) => {
      calls.push('watch');
      if (calls.length < 5) {
        answer(new Err(new HallholdError(ResultCodes.storeAnswerTooLarge, 'x')));
      }
    },
  };
  const observer = { listed: () => undefined, changed: () => undefined };
  const pace = { waitTime: 10_000, pause: 0, firstPause: 0 };
  new CollectionWatcher('c', port, environment, observer, () => pace).start();
  t.deepEqual(calls, ['list', 'watch', 'list', 'watch'], 'without a delay');
  environment.due.shift()!();
  t.deepEqual(calls.slice(4), ['list', 'watch']);
});

test('log lines are limited per event and second, and count the suppressed ones', (t) => {
  const lines: string[] = [];
  let now = 0;
  let observed = 0;
  const log = new LineLog(
    { source: 's', level: 'info', linesPerSecond: 2, observer: () => observed++ },
    { write: (line) => lines.push(line) },
    () => now,
  );
  for (let index = 0; index < 5; index++) {
    log.report(Events.flowPlaced, { index });
  }
  log.report(Events.callerMessageMalformed, {});
  now = 1_001;
  log.report(Events.flowPlaced, { index: 5 });
  const parsed = lines.map((line) => JSON.parse(line) as Record<string, unknown>);
  t.deepEqual(
    parsed.map(({ index, suppressed }) => [index, suppressed]),
    [
      [0, undefined],
      [1, undefined],
      [5, 3],
    ],
  );
  t.is(parsed[0]!['event'], 2704);
  t.is(observed, 7);
});

test('changed settings are listed by key, and the metrics address is parsed', (t) => {
  const document = {
    name: 'n',
    zone: 'z',
    address: '10.0.0.1:1',
    clientPort: 5,
    storeAddress: '10.0.0.9:1',
  };
  const before = checkPacketSettings('f', document).unwrap();
  const after = checkPacketSettings('f', { ...document, seeds: ['10.0.0.2:1'], unknown: 1 });
  t.deepEqual(listChangedKeys(before, after.unwrap()), ['seeds']);
  t.deepEqual(parseMetricsLocation('9100/metrics'), { port: 9_100, path: '/metrics' });
  t.is(parseMetricsLocation('metrics'), undefined);
});

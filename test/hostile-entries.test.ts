/**
 * Guards against the end of a watch, a timer or a process by an entry of another program.
 *
 * One agent entry at port 0 made every send to it throw. In the callback of a watch the exception ended
 * that watch for good: no balancer took another version of the configuration from the store.
 */
import test from 'ava';
import fc from 'fast-check';
import { Ok } from 'ts-results';
import { readAgent } from '../platform/agent-objects';
import { isUnicastEndpoint, packEndpoint, parseEndpoint } from '../src/core/endpoint';
import { Events, type EventFields, type EventKind } from '../src/logging/events';
import type { CollectionPort, Listing } from '../src/packets/collection-port';
import { CollectionWatcher } from '../src/packets/collection-watcher';
import { PacketFrameCodec } from '../src/packets/packet-frames';
import type { AgentRecord, PeerStatusMessage } from '../src/packets/packet-messages';
import { PacketMessageType, TargetState, FlowKnowledge } from '../src/packets/packet-messages';
import { UNKNOWN_EVACUATIONS } from '../src/packets/zone-evacuations';
import { UdpSocket } from '../src/runtime/udp-socket';
import { PacketSimulation, SIMULATION_KEY } from '../src/simulation/packets/packet-simulation';
import { MODEL_ROUTES, startModelDeployment } from '../src/simulation/packets/random-faults';
import { SeededRandom } from '../src/simulation/seeded-random';
import { SimulatedProcess } from '../src/simulation/simulated-process';
import { VirtualClock } from '../src/simulation/virtual-clock';
import {
  createPorts,
  PacketClient,
  PacketCluster,
  PacketTarget,
  waitFor,
} from './support/packet-cluster';
import { createReport } from './support/reports';

const APPLY_TIME_MS = 3_000;

const UNUSABLE_ADDRESSES = [
  '0.0.0.0:0',
  '10.0.0.8:0',
  '0.0.0.0:7000',
  '0.1.2.3:7000',
  '224.0.0.1:7000',
  '239.255.255.255:7000',
  '240.0.0.1:7000',
  '255.255.255.255:7000',
] as const;

test('an entry whose address nothing can be sent to names no agent', (t) => {
  for (const address of UNUSABLE_ADDRESSES) {
    t.false(isUnicastEndpoint(parseEndpoint(address).unwrap()), address);
    const name = address.split(':')[0]!.replaceAll('.', '-');
    const spec = { address, service: 'map', zone: 'north' };
    t.is(readAgent({ name, revision: 1, spec }), undefined, address);
  }
  for (const address of ['1.0.0.0:1', '127.0.0.1:65535', '223.255.255.255:7000']) {
    t.true(isUnicastEndpoint(parseEndpoint(address).unwrap()), address);
  }
});

test('sending never throws: not at port 0, not after the socket is closed', async (t) => {
  const reasons: string[] = [];
  const socket = (await UdpSocket.bind('127.0.0.1', 0, () => undefined)).unwrap();
  socket.onSendError = (reason) => reasons.push(reason);
  socket.send(packEndpoint('127.0.0.1', 0), Buffer.from('x'));
  t.is(reasons.length, 1);
  t.true(reasons[0]!.startsWith('127.0.0.1:0: '));
  socket.close();
  socket.send(packEndpoint('127.0.0.1', 9), Buffer.from('x'));
  t.is(socket.sendErrorCount, 2);
});

interface ReportedEvent {
  readonly event: EventKind;
  readonly fields: EventFields;
}

/** A watcher of a collection that always has changes; its observer throws a number of times. */
class ThrowingObserverHarness {
  readonly clock = new VirtualClock();
  readonly reported: ReportedEvent[] = [];
  readonly seen: string[] = [];
  readonly watcher: CollectionWatcher<string>;

  constructor(private exceptions: { listed: number; changed: number }) {
    const random = new SeededRandom(1);
    const environment = new SimulatedProcess(
      'b',
      'z',
      'm',
      this.clock,
      random,
      (_name, event, fields) => this.reported.push({ event, fields }),
    );
    const listing: Listing<string> = { items: [], skipped: 0, era: 1, revision: 7 };
    const port: CollectionPort<string> = {
      list: (answer) => void this.clock.schedule(4, () => answer(new Ok(listing))),
      awaitChanges: (_after, waitTime, answer) =>
        void this.clock.schedule(waitTime, () =>
          answer(new Ok({ changes: [], skipped: 0, era: 1, revision: 8 })),
        ),
    };
    const observer = {
      listed: (): void => this.observe('listed'),
      changed: (): void => this.observe('changed'),
    };
    const pace = { waitTime: 100, pause: 0, firstPause: 0 };
    this.watcher = new CollectionWatcher('agents', port, environment, observer, () => pace);
  }

  private observe(call: 'listed' | 'changed'): void {
    if (this.exceptions[call] > 0) {
      this.exceptions[call]--;
      throw new RangeError('port out of range');
    }
    this.seen.push(call);
  }
}

for (const call of ['listed', 'changed'] as const) {
  test(`a watcher whose observer throws when ${call} lists again and goes on`, (t) => {
    const harness = new ThrowingObserverHarness({ listed: 0, changed: 0, [call]: 3 });
    harness.watcher.start();
    harness.clock.runUntil(3_000);
    const faults = harness.reported.filter(({ event }) => event === Events.processFault);
    t.is(faults.length, 3);
    t.true(String(faults[0]!.fields.reason).includes('port out of range'));
    t.is(harness.seen[0], 'listed');
    t.true(
      harness.seen.slice(-5).every((one) => one === 'changed'),
      'it watches again',
    );
    t.is(harness.watcher.calls.listings, 4);
  });
}

test('a watcher that is stopped while its observer throws makes no further call', (t) => {
  const harness = new ThrowingObserverHarness({ listed: 99, changed: 0 });
  harness.watcher.start();
  harness.clock.runUntil(50);
  harness.watcher.stop();
  const { listings } = harness.watcher.calls;
  harness.clock.runUntil(5_000);
  t.is(harness.watcher.calls.listings, listings);
});

test('an observer that always throws is called about once a second', (t) => {
  const harness = new ThrowingObserverHarness({ listed: 1_000, changed: 0 });
  harness.watcher.start();
  harness.clock.runUntil(20_000);
  t.true(harness.watcher.calls.listings < 45, String(harness.watcher.calls.listings));
});

const CODEC = new PacketFrameCodec([SIMULATION_KEY]);
const FOREIGN_NODE = packEndpoint('10.9.9.9', 7_000);

const name = fc.oneof(
  fc.constantFrom('map', 'tiles', 'nowhere', '', 'x'.repeat(255), '__proto__', 'north'),
  fc.string({ maxLength: 255 }),
);
const count = fc.oneof(
  fc.constantFrom(0, 1, 2 ** 31, 2 ** 32 - 1, Number.MAX_SAFE_INTEGER),
  fc.nat(),
);
const address = fc.oneof(
  fc.constantFrom(...UNUSABLE_ADDRESSES).map((text) => parseEndpoint(text).unwrap()),
  // The addresses of the simulated balancers and agents.
  fc.integer({ min: 1, max: 9 }).map((machine) => packEndpoint(`10.0.0.${machine}`, 7_000)),
  fc.constantFrom(0, 1, 2 ** 48 - 1, 2 ** 48, Number.MAX_SAFE_INTEGER),
);
const record = fc.record({ address, service: name, zone: name });
const incarnation = fc.record({ incarnation: name, born: fc.option(count, { nil: undefined }) });

/** A status of a peer at its bounds; null fields of the delta are none. */
const status = fc.record({
  routingVersion: count,
  viewComplete: fc.constantFrom(0, 1),
  zone: name,
  packetAddress: address,
  capacity: count,
  ready: fc.constantFrom(0, 1),
  replyWanted: fc.constantFrom(0, 1),
  peers: fc.array(address, { maxLength: 5 }),
  unregistered: fc.array(record, { maxLength: 5 }),
  registryRevision: count,
  readers: fc.array(fc.record({ reader: address, age: count }), { maxLength: 3 }),
  changes: fc.array(fc.record({ agent: record, revision: count, removed: fc.boolean() }), {
    maxLength: 4,
  }),
  deregistrations: fc.array(fc.record({ agent: address, deregistered: incarnation }), {
    maxLength: 3,
  }),
  formerServices: fc.array(fc.record({ destination: address, service: name, remaining: count }), {
    maxLength: 3,
  }),
});

function createStatus(fields: ReturnType<typeof status.generate>['value']): PeerStatusMessage {
  const { changes, ...rest } = fields;
  return {
    ...rest,
    type: PacketMessageType.peerStatus,
    // A later era is a fact that only the store may state; see store-era.test.ts.
    storeEra: 1,
    delta: {
      from: 0,
      to: fields.registryRevision,
      changes: changes.map(({ agent, revision, removed }) => ({
        agent: { ...agent, revision },
        removed,
      })),
    },
    evacuations: UNKNOWN_EVACUATIONS,
  };
}

const report = fc.record({
  run: fc.constantFrom(0, 1, 2 ** 48 - 1),
  sequence: count,
  service: name,
  zone: name,
  state: fc.constantFrom(...Object.values(TargetState)),
  flowKnowledge: fc.constantFrom(...Object.values(FlowKnowledge)),
  slots: count,
  busyRequests: count,
  openFlows: count,
  answerTime: count,
  coldLeft: count,
  balancers: fc.array(address, { maxLength: 5 }),
});
const heartbeat = fc.record({
  incarnation: name,
  born: fc.option(count, { nil: undefined }),
  service: name,
  slots: count,
  draining: fc.boolean(),
  coldLeft: count,
  sequence: count,
});

test('whatever entries, statuses, reports and heartbeats say, a later version is in force in time', (t) => {
  fc.assert(
    fc.property(
      fc.record({
        entries: fc.array(record, { minLength: 1, maxLength: 6 }),
        deregistered: fc.option(incarnation, { nil: undefined }),
        statuses: fc.array(status, { maxLength: 2 }),
        reports: fc.array(report, { maxLength: 3 }),
        heartbeats: fc.array(heartbeat, { maxLength: 3 }),
      }),
      (hostile) => {
        const world = new PacketSimulation(7);
        startModelDeployment(world);
        hostile.entries.forEach((entry, index) => {
          const agent: AgentRecord = { ...entry, deregistered: hostile.deregistered };
          world.store.writeAgentEntry(`foreign-${index}`, agent);
        });
        world.balancers.forEach(({ node }) => {
          hostile.statuses
            .map(createStatus)
            .forEach((message) => node.handleFrame(CODEC.encode(message), FOREIGN_NODE));
          hostile.reports.forEach((fields) =>
            node.handleFrame(CODEC.encode(createReport(fields)), FOREIGN_NODE),
          );
        });
        hostile.heartbeats.forEach((one) => world.agents[0]!.node.handleHeartbeat(one));
        world.runFor(700);
        world.configure(9, MODEL_ROUTES);
        world.runFor(APPLY_TIME_MS);
        return world.balancers.every(({ node }) => node.figures.routingVersion === 9);
      },
    ),
    { seed: 50_511, numRuns: 60 },
  );
  t.pass();
});

test('processes beside an entry at port 0 take every later version', async (t) => {
  const ports = createPorts(23_750);
  const cluster = new PacketCluster(ports);
  const first = ['198.18.0.1', 8_443] as const;
  const second = ['198.18.0.1', 8_444] as const;
  const createConfiguration = (
    version: number,
    goal: number,
    [host, port]: typeof first | typeof second,
  ): object => ({
    version,
    routes: [
      { name: 'r', host, 'path-prefix': `/${port}/`, service: 'map', type: 'safe', 'slo-ms': goal },
    ],
    services: [{ name: 'map' }],
    limits: {},
  });
  await cluster.start();
  cluster.store.put('config', 'main', createConfiguration(3, 300, first));
  cluster.spawn('balancer', '127.62.1.1');
  cluster.spawn('agent', '127.62.2.1', 'map');
  const target = await PacketTarget.start('127.62.2.1', ports, 'map');
  const client = await PacketClient.start('127.62.9.1', 40_001, second, ports);
  t.teardown(async () => {
    client.stop();
    target.stop();
    await cluster.stop();
  });
  await waitFor(async () => (await target.sendHeartbeat()) === 200);
  await cluster.waitUntilReady('127.62.1.1');
  const foreign = { address: '0.0.0.0:0', service: 'elsewhere', zone: 'z' };
  cluster.store.put('agents', '0-0-0-0', foreign);
  await new Promise((done) => setTimeout(done, 500));
  cluster.store.put('config', 'main', createConfiguration(5, 200, first));
  await new Promise((done) => setTimeout(done, 500));
  cluster.store.put('config', 'main', createConfiguration(8, 200, second));
  await new Promise((done) => setTimeout(done, 1_000));
  t.true(await client.openFlow('127.62.1.1'), 'the route of version 8');
  t.is(await client.sendRequest('127.62.1.1', 'one'), 'answer to one');
});

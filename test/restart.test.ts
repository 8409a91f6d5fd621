/** Startup after a total power loss: buffering, relaying and missing targets. */
import test from 'ava';
import { execFileSync } from 'node:child_process';
import { createServer } from 'node:net';
import { parseEndpoint } from '../src/core/endpoint';
import { bindEarlySocket } from '../src/runtime/early-sockets';
import type { FlowPacket } from '../src/packets/flow-packet';
import { StartupBacklog, type OpeningGroup } from '../src/packets/startup/startup-backlog';
import { FlowTracker } from '../src/packets/flow-tracker';
import { TargetAdmission } from '../src/packets/target-admission';
import { TargetLifecycle } from '../src/packets/target-lifecycle';
import { StartupRelay } from '../src/packets/startup/startup-relay';
import type { BalancerStatus } from '../src/packets/traffic-relay';
import { TargetPresence } from '../src/packets/startup/target-presence';
import { TcpTargetProbe } from '../src/runtime/target-probe';
import { UdpSocket } from '../src/runtime/udp-socket';
import {
  encodeModelPacket,
  ModelFlag,
  modelPacketFormat,
} from '../src/simulation/packets/model-packet-format';
import {
  PacketSimulation,
  type PacketSimulationAgent,
} from '../src/simulation/packets/packet-simulation';
import { MAP_DESTINATION, startModelDeployment } from '../src/simulation/packets/random-faults';
import { SeededRandom } from '../src/simulation/seeded-random';
import { SimulatedProcess } from '../src/simulation/simulated-process';
import { VirtualClock } from '../src/simulation/virtual-clock';
import { waitFor } from './support/packet-cluster';

/** Sends from another process while this one is blocked, as it is while it loads a program. */
function sendFromOtherProcess(port: number, address: string, text: string): void {
  const send = `const s = require('dgram').createSocket('udp4');
    s.send('${text}', ${port}, '${address}', () => s.close());`;
  execFileSync(process.execPath, ['-e', send]);
}

test('a datagram that arrives before the program binds its socket is received', async (t) => {
  const endpoint = '127.41.1.1:21411';
  bindEarlySocket(endpoint);
  sendFromOtherProcess(21_411, '127.41.1.1', 'opening');
  const received: string[] = [];
  const bound = await UdpSocket.bindEndpoint(parseEndpoint(endpoint).unwrap(), (bytes) =>
    received.push(bytes.toString()),
  );
  const socket = bound.unwrap();
  t.teardown(() => socket.close());
  await waitFor(() => received.length > 0);
  t.deepEqual(received, ['opening']);
  t.is(socket.endpoint, parseEndpoint(endpoint).unwrap());
});

test('an address in use is left to the program, which reports the error', async (t) => {
  const endpoint = parseEndpoint('127.41.1.1:21412').unwrap();
  const owner = (await UdpSocket.bindEndpoint(endpoint, () => undefined)).unwrap();
  t.teardown(() => owner.close());
  bindEarlySocket('127.41.1.1:21412');
  const second = await UdpSocket.bindEndpoint(endpoint, () => undefined);
  t.is(second.err ? second.val.resultCode.number : 0, 1402);
});

test('an early-bound socket is returned only once', async (t) => {
  const endpoint = parseEndpoint('127.41.1.1:21413').unwrap();
  bindEarlySocket('127.41.1.1:21413');
  const first = (await UdpSocket.bindEndpoint(endpoint, () => undefined)).unwrap();
  t.teardown(() => first.close());
  const second = await UdpSocket.bindEndpoint(endpoint, () => undefined);
  t.is(second.err ? second.val.resultCode.number : 0, 1402);
});

function createOpening(flow: string, openingCopy = 0): FlowPacket {
  return { flow, opens: true, openingCopy } as FlowPacket;
}

function createGroup(share: number, latencyGoal = 300, name = 'map'): OpeningGroup {
  return { name, share, latencyGoal };
}

function getFlows(packets: readonly FlowPacket[]): string[] {
  return packets.map(({ flow }) => flow);
}

test('packets that can be answered in time are released before late ones, each by age', (t) => {
  const backlog = new StartupBacklog();
  backlog.add(createOpening('late copy', 2), 0);
  backlog.add(createOpening('late'), 10);
  backlog.add({ flow: 'data', opens: false } as FlowPacket, 20);
  backlog.add(createOpening('copy', 1), 300);
  backlog.add(createOpening('young'), 350);
  backlog.add(createOpening('older'), 150);
  const order = getFlows(backlog.takeAll(390, () => createGroup(1)));
  t.deepEqual(order, ['copy', 'older', 'young', 'late copy', 'late', 'data']);
});

test('the first reachable agents get only their share of the backlog', (t) => {
  const backlog = new StartupBacklog();
  for (let flow = 0; flow < 20; flow++) {
    backlog.add(createOpening(`f${flow}`), flow);
  }
  t.is(backlog.takeOpenings(30, () => createGroup(0)).length, 0);
  t.is(backlog.takeOpenings(30, () => createGroup(0.2)).length, 4);
  t.is(backlog.takeOpenings(30, () => createGroup(0.2)).length, 0);
  t.is(backlog.takeOpenings(40, () => createGroup(0.5)).length, 6);
  t.is(backlog.takeOpenings(50, () => createGroup(1)).length, 10);
});

test('services have separate allowances; packets without a route are released at once', (t) => {
  const backlog = new StartupBacklog();
  ['a1', 'a2', 'b1', 'b2', 'none'].forEach((flow) => backlog.add(createOpening(flow), 0));
  const groups: Record<string, OpeningGroup> = {
    a: createGroup(0.5, 300, 'a'),
    b: createGroup(0, 300, 'b'),
  };
  const taken = backlog.takeOpenings(10, ({ flow }) => groups[flow[0]!]);
  t.deepEqual(getFlows(taken), ['a1', 'none']);
  t.is(backlog.size, 3);
});

test('an opening packet is buffered as long as its client waits', (t) => {
  const backlog = new StartupBacklog();
  backlog.add(createOpening('first'), 0);
  backlog.add(createOpening('last copy', 2), 0);
  t.deepEqual(getFlows(backlog.takeAll(900, () => createGroup(1))), ['first']);
  t.is(backlog.dropped, 1);
});

const OWN_ZONE = 'north';

function createStatus(packetAddress: number, capacity: number, zone = OWN_ZONE): BalancerStatus {
  return { zone, packetAddress, capacity, isReady: true };
}

test('a starting balancer forwards packets only to stronger ones, each flow to one of them', (t) => {
  const relay = new StartupRelay(OWN_ZONE, 0.3);
  relay.recordStatus(1, createStatus(11, 0.3), 0);
  t.is(relay.chooseDestination('f', 4, 0), undefined, 'an equal one starts too');
  relay.recordStatus(2, createStatus(12, 1.35, 'south'), 0);
  t.is(relay.chooseDestination('f', 4, 0), 12);
  relay.recordStatus(3, createStatus(13, 1.35), 0);
  t.is(relay.chooseDestination('f', 4, 0), 12, 'the destination of its opening packet');
  t.is(relay.chooseDestination('g', 4, 0), 13, 'the home zone first');
  t.is(relay.chooseDestination('h', 4, 5_000), undefined, 'no recent status');
  t.is(relay.findDestination('g', 1_500), 13, 'existing flows only');
  t.is(relay.findDestination('g', 5_000), undefined, 'the balancer is unresponsive');
  t.is(relay.chooseDestination('g', 4, 5_000), undefined);
  relay.recordStatus(2, createStatus(12, 1.35, 'south'), 5_000);
  t.is(relay.chooseDestination('g', 4, 5_000), 12, 'another balancer takes its flows');
  relay.clear();
  t.false(relay.hasRelayedFlows);
});

test('one strong balancer does not get the traffic of a large cluster', (t) => {
  const relay = new StartupRelay(OWN_ZONE, 0.324);
  relay.recordStatus(2, createStatus(12, 1.35), 0);
  t.false(relay.canRelay(24, 0));
  relay.recordStatus(3, createStatus(13, 1.35), 0);
  t.true(relay.canRelay(24, 0));
  relay.recordStatus(3, { ...createStatus(13, 1.35), isReady: false }, 10);
  t.false(relay.canRelay(24, 10));
});

/** Starts balancers, of which the first is strong, and agents together. */
function startMixedSimulation(): PacketSimulation {
  const world = new PacketSimulation(61);
  startModelDeployment(world, 1);
  world.addBalancer('south', 0.3);
  world.runFor(3_000);
  return world;
}

test('packets are served by a stronger balancer while a slow one starts', (t) => {
  const world = startMixedSimulation();
  const [strong, slow] = world.balancers;
  world.store.isDown = true;
  world.startBalancer(slow!);
  slow!.node.handleClientDatagram(
    encodeModelPacket({
      client: 0x6440_0007_9c41,
      destination: MAP_DESTINATION,
      flags: ModelFlag.opens,
      sequence: 0,
      acknowledgement: 0,
    }),
  );
  const placed = strong!.node.router.counters.flowsPlaced;
  world.runFor(10);
  t.is(slow!.node.figures.packetsRelayedAtStart, 1);
  t.is(strong!.node.router.counters.flowsPlaced, placed + 1);
  t.is(slow!.node.router.counters.flowsPlaced, 0);
});

test('a balancer with unreachable seeds discovers the others through agents within two calls', (t) => {
  const world = startMixedSimulation();
  const [, slow] = world.balancers;
  world.seeds = [0x0a09_0909_1b58];
  world.startBalancer(slow!);
  world.runFor(60);
  t.true(slow!.node.isReady);
});

const FLOWS = 12;

test('a flow that changes balancers before its first data is found without other targets', (t) => {
  const world = new PacketSimulation(62);
  // No agent can tell the age of its target, so none knows all flows of its target.
  world.coldTime = 0;
  startModelDeployment(world, 2);
  world.agents.forEach((agent) => world.startAgent(agent));
  world.runFor(3_000);
  const [first, second] = world.balancers;
  for (let flow = 0; flow < FLOWS; flow++) {
    const packet = {
      client: 0x6440_0007_9c41 + flow,
      destination: MAP_DESTINATION,
      sequence: 1,
      payload: '',
    };
    const opening = { ...packet, flags: ModelFlag.opens, acknowledgement: 0 };
    first!.node.handleClientDatagram(encodeModelPacket(opening));
    world.runFor(10);
    const key = modelPacketFormat.decodeFromClient(encodeModelPacket(opening))!.flow;
    const holder = world.agents.find(({ target }) => target.flows.has(key))!;
    const acknowledgement = holder.target.flows.get(key)!.sequence + 1;
    const request = { ...packet, flags: 0, sequence: 2, acknowledgement, payload: `r${flow}` };
    second!.node.handleClientDatagram(encodeModelPacket(request));
    world.runFor(100);
    t.true(holder.target.holds(key));
  }
  const returned = world.agents.reduce((sum, { node }) => sum + node.counters.packetsReturned, 0);
  t.is(returned, 0);
});

/** Creates a world with an agent that has restarted without its target and is still registered. */
function startWithoutTarget(earlyStart: boolean): {
  world: PacketSimulation;
  orphan: PacketSimulationAgent;
} {
  const world = new PacketSimulation(63);
  world.earlyStart = earlyStart;
  startModelDeployment(world, 2);
  world.runFor(3_000);
  const orphan = world.agents[0]!;
  orphan.process.kill();
  orphan.target.alive = false;
  // Datagrams of the previous incarnation arrive before the restart.
  world.runFor(20);
  world.balancers.forEach((balancer) => world.startBalancer(balancer));
  world.startAgent(orphan);
  return { world, orphan };
}

/** Sends data of a flow that no target holds and counts the resets within 100 ms. */
function countResetsOfUnheldFlow(world: PacketSimulation): number {
  const { node } = world.balancers[0]!;
  const packet = {
    client: 0x6440_0007_9c41,
    destination: MAP_DESTINATION,
    flags: 0,
    sequence: 2,
    acknowledgement: 7,
    payload: 'request',
  };
  node.handleClientDatagram(encodeModelPacket(packet));
  world.runFor(100);
  return node.router.counters.resetsSent;
}

test('an agent without a target is unregistered and does not prevent resets', (t) => {
  const { world, orphan } = startWithoutTarget(true);
  world.runFor(4_000);
  t.false(world.store.agents.items.has(String(orphan.address)));
  t.is(countResetsOfUnheldFlow(world), 1);
});

test('with the early start disabled such an agent stays registered and prevents resets', (t) => {
  const { world, orphan } = startWithoutTarget(false);
  world.runFor(4_000);
  t.true(world.store.agents.items.has(String(orphan.address)));
  t.is(countResetsOfUnheldFlow(world), 0);
});

test('an agent that restarts with a running but unresponsive target stays registered', (t) => {
  const world = new PacketSimulation(64);
  startModelDeployment(world, 2);
  world.runFor(3_000);
  const agent = world.agents[0]!;
  agent.heartbeats = false;
  world.startAgent(agent);
  world.runFor(8_000);
  t.true(world.store.agents.items.has(String(agent.address)));
  t.true(agent.node.figures.targetLooks > 1);
});

test('an agent whose target starts later is registered again and serves', (t) => {
  const { world, orphan } = startWithoutTarget(true);
  world.runFor(4_000);
  world.startTarget(orphan);
  world.runFor(5_000);
  t.true(world.store.agents.items.has(String(orphan.address)));
  world.balancers.forEach(({ node }) =>
    t.is(node.directory.find(orphan.address)?.report?.state, 2),
  );
});

test('an agent dropped by all balancers is found without the store when its target starts', (t) => {
  const { world, orphan } = startWithoutTarget(true);
  world.runFor(12_000);
  world.balancers.forEach(({ node }) => t.is(node.directory.find(orphan.address), undefined));
  world.store.isDown = true;
  world.startTarget(orphan);
  world.runFor(1_000);
  world.balancers.forEach(({ node }) =>
    t.is(node.directory.find(orphan.address)?.report?.state, 2),
  );
});

test('the removal of the entry is retried until the store accepts it', (t) => {
  const { world, orphan } = startWithoutTarget(true);
  world.runFor(1_000);
  world.store.refusedProcesses.add(orphan.name);
  world.runFor(3_000);
  t.true(world.store.agents.items.has(String(orphan.address)));
  world.store.refusedProcesses.clear();
  world.runFor(2_000);
  t.false(world.store.agents.items.has(String(orphan.address)));
});

test('a target that starts during the removal of its entry is registered right after it', (t) => {
  const { world, orphan } = startWithoutTarget(true);
  world.store.answerTime = 500;
  world.runFor(2_300);
  world.store.answerTime = 4;
  world.startTarget(orphan);
  world.runFor(450);
  t.true(world.store.agents.items.has(String(orphan.address)));
  t.is(orphan.node.figures.registrations, 2, 'the removal and then the registration');
});

test('an outdated listing does not prevent the registration of a target that starts later', (t) => {
  const { world, orphan } = startWithoutTarget(true);
  const isListed = (): boolean => world.store.agents.items.has(String(orphan.address));
  world.store.refusedProcesses.add(orphan.name);
  world.runFor(5_000);
  world.store.refusedProcesses.clear();
  for (let step = 0; step < 200 && isListed(); step++) {
    world.runFor(10);
  }
  t.false(isListed());
  world.startTarget(orphan);
  world.runFor(20);
  t.true(isListed());
});

test('an agent without a target removes its entry when it stops', (t) => {
  const { world, orphan } = startWithoutTarget(true);
  world.store.refusedProcesses.add(orphan.name);
  world.runFor(3_000);
  world.store.refusedProcesses.clear();
  let isDone = false;
  orphan.node.beginStop(() => {
    isDone = true;
    orphan.process.kill();
  });
  world.runFor(10);
  t.true(isDone);
  t.false(world.store.agents.items.has(String(orphan.address)));
});

test('an agent that stops early probes for its target and does not prevent resets', (t) => {
  const { world, orphan } = startWithoutTarget(true);
  world.runFor(600);
  t.is(orphan.node.figures.targetLooks, 0);
  orphan.node.beginStop(() => orphan.process.kill());
  world.runFor(10);
  t.false(world.store.agents.items.has(String(orphan.address)));
  t.is(countResetsOfUnheldFlow(world), 1);
});

test('a report of a missing target is valid for a limited time while the entry remains', (t) => {
  const { world, orphan } = startWithoutTarget(true);
  world.runFor(600);
  world.store.isDown = true;
  orphan.node.beginStop(() => undefined);
  world.runFor(50);
  orphan.process.kill();
  t.is(countResetsOfUnheldFlow(world), 1);
  world.runFor(3_000);
  t.is(countResetsOfUnheldFlow(world), 1, 'no further reset');
});

test('a search continues past an agent without a target on retransmission; the entry stays', (t) => {
  const { world, orphan } = startWithoutTarget(true);
  world.runFor(300);
  countResetsOfUnheldFlow(world);
  world.runFor(100);
  t.is(countResetsOfUnheldFlow(world), 1);
  t.true(world.store.agents.items.has(String(orphan.address)));
  t.is(orphan.node.state, 1, 'unknown, as for a starting target');
  world.startTarget(orphan);
  world.runFor(1_000);
  t.is(orphan.node.state, 2);
});

test('an agent that stops while its running target was never heard from keeps its entry', (t) => {
  const { world, orphan } = startWithoutTarget(true);
  world.runFor(100);
  orphan.target.alive = true;
  orphan.heartbeats = false;
  orphan.node.beginStop(() => orphan.process.kill());
  world.runFor(10);
  t.true(world.store.agents.items.has(String(orphan.address)));
  t.is(countResetsOfUnheldFlow(world), 0);
});

/** Creates the presence of a target that never sends anything; the test answers the probes. */
function createPresence(): {
  readonly answers: ((isVacant: boolean) => void)[];
  readonly clock: VirtualClock;
  readonly count: { missed: number };
  readonly presence: TargetPresence;
} {
  const clock = new VirtualClock();
  const environment = new SimulatedProcess(
    'agent',
    OWN_ZONE,
    'agent',
    clock,
    new SeededRandom(1),
    () => undefined,
  );
  const answers: ((isVacant: boolean) => void)[] = [];
  const count = { missed: 0 };
  const presence = new TargetPresence({
    environment,
    probe: { checkVacant: (answer) => answers.push(answer) },
    heartbeatInterval: 100,
    isTargetHeard: () => false,
    onMissing: () => count.missed++,
  });
  return { answers, clock, count, presence };
}

test('a probe answered after the agent has stopped is ignored', (t) => {
  const { answers, clock, count, presence } = createPresence();
  presence.start();
  clock.runUntil(200);
  presence.stop();
  answers.forEach((answer) => answer(true));
  t.is(answers.length, 1);
  t.is(count.missed, 0);
});

test('two concurrent probes report a missing target once', (t) => {
  const { answers, clock, count, presence } = createPresence();
  let done = 0;
  presence.start();
  clock.runUntil(200);
  presence.probeBeforeStop(() => done++);
  answers.forEach((answer) => answer(true));
  t.is(answers.length, 2);
  t.is(count.missed, 1);
  t.is(done, 1);
});

test('a probe of an address without a listener proves that there is no target', async (t) => {
  const vacant = new TcpTargetProbe(parseEndpoint('127.41.1.1:21414').unwrap());
  t.true(await new Promise<boolean>((done) => vacant.checkVacant(done)));
  const server = createServer().listen(21_415, '127.41.1.1');
  t.teardown(() => server.close());
  await new Promise((done) => server.once('listening', done));
  const present = new TcpTargetProbe(parseEndpoint('127.41.1.1:21415').unwrap());
  t.false(await new Promise<boolean>((done) => present.checkVacant(done)));
});

test('a probe does not time out because this process was blocked', async (t) => {
  const vacant = new TcpTargetProbe(parseEndpoint('127.41.1.1:21416').unwrap());
  const answer = new Promise<boolean>((done) => vacant.checkVacant(done));
  Atomics.wait(new Int32Array(new SharedArrayBuffer(4)), 0, 0, 700);
  t.true(await answer);
});

test('a target with unknown slots does not get all waiting requests at once', (t) => {
  const tracker = new FlowTracker();
  const target = new TargetLifecycle('map', 770, 0);
  const admission = new TargetAdmission({
    target,
    tracker,
    lowerShare: 10,
    getTerms: () => undefined,
    getLatencyGoal: () => 0,
    deliver: (packet, balancer) => tracker.recordDelivery(packet, balancer, 0),
  });
  const requests = Array.from({ length: 20 }, (_, index) => {
    const common = { client: 0x6440_0007_9c41 + index, destination: MAP_DESTINATION };
    const answer = { ...common, flags: ModelFlag.opens, sequence: 7, acknowledgement: 1 };
    tracker.recordSentPacket(
      modelPacketFormat.decodeFromTarget(encodeModelPacket({ ...answer, payload: '' }))!,
      0,
    );
    const request = { ...common, flags: 0, sequence: 2, acknowledgement: 7, payload: 'request' };
    return modelPacketFormat.decodeFromClient(encodeModelPacket(request))!;
  });
  requests.forEach((packet) => admission.admit(packet, 1, 0, 0));
  t.is(tracker.workingRequests, 6);
  t.is(admission.waitingRequests, 14);
  target.applyHeartbeat(
    { incarnation: 'a', service: 'map', draining: false, sequence: 1, slots: 8, coldLeft: 0 },
    0,
  );
  admission.releaseWaiting(0);
  t.is(tracker.workingRequests, 12);
});

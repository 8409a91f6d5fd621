/** A start after all power is lost: what waits for a process, and in which order it is served. */
import test from 'ava';
import { execFileSync } from 'node:child_process';
import { createServer } from 'node:net';
import { parseEndpoint } from '../src/core/endpoint';
import { bindEarly } from '../src/runtime/early-sockets';
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
import { PacketWorld, type WorldAgent } from '../src/simulation/packets/packet-world';
import { MAP_DESTINATION, startModelDeployment } from '../src/simulation/packets/random-faults';
import { SeededRandom } from '../src/simulation/seeded-random';
import { SimulatedProcess } from '../src/simulation/simulated-process';
import { VirtualClock } from '../src/simulation/virtual-clock';
import { waitFor } from './support/packet-cluster';

/** Sends from another process while this one stands still, as it does while it loads a program. */
function sendFromOtherProcess(port: number, address: string, text: string): void {
  const send = `const s = require('dgram').createSocket('udp4');
    s.send('${text}', ${port}, '${address}', () => s.close());`;
  execFileSync(process.execPath, ['-e', send]);
}

test('a datagram that comes before the program binds its socket is received', async (t) => {
  const endpoint = '127.41.1.1:21411';
  bindEarly(endpoint);
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

test('an address that is taken is left to the program, which says why', async (t) => {
  const endpoint = parseEndpoint('127.41.1.1:21412').unwrap();
  const owner = (await UdpSocket.bindEndpoint(endpoint, () => undefined)).unwrap();
  t.teardown(() => owner.close());
  bindEarly('127.41.1.1:21412');
  const second = await UdpSocket.bindEndpoint(endpoint, () => undefined);
  t.is(second.err ? second.val.resultCode.number : 0, 1402);
});

test('a socket that was bound early is handed out once', async (t) => {
  const endpoint = parseEndpoint('127.41.1.1:21413').unwrap();
  bindEarly('127.41.1.1:21413');
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

test('what can still be answered in time goes before what is late, each by its age', (t) => {
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

test('the first agents heard get only their part of what waits', (t) => {
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

test('services do not share what their agents may get; without a route nothing waits', (t) => {
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

test('an opening waits as long as its client does', (t) => {
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

test('a starting balancer hands packets on to stronger ones only, each flow to one of them', (t) => {
  const relay = new StartupRelay(OWN_ZONE, 0.3);
  relay.learn(1, createStatus(11, 0.3), 0);
  t.is(relay.chooseDestination('f', 4, 0), undefined, 'an equal one is starting too');
  relay.learn(2, createStatus(12, 1.35, 'south'), 0);
  t.is(relay.chooseDestination('f', 4, 0), 12);
  relay.learn(3, createStatus(13, 1.35), 0);
  t.is(relay.chooseDestination('f', 4, 0), 12, 'where its opening went');
  t.is(relay.chooseDestination('g', 4, 0), 13, 'the own zone first');
  t.is(relay.chooseDestination('h', 4, 5_000), undefined, 'nothing heard for too long');
  t.is(relay.findDestination('g', 1_500), 13, 'as before, while no new flows go there');
  t.is(relay.findDestination('g', 5_000), undefined, 'nor flows that went to one that is silent');
  t.is(relay.chooseDestination('g', 4, 5_000), undefined);
  relay.learn(2, createStatus(12, 1.35, 'south'), 5_000);
  t.is(relay.chooseDestination('g', 4, 5_000), 12, 'another one takes its flows');
  relay.clear();
  t.false(relay.hasRelayedFlows);
});

test('one strong balancer does not take the traffic of a large cluster', (t) => {
  const relay = new StartupRelay(OWN_ZONE, 0.324);
  relay.learn(2, createStatus(12, 1.35), 0);
  t.false(relay.canRelay(24, 0));
  relay.learn(3, createStatus(13, 1.35), 0);
  t.true(relay.canRelay(24, 0));
  relay.learn(3, { ...createStatus(13, 1.35), isReady: false }, 10);
  t.false(relay.canRelay(24, 10));
});

/** Balancers of which the first is strong, and agents, as they start again together. */
function startMixedWorld(): PacketWorld {
  const world = new PacketWorld(61);
  startModelDeployment(world, 1);
  world.addBalancer('south', 0.3);
  world.runFor(3_000);
  return world;
}

test('packets are served by a stronger balancer while a slow one starts', (t) => {
  const world = startMixedWorld();
  const [strong, slow] = world.balancers;
  world.store.down = true;
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

test('a balancer without help finds the others through agents within the time of two calls', (t) => {
  const world = startMixedWorld();
  const [, slow] = world.balancers;
  world.seeds = [0x0a09_0909_1b58];
  world.startBalancer(slow!);
  world.runFor(60);
  t.true(slow!.node.isReady);
});

const FLOWS = 12;

test('a flow that moves between balancers before its first data is found without other targets', (t) => {
  const world = new PacketWorld(62);
  // So that no agent can tell how old its target is, and nobody knows all flows of a target.
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

/** A world whose last agent has come back without its target, with an entry in the registry. */
function startWithoutTarget(earlyStart: boolean): { world: PacketWorld; lone: WorldAgent } {
  const world = new PacketWorld(63);
  world.earlyStart = earlyStart;
  startModelDeployment(world, 2);
  world.runFor(3_000);
  const lone = world.agents[0]!;
  lone.process.kill();
  lone.target.alive = false;
  // No process starts again before the last datagrams of its earlier run have come.
  world.runFor(20);
  world.balancers.forEach((balancer) => world.startBalancer(balancer));
  world.startAgent(lone);
  return { world, lone };
}

/** Sends data of a flow that no target holds and tells how many resets it brings in 100 ms. */
function countResetsOfDeadFlow(world: PacketWorld): number {
  const { node } = world.balancers[0]!;
  const dead = {
    client: 0x6440_0007_9c41,
    destination: MAP_DESTINATION,
    flags: 0,
    sequence: 2,
    acknowledgement: 7,
    payload: 'request',
  };
  node.handleClientDatagram(encodeModelPacket(dead));
  world.runFor(100);
  return node.router.counters.resetsSent;
}

test('an agent without a target leaves the registry, and keeps no reset back', (t) => {
  const { world, lone } = startWithoutTarget(true);
  world.runFor(4_000);
  t.false(world.store.agents.items.has(String(lone.address)));
  t.is(countResetsOfDeadFlow(world), 1);
});

test('switched off, such an agent keeps its entry, and resets back', (t) => {
  const { world, lone } = startWithoutTarget(false);
  world.runFor(4_000);
  t.true(world.store.agents.items.has(String(lone.address)));
  t.is(countResetsOfDeadFlow(world), 0);
});

test('an agent that restarts beside a silent target that lives keeps its entry', (t) => {
  const world = new PacketWorld(64);
  startModelDeployment(world, 2);
  world.runFor(3_000);
  const agent = world.agents[0]!;
  agent.heartbeats = false;
  world.startAgent(agent);
  world.runFor(8_000);
  t.true(world.store.agents.items.has(String(agent.address)));
  t.true(agent.node.figures.targetLooks > 1);
});

test('an agent whose target comes at last is listed again and serves', (t) => {
  const { world, lone } = startWithoutTarget(true);
  world.runFor(4_000);
  world.startTarget(lone);
  world.runFor(5_000);
  t.true(world.store.agents.items.has(String(lone.address)));
  world.balancers.forEach(({ node }) => t.is(node.directory.find(lone.address)?.report?.state, 2));
});

test('an agent that all have forgotten is found again without the store when its target comes', (t) => {
  const { world, lone } = startWithoutTarget(true);
  world.runFor(12_000);
  world.balancers.forEach(({ node }) => t.is(node.directory.find(lone.address), undefined));
  world.store.down = true;
  world.startTarget(lone);
  world.runFor(1_000);
  world.balancers.forEach(({ node }) => t.is(node.directory.find(lone.address)?.report?.state, 2));
});

test('the store is asked again until it has taken the entry out', (t) => {
  const { world, lone } = startWithoutTarget(true);
  world.runFor(1_000);
  world.store.refused.add(lone.name);
  world.runFor(3_000);
  t.true(world.store.agents.items.has(String(lone.address)));
  world.store.refused.clear();
  world.runFor(2_000);
  t.false(world.store.agents.items.has(String(lone.address)));
});

test('a target that comes while its entry is being taken out is listed as soon as that is over', (t) => {
  const { world, lone } = startWithoutTarget(true);
  world.store.answerTime = 500;
  world.runFor(2_300);
  world.store.answerTime = 4;
  world.startTarget(lone);
  world.runFor(450);
  t.true(world.store.agents.items.has(String(lone.address)));
  t.is(lone.node.figures.registrations, 2, 'the removal and then the registration');
});

test('a listing that balancers tell late does not keep a target out that comes after all', (t) => {
  const { world, lone } = startWithoutTarget(true);
  const isListed = (): boolean => world.store.agents.items.has(String(lone.address));
  world.store.refused.add(lone.name);
  world.runFor(5_000);
  world.store.refused.clear();
  for (let step = 0; step < 200 && isListed(); step++) {
    world.runFor(10);
  }
  t.false(isListed());
  world.startTarget(lone);
  world.runFor(20);
  t.true(isListed());
});

test('an agent without a target that is told to stop takes its entry with it', (t) => {
  const { world, lone } = startWithoutTarget(true);
  world.store.refused.add(lone.name);
  world.runFor(3_000);
  world.store.refused.clear();
  let isDone = false;
  lone.node.beginStop(() => {
    isDone = true;
    lone.process.kill();
  });
  world.runFor(10);
  t.true(isDone);
  t.false(world.store.agents.items.has(String(lone.address)));
});

test('an agent that stops before it has found out looks once more, and keeps no reset back', (t) => {
  const { world, lone } = startWithoutTarget(true);
  world.runFor(600);
  t.is(lone.node.figures.targetLooks, 0);
  lone.node.beginStop(() => lone.process.kill());
  world.runFor(10);
  t.false(world.store.agents.items.has(String(lone.address)));
  t.is(countResetsOfDeadFlow(world), 1);
});

test('its word that there is no target holds while its entry cannot be removed, and not for long', (t) => {
  const { world, lone } = startWithoutTarget(true);
  world.runFor(600);
  world.store.down = true;
  lone.node.beginStop(() => undefined);
  world.runFor(50);
  lone.process.kill();
  t.is(countResetsOfDeadFlow(world), 1);
  world.runFor(3_000);
  t.is(countResetsOfDeadFlow(world), 1, 'none more');
});

test('a search that meets an agent without a target goes on by the next copy, and its entry stays', (t) => {
  const { world, lone } = startWithoutTarget(true);
  world.runFor(300);
  countResetsOfDeadFlow(world);
  world.runFor(100);
  t.is(countResetsOfDeadFlow(world), 1);
  t.true(world.store.agents.items.has(String(lone.address)));
  t.is(lone.node.state, 1, 'unknown, as a target that starts');
  world.startTarget(lone);
  world.runFor(1_000);
  t.is(lone.node.state, 2);
});

test('an agent that stops beside a target which has not been heard keeps its entry', (t) => {
  const { world, lone } = startWithoutTarget(true);
  world.runFor(100);
  lone.target.alive = true;
  lone.heartbeats = false;
  lone.node.beginStop(() => lone.process.kill());
  world.runFor(10);
  t.true(world.store.agents.items.has(String(lone.address)));
  t.is(countResetsOfDeadFlow(world), 0);
});

/** What judges a target that is never heard; the test answers its looks. */
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

test('a look that is answered after the agent has ended changes nothing', (t) => {
  const { answers, clock, count, presence } = createPresence();
  presence.start();
  clock.runUntil(200);
  presence.stop();
  answers.forEach((answer) => answer(true));
  t.is(answers.length, 1);
  t.is(count.missed, 0);
});

test('two looks at once find out once that there is no target', (t) => {
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

test('a look at an address without a listener proves that there is no target', async (t) => {
  const vacant = new TcpTargetProbe(parseEndpoint('127.41.1.1:21414').unwrap());
  t.true(await new Promise<boolean>((done) => vacant.checkVacant(done)));
  const server = createServer().listen(21_415, '127.41.1.1');
  t.teardown(() => server.close());
  await new Promise((done) => server.once('listening', done));
  const present = new TcpTargetProbe(parseEndpoint('127.41.1.1:21415').unwrap());
  t.false(await new Promise<boolean>((done) => present.checkVacant(done)));
});

test('a look is not taken for unanswered when this process was held up itself', async (t) => {
  const vacant = new TcpTargetProbe(parseEndpoint('127.41.1.1:21416').unwrap());
  const answer = new Promise<boolean>((done) => vacant.checkVacant(done));
  Atomics.wait(new Int32Array(new SharedArrayBuffer(4)), 0, 0, 700);
  t.true(await answer);
});

test('a target whose slots are not known yet does not get all that waits at once', (t) => {
  const tracker = new FlowTracker();
  const target = new TargetLifecycle('map', 770, 0);
  const admission = new TargetAdmission({
    target,
    tracker,
    lowerShare: 10,
    getTerms: () => undefined,
    getLatencyGoal: () => 0,
    handOver: (packet, balancer) => tracker.recordDelivery(packet, balancer, 0),
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

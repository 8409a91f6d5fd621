/** Answers that are lost between an agent and a client, or seem to be. */
import test from 'ava';
import { packetFormat } from '../platform/packet-head';
import type { Environment } from '../src/environment';
import { Events, type EventFields, type EventKind } from '../src/logging/events';
import { PacketMessageType } from '../src/packets/packet-messages';
import { checkPacketSettings } from '../src/packets/packet-settings';
import { AnswerFlow } from '../src/packets/repair/answer-flow';
import { AnswerRepair } from '../src/packets/repair/answer-repair';
import { openModelFlows, startModelDeployment } from '../src/simulation/packets/random-faults';
import { PacketWorld } from '../src/simulation/packets/packet-world';
import { AnswerTiming } from '../src/packets/repair/answer-timing';
import { VirtualClock } from '../src/simulation/virtual-clock';
import { AgentHarness, type Arrival } from './support/agent-harness';
import { encodePacket, Flag } from './support/packet-cluster';

const ROUTE = ['198.18.0.1', 443] as const;
const CLIENT_ADDRESS = '100.64.0.7';
const ROUND_TRIP_MS = 10;
/** Sequence number of the target's answer to an opening. */
const OPENING_SEQUENCE = 1_000;
const FULL_PACKET_BYTES = 1_200;
const FULL_PAYLOAD = 'x'.repeat(FULL_PACKET_BYTES);
/** The target repeats by itself from here on. */
const TARGET_TIMEOUT_MS = 200;
const FLOW_LIFETIME_MS = 60_000;

interface ReportedEvent {
  readonly event: EventKind;
  readonly fields: EventFields;
}

function createEnvironment(
  clock: VirtualClock,
  events: ReportedEvent[],
  delays: number[] = [],
): Environment {
  return {
    now: () => clock.now,
    startTimer: (delay, action) => {
      delays.push(delay);
      return clock.schedule(delay, action);
    },
    random: () => 0.5,
    report: (event, fields) => void events.push({ event, fields }),
  };
}

/** Answer repair with the target and the clients played by the test. */
class RepairHarness {
  readonly clock = new VirtualClock();
  readonly events: ReportedEvent[] = [];
  readonly retransmissions: Arrival[] = [];
  /** Milliseconds of each timer started. */
  readonly delays: number[] = [];
  repair: AnswerRepair;

  constructor(readonly isEnabled = true) {
    this.repair = this.createRepair();
  }

  /** The agent's process starts anew, with nothing in it. */
  restart(): void {
    this.repair.stop();
    this.repair = this.createRepair();
  }

  /** The target sends a packet; answers its bytes. */
  send(sequence: number, data: string, flags: number = Flag.ack, port = 1): Buffer {
    const client = [CLIENT_ADDRESS, port] as const;
    const bytes = encodePacket(ROUTE, client, flags, sequence >>> 0, 7, data);
    this.repair.recordSent(packetFormat.decodeFromTarget(bytes)!);
    return bytes;
  }

  /** A packet of the client comes to the agent. */
  receive(acknowledgement: number, flags: number = Flag.ack, data = '', port = 1): void {
    const client = [CLIENT_ADDRESS, port] as const;
    const bytes = encodePacket(client, ROUTE, flags, 7, acknowledgement >>> 0, data);
    this.repair.handleClientPacket(packetFormat.decodeFromClient(bytes)!);
  }

  /** The target answers an opening and the client's next packet comes a round trip later. */
  open(port = 1, sequence = OPENING_SEQUENCE): void {
    this.send(sequence, '', Flag.syn | Flag.ack, port);
    this.runFor(ROUND_TRIP_MS);
    this.receive(sequence + 1, Flag.ack, 'GET', port);
  }

  /** Flows that lose nothing, by which the round trip is known. */
  measureRoundTrip(): void {
    for (let port = 100; port < 130; port++) {
      this.open(port);
    }
  }

  /** Sends an answer of full packets on an open flow; answers their bytes. */
  sendAnswer(count: number, sequence = OPENING_SEQUENCE + 1): Buffer[] {
    return Array.from({ length: count }, (_, index) =>
      this.send(sequence + index * FULL_PACKET_BYTES, FULL_PAYLOAD),
    );
  }

  runFor(milliseconds: number): void {
    this.clock.runUntil(this.clock.now + milliseconds);
  }

  get limitReports(): EventFields[] {
    return this.events
      .filter(({ event }) => event === Events.answerRepairsLimited)
      .map(({ fields }) => fields);
  }

  private createRepair(): AnswerRepair {
    return new AnswerRepair({
      environment: createEnvironment(this.clock, this.events, this.delays),
      isEnabled: this.isEnabled,
      flowLifetime: FLOW_LIFETIME_MS,
      sendToClient: (_client, bytes) =>
        this.retransmissions.push({ at: this.clock.now, bytes: Buffer.from(bytes) }),
    });
  }
}

function openScene(): RepairHarness {
  const scene = new RepairHarness();
  scene.measureRoundTrip();
  scene.open();
  return scene;
}

/** Sequence number after so many full packets of an answer. */
function computeSequenceAfter(packets: number): number {
  return OPENING_SEQUENCE + 1 + packets * FULL_PACKET_BYTES;
}

test('a packet lost in the middle is repeated once, as it was, when later ones have come', (t) => {
  const scene = openScene();
  const sentAt = scene.clock.now;
  const packets = scene.sendAnswer(4);
  scene.runFor(ROUND_TRIP_MS);
  scene.receive(computeSequenceAfter(1));
  scene.receive(computeSequenceAfter(1));
  scene.runFor(4 * ROUND_TRIP_MS);
  t.is(scene.retransmissions.length, 1);
  t.deepEqual(scene.retransmissions[0]!.bytes, packets[1]);
  t.true(scene.retransmissions[0]!.at - sentAt <= 4 * ROUND_TRIP_MS);
  scene.receive(computeSequenceAfter(4));
  scene.runFor(1_000);
  t.is(scene.retransmissions.length, 1);
  t.is(scene.repair.figures.answersRepeated, 1);
  t.is(scene.repair.figures.answersRepeatedNeedlessly, 0);
  t.is(scene.repair.figures.answerBytesKept, 0);
});

test('packets that only overtake each other are not repeated', (t) => {
  const scene = openScene();
  scene.sendAnswer(4);
  scene.runFor(ROUND_TRIP_MS);
  scene.receive(computeSequenceAfter(1));
  scene.receive(computeSequenceAfter(1));
  scene.runFor(2);
  scene.receive(computeSequenceAfter(4));
  scene.runFor(1_000);
  t.is(scene.retransmissions.length, 0);
});

test('of two packets lost in one window the second follows the acknowledgement of the first', (t) => {
  const scene = openScene();
  const packets = scene.sendAnswer(6);
  scene.runFor(ROUND_TRIP_MS);
  scene.receive(computeSequenceAfter(1));
  scene.receive(computeSequenceAfter(1));
  scene.runFor(3 * ROUND_TRIP_MS);
  scene.receive(computeSequenceAfter(3));
  scene.runFor(ROUND_TRIP_MS);
  t.deepEqual(
    scene.retransmissions.map(({ bytes }) => bytes),
    [packets[1], packets[3]],
  );
});

test('the last packet of an answer is repeated after the timeout, well before its target does', (t) => {
  const scene = openScene();
  const sentAt = scene.clock.now;
  const packets = scene.sendAnswer(4);
  scene.runFor(ROUND_TRIP_MS);
  scene.receive(computeSequenceAfter(2));
  scene.runFor(50);
  t.is(scene.retransmissions.length, 1);
  t.deepEqual(scene.retransmissions[0]!.bytes, packets[3]);
  t.true(scene.retransmissions[0]!.at - sentAt < 60);
  scene.receive(computeSequenceAfter(4));
  scene.runFor(1_000);
  t.is(scene.retransmissions.length, 1);
});

test('a lost answer to an opening is repeated, and not once the client goes on', (t) => {
  const scene = new RepairHarness();
  scene.measureRoundTrip();
  const sentAt = scene.clock.now;
  const opening = scene.send(OPENING_SEQUENCE, '', Flag.syn | Flag.ack);
  scene.runFor(45);
  t.deepEqual(
    scene.retransmissions.map(({ bytes }) => bytes),
    [opening],
  );
  t.true(scene.retransmissions[0]!.at - sentAt < 45);
  scene.receive(OPENING_SEQUENCE + 1);
  scene.runFor(1_000);
  t.is(scene.retransmissions.length, 1);
});

test('a lost acknowledgement costs a repeat and no more, and is counted once it is known', (t) => {
  const scene = openScene();
  scene.sendAnswer(2);
  scene.runFor(3 * ROUND_TRIP_MS + 2);
  t.is(scene.retransmissions.length, 1);
  scene.receive(computeSequenceAfter(2));
  scene.runFor(1_000);
  t.is(scene.retransmissions.length, 1);
  t.is(scene.repair.figures.answersRepeatedNeedlessly, 1);
});

test('acknowledgements that always come late for a single packet are learnt', (t) => {
  const scene = new RepairHarness();
  scene.measureRoundTrip();
  for (let port = 200; port < 240; port++) {
    scene.open(port);
    scene.send(OPENING_SEQUENCE + 1, 'short', Flag.ack, port);
    scene.runFor(40);
    scene.receive(OPENING_SEQUENCE + 6, Flag.ack, '', port);
  }
  t.is(scene.retransmissions.length, 0);
});

test('before anything is known of the way there is room for one repeat', (t) => {
  const scene = new RepairHarness();
  scene.send(OPENING_SEQUENCE, '', Flag.syn | Flag.ack);
  scene.runFor(TARGET_TIMEOUT_MS / 2 - 5);
  t.is(scene.retransmissions.length, 0);
  scene.runFor(1_000);
  t.is(scene.retransmissions.length, 1);
});

test('a client that has gone gets two repeats, none after the target begins to repeat', (t) => {
  const scene = openScene();
  const sentAt = scene.clock.now;
  scene.sendAnswer(16);
  scene.runFor(5_000);
  t.is(scene.retransmissions.length, 2);
  t.true(scene.retransmissions.every(({ at }) => at - sentAt < TARGET_TIMEOUT_MS));
  t.is(scene.repair.figures.answerBytesKept, 0);
});

test('no packet is repeated more than twice, however often its loss is told', (t) => {
  const scene = openScene();
  scene.sendAnswer(4);
  for (let told = 0; told < 40; told++) {
    scene.runFor(5);
    scene.receive(computeSequenceAfter(0));
  }
  const [first] = scene.retransmissions;
  t.true(scene.retransmissions.filter(({ bytes }) => bytes.equals(first!.bytes)).length <= 2);
  t.true(scene.retransmissions.length <= 4);
});

test('packets that come from their target in another order are new ones, not its repeats', (t) => {
  const scene = openScene();
  const sentAt = scene.clock.now;
  scene.send(computeSequenceAfter(2) + 5, '', Flag.fin | Flag.ack);
  scene.send(computeSequenceAfter(2), 'short');
  const [, second] = scene.sendAnswer(2);
  scene.runFor(ROUND_TRIP_MS);
  scene.receive(computeSequenceAfter(1));
  scene.runFor(ROUND_TRIP_MS);
  scene.receive(computeSequenceAfter(1));
  scene.runFor(3 * ROUND_TRIP_MS);
  t.deepEqual(
    scene.retransmissions.map(({ bytes }) => bytes),
    [second],
  );
  t.true(scene.retransmissions[0]!.at - sentAt <= 5 * ROUND_TRIP_MS);
  scene.receive(computeSequenceAfter(2) + 6);
  scene.runFor(1_000);
  t.is(scene.retransmissions.length, 1);
  t.is(scene.repair.figures.answerBytesKept, 0);
});

test('an answer after a long pause is repaired, whichever of its packets comes first', (t) => {
  const scene = openScene();
  scene.runFor(FLOW_LIFETIME_MS - 1_000);
  scene.send(computeSequenceAfter(1), 'short');
  const [first] = scene.sendAnswer(1);
  scene.runFor(ROUND_TRIP_MS);
  scene.receive(computeSequenceAfter(0));
  scene.runFor(4 * ROUND_TRIP_MS);
  t.deepEqual(
    scene.retransmissions.map(({ bytes }) => bytes),
    [first],
  );
});

test('a flow that has rested for its lifetime is forgotten when others come', (t) => {
  const scene = openScene();
  scene.runFor(FLOW_LIFETIME_MS + 1);
  scene.open(2);
  scene.receive(computeSequenceAfter(0), Flag.fin | Flag.ack);
  const [first] = scene.sendAnswer(1);
  scene.runFor(100);
  t.deepEqual(scene.retransmissions[0]?.bytes, first);
});

test("a target's repeat after equal acknowledgements takes the place of one from here", (t) => {
  const scene = openScene();
  const packets = scene.sendAnswer(4);
  scene.runFor(ROUND_TRIP_MS);
  scene.receive(computeSequenceAfter(0));
  scene.receive(computeSequenceAfter(0));
  scene.receive(computeSequenceAfter(0));
  scene.send(computeSequenceAfter(0), FULL_PAYLOAD);
  scene.runFor(2.5 * ROUND_TRIP_MS);
  t.is(scene.retransmissions.length, 0);
  scene.receive(computeSequenceAfter(3));
  scene.runFor(ROUND_TRIP_MS);
  t.deepEqual(
    scene.retransmissions.map(({ bytes }) => bytes),
    [packets[3]],
  );
});

test('what a target repeats by its own timer is not repeated, and repair goes on behind it', (t) => {
  const scene = openScene();
  scene.sendAnswer(2);
  scene.runFor(TARGET_TIMEOUT_MS);
  const repeated = scene.retransmissions.length;
  scene.send(OPENING_SEQUENCE + 1, FULL_PAYLOAD);
  scene.runFor(400);
  scene.send(OPENING_SEQUENCE + 1, FULL_PAYLOAD);
  scene.runFor(800);
  t.is(scene.retransmissions.length, repeated);
  scene.retransmissions.length = 0;
  scene.receive(computeSequenceAfter(2));
  const next = scene.sendAnswer(2, computeSequenceAfter(2));
  scene.runFor(40);
  t.deepEqual(
    scene.retransmissions.map(({ bytes }) => bytes),
    [next[1]],
  );
});

test('what a target repeats although its client has acknowledged it is not looked after', (t) => {
  const scene = openScene();
  scene.sendAnswer(2);
  scene.receive(computeSequenceAfter(2));
  scene.sendAnswer(1);
  scene.runFor(1_000);
  t.is(scene.retransmissions.length, 0);
});

/** A flow alone, with two packets of an answer sent at time 0 over a way of 40 ms. */
function createFlow(): AnswerFlow {
  const timing = new AnswerTiming();
  for (let samples = 0; samples < 100; samples++) {
    timing.addSample('prompt', 40);
  }
  const packets = [0, 1].map((index) =>
    packetFormat.decodeFromTarget(
      encodePacket(
        ROUTE,
        [CLIENT_ADDRESS, 1],
        Flag.ack,
        computeSequenceAfter(index),
        7,
        FULL_PAYLOAD,
      ),
    )!,
  );
  const flow = new AnswerFlow(packets[0]!, timing, 0);
  packets.forEach((packet) => flow.recordSent(packet, true, 0));
  return flow;
}

test('a gap is not a loss before packets cannot have overtaken each other any more', (t) => {
  const flow = createFlow();
  const client = encodePacket([CLIENT_ADDRESS, 1], ROUTE, Flag.ack, 7, computeSequenceAfter(0));
  flow.handleAcknowledgement(packetFormat.decodeFromClient(client)!, 45);
  t.is(flow.takeDuePacket(60), undefined);
  t.is(flow.takeDuePacket(66)!.sequence, computeSequenceAfter(0));
});

test('just before its target is due to repeat it, a packet is left to its target', (t) => {
  t.not(createFlow().takeDuePacket(189), undefined);
  t.is(createFlow().takeDuePacket(195), undefined);
});

const endings: readonly (readonly [string, (scene: RepairHarness) => void])[] = [
  ['the client ends it', (scene) => scene.receive(computeSequenceAfter(0), Flag.fin | Flag.ack)],
  ['the client breaks it off', (scene) => scene.receive(0, Flag.rst)],
  ['the target breaks it off', (scene) => void scene.send(computeSequenceAfter(3), '', Flag.rst)],
  ['the target turns out not to hold it', (scene) => scene.repair.removeFlow(createFlowKey())],
  ['the target is replaced', (scene) => scene.repair.clear()],
  ['the agent stops', (scene) => scene.repair.stop()],
];

function createFlowKey(): string {
  const bytes = encodePacket([CLIENT_ADDRESS, 1], ROUTE, 0, 0, 0);
  return packetFormat.decodeFromClient(bytes)!.flow;
}

for (const [name, end] of endings) {
  test(`nothing of a flow is repeated once ${name}`, (t) => {
    const scene = openScene();
    scene.sendAnswer(3);
    scene.runFor(5);
    end(scene);
    scene.runFor(1_000);
    t.is(scene.retransmissions.length, 0);
    t.is(scene.repair.figures.answerBytesKept, 0);
  });
}

test('what a target still sends on a flow that its client has ended is not repeated', (t) => {
  const scene = openScene();
  scene.receive(computeSequenceAfter(0), Flag.fin | Flag.ack);
  scene.sendAnswer(2);
  scene.send(computeSequenceAfter(2), '', Flag.fin | Flag.ack);
  scene.runFor(1_000);
  t.is(scene.retransmissions.length, 0);
});

test("a target's end of a flow is repeated like data until the client has it", (t) => {
  const scene = openScene();
  const end = scene.send(computeSequenceAfter(0), '', Flag.fin | Flag.ack);
  scene.runFor(120);
  t.deepEqual(scene.retransmissions[0]!.bytes, end);
  scene.receive(computeSequenceAfter(0) + 1, Flag.fin | Flag.ack);
  const { length } = scene.retransmissions;
  scene.runFor(1_000);
  t.is(scene.retransmissions.length, length);
});

test('the answer to an opening is repeated once: its client may have gone on elsewhere', (t) => {
  const scene = new RepairHarness();
  scene.measureRoundTrip();
  scene.send(OPENING_SEQUENCE, '', Flag.syn | Flag.ack);
  scene.runFor(1_000);
  t.is(scene.retransmissions.length, 1);
});

test('nothing of a flow is repeated once its client opens another one between the same ends', (t) => {
  const scene = openScene();
  scene.sendAnswer(3);
  scene.receive(0, Flag.syn);
  scene.runFor(1_000);
  t.is(scene.retransmissions.length, 0);
});

test('a further copy of an opening does not end the repair of the answer to the first', (t) => {
  const scene = new RepairHarness();
  scene.measureRoundTrip();
  const opening = scene.send(OPENING_SEQUENCE, '', Flag.syn | Flag.ack);
  scene.receive(1, Flag.syn);
  scene.runFor(100);
  t.deepEqual(
    scene.retransmissions.map(({ bytes }) => bytes),
    [opening],
  );
});

test('a flow between the same ends begins anew', (t) => {
  const scene = openScene();
  scene.receive(computeSequenceAfter(0), Flag.fin | Flag.ack);
  const opening = scene.send(77, '', Flag.syn | Flag.ack);
  scene.runFor(30);
  t.deepEqual(
    scene.retransmissions.map(({ bytes }) => bytes),
    [opening],
  );
});

test('an agent that restarts halfway repeats what it has seen since, and nothing else', (t) => {
  const scene = openScene();
  scene.sendAnswer(2);
  scene.restart();
  const [third] = scene.sendAnswer(1, computeSequenceAfter(2));
  scene.receive(computeSequenceAfter(1));
  scene.receive(computeSequenceAfter(1));
  scene.runFor(TARGET_TIMEOUT_MS);
  t.deepEqual(
    scene.retransmissions.map(({ bytes }) => bytes),
    [third],
  );
  scene.receive(computeSequenceAfter(3));
  scene.runFor(1_000);
  t.is(scene.retransmissions.length, 1);
});

test('sequence numbers wrap around within an answer', (t) => {
  const scene = new RepairHarness();
  scene.measureRoundTrip();
  const opening = 2 ** 32 - 1_500;
  scene.open(1, opening);
  const packets = scene.sendAnswer(4, opening + 1);
  scene.runFor(ROUND_TRIP_MS);
  scene.receive(opening + 1 + FULL_PACKET_BYTES);
  scene.receive(opening + 1 + FULL_PACKET_BYTES);
  scene.runFor(3 * ROUND_TRIP_MS);
  t.deepEqual(
    scene.retransmissions.map(({ bytes }) => bytes),
    [packets[1]],
  );
  scene.receive(opening + 1 + 4 * FULL_PACKET_BYTES);
  scene.runFor(1_000);
  t.is(scene.retransmissions.length, 1);
});

test('acknowledgements that are old, of another flow or of nothing sent change nothing', (t) => {
  const scene = openScene();
  scene.sendAnswer(2);
  scene.receive(computeSequenceAfter(0) - 1);
  scene.receive(computeSequenceAfter(2) + 1);
  scene.receive(computeSequenceAfter(2), Flag.ack, '', 2);
  scene.receive(computeSequenceAfter(2), Flag.syn);
  scene.runFor(30);
  t.is(scene.retransmissions.length, 1);
});

test('one timer serves all flows, and none runs while nothing is kept', (t) => {
  const scene = new RepairHarness();
  for (let port = 1; port <= 100; port++) {
    scene.send(OPENING_SEQUENCE, '', Flag.syn | Flag.ack, port);
    scene.runFor(0.1);
  }
  t.is(scene.delays.length, 1);
  for (let port = 1; port <= 100; port++) {
    scene.receive(OPENING_SEQUENCE + 1, Flag.ack, 'GET', port);
  }
  scene.runFor(10_000);
  t.is(scene.delays.length, 1);
  t.true(scene.delays.every((delay) => Number.isFinite(delay)));
});

test('a timer that comes late lets acknowledgements be read first', (t) => {
  const clock = new VirtualClock();
  let stalled = 0;
  const repeats: Buffer[] = [];
  const repair = new AnswerRepair({
    environment: { ...createEnvironment(clock, []), now: () => clock.now + stalled },
    isEnabled: true,
    flowLifetime: FLOW_LIFETIME_MS,
    sendToClient: (_client, bytes) => repeats.push(bytes),
  });
  const client = [CLIENT_ADDRESS, 1] as const;
  const opening = encodePacket(ROUTE, client, Flag.syn | Flag.ack, OPENING_SEQUENCE, 7);
  repair.recordSent(packetFormat.decodeFromTarget(opening)!);
  stalled = 60;
  clock.runUntil(TARGET_TIMEOUT_MS / 2);
  t.is(repeats.length, 0);
  const next = encodePacket(client, ROUTE, Flag.ack, 7, OPENING_SEQUENCE + 1);
  repair.handleClientPacket(packetFormat.decodeFromClient(next)!);
  clock.runUntil(1_000);
  t.is(repeats.length, 0);
});

test('repeats are a small part of what is sent, and the log says so once a second', (t) => {
  const scene = new RepairHarness();
  for (let port = 1; port <= 1_000; port++) {
    scene.send(OPENING_SEQUENCE, '', Flag.syn | Flag.ack, port);
  }
  scene.runFor(1_000);
  const { answersRepeated, answerRepairsWithheld } = scene.repair.figures;
  t.is(scene.retransmissions.length, answersRepeated);
  t.is(answersRepeated, 20);
  t.is(answerRepairsWithheld, 1_000 - answersRepeated);
  t.is(scene.limitReports.length, 1);
});

test('what is sent after a burst of losses earns further repeats, a tenth of it', (t) => {
  const scene = new RepairHarness();
  const seconds = 2;
  for (let port = 1; port <= 2_000; port++) {
    scene.send(OPENING_SEQUENCE, '', Flag.syn | Flag.ack, port);
    scene.runFor((seconds * 1_000) / 2_000);
  }
  scene.runFor(1_000);
  const { answersRepeated } = scene.repair.figures;
  const earned = 2_000 / 10;
  t.true(answersRepeated > earned && answersRepeated <= 20 + earned + 10 * (seconds + 1));
});

test('a repeat that the budget withholds does not spoil the sample of its packet', (t) => {
  const scene = new RepairHarness();
  const roundTrip = 150;
  for (let port = 1; port <= 100; port++) {
    scene.send(OPENING_SEQUENCE, '', Flag.syn | Flag.ack, port);
  }
  scene.runFor(roundTrip);
  for (let port = 1; port <= 100; port++) {
    scene.receive(OPENING_SEQUENCE + 1, Flag.ack, 'GET', port);
  }
  const { answersRepeated, answerRepairsWithheld } = scene.repair.figures;
  t.true(answerRepairsWithheld > 0);
  scene.runFor(5_000);
  scene.send(OPENING_SEQUENCE, '', Flag.syn | Flag.ack, 101);
  scene.runFor(roundTrip);
  scene.receive(OPENING_SEQUENCE + 1, Flag.ack, 'GET', 101);
  t.is(scene.repair.figures.answersRepeated, answersRepeated);
});

test('copies stay within their room, whoever leaves answers unacknowledged', (t) => {
  const scene = new RepairHarness();
  for (let port = 1; port <= 1_000; port++) {
    for (let packet = 0; packet < 20; packet++) {
      scene.send(OPENING_SEQUENCE + packet * FULL_PACKET_BYTES, FULL_PAYLOAD, Flag.ack, port);
    }
  }
  const kept = scene.repair.figures.answerBytesKept;
  t.true(kept > 7 * 1_024 * 1_024 && kept <= 8 * 1_024 * 1_024);
  t.true(scene.repair.figures.answerRepairsWithheld > 0);
  scene.runFor(1_000);
  t.is(scene.repair.figures.answerBytesKept, 0);
});

test('the number of flows is bounded: the longest resting one is forgotten', (t) => {
  const scene = new RepairHarness();
  const opening = scene.send(OPENING_SEQUENCE, '', Flag.syn | Flag.ack, 1);
  for (let port = 2; port <= 6_000; port++) {
    scene.send(OPENING_SEQUENCE, '', Flag.syn | Flag.ack, port);
  }
  t.is(scene.repair.figures.answerBytesKept, 4_096 * opening.length);
});

test('switched off, nothing is kept and nothing repeated', (t) => {
  const scene = new RepairHarness(false);
  scene.open();
  scene.sendAnswer(4);
  t.is(scene.repair.figures.answerBytesKept, 0);
  scene.runFor(1_000);
  t.is(scene.retransmissions.length, 0);
});

const SETTINGS = {
  name: 'agent-1',
  zone: 'north',
  address: '10.0.0.1:7000',
  clientPort: 7001,
  storeAddress: '10.0.0.9:80',
};

test('the setting is on by default, 0 switches it off, and anything else is named', (t) => {
  t.true(checkPacketSettings('s', SETTINGS).unwrap().repairAnswers);
  t.false(checkPacketSettings('s', { ...SETTINGS, repairAnswers: 0 }).unwrap().repairAnswers);
  const wrong = checkPacketSettings('s', { ...SETTINGS, repairAnswers: 'yes' });
  t.deepEqual(wrong.err && wrong.val.details, ['repairAnswers: must be 1 or 0']);
});

/** An agent of a ready target, and one flow. */
class RepairingAgentHarness extends AgentHarness {
  constructor(repairAnswers: boolean) {
    super({ repairAnswers, repairHops: true, priorityQueue: true });
    this.sendHeartbeat('i-1');
  }

  sendHeartbeat(incarnation: string): void {
    const heartbeat = { service: 'map', slots: 1, draining: false, coldLeft: 0, sequence: 1 };
    this.agent.heartbeat({ ...heartbeat, incarnation });
  }

  /** A balancer hands a client's packet over. */
  deliver(flags: number, acknowledgement: number, data = ''): void {
    const client = [CLIENT_ADDRESS, 1] as const;
    const payload = encodePacket(client, ROUTE, flags, 7, acknowledgement, data);
    const services = ['map'];
    const message = { type: PacketMessageType.deliver, searchId: 1, services, payload } as const;
    this.receive(message);
  }

  send(sequence: number, data: string, flags: number = Flag.ack): Buffer {
    const bytes = encodePacket(ROUTE, [CLIENT_ADDRESS, 1], flags, sequence, 7, data);
    const asWritten = Buffer.from(bytes);
    this.agent.handleTargetDatagram(bytes);
    return asWritten;
  }

  /** The flow opens and the client sends a request. */
  open(): void {
    this.deliver(Flag.syn, 0);
    this.send(OPENING_SEQUENCE, '', Flag.syn | Flag.ack);
    this.runFor(ROUND_TRIP_MS);
    this.deliver(Flag.ack, OPENING_SEQUENCE + 1, 'GET');
  }
}

test('an agent repeats what a client misses by the acknowledgements that pass through it', (t) => {
  const scene = new RepairingAgentHarness(true);
  scene.open();
  const packets = [0, 1, 2, 3].map((index) =>
    scene.send(computeSequenceAfter(index), FULL_PAYLOAD),
  );
  scene.runFor(ROUND_TRIP_MS);
  scene.deliver(Flag.ack, computeSequenceAfter(1));
  scene.deliver(Flag.ack, computeSequenceAfter(1));
  scene.runFor(4 * ROUND_TRIP_MS);
  t.is(scene.toClient.length, 6);
  t.deepEqual(scene.toClient[5]!.bytes, packets[1]);
  scene.deliver(Flag.ack, computeSequenceAfter(4));
  scene.runFor(1_000);
  t.is(scene.toClient.length, 6);
  t.is(scene.agent.figures.answersRepeated, 1);
  t.is(scene.toTarget.length, 5);
});

test('an agent drops the answers of a target that is replaced at its address', (t) => {
  const scene = new RepairingAgentHarness(true);
  scene.open();
  scene.send(computeSequenceAfter(0), FULL_PAYLOAD);
  scene.sendHeartbeat('i-2');
  scene.runFor(1_000);
  t.is(scene.toClient.length, 2);
});

test('an agent with answer repair switched off repeats nothing', (t) => {
  const scene = new RepairingAgentHarness(false);
  scene.open();
  scene.send(computeSequenceAfter(0), FULL_PAYLOAD);
  scene.runFor(1_000);
  t.is(scene.toClient.length, 2);
});

test('a packet that its target returns ends the repeats of its flow', (t) => {
  const scene = new RepairingAgentHarness(true);
  scene.open();
  scene.send(computeSequenceAfter(0), FULL_PAYLOAD);
  const returned = Buffer.from(scene.toTarget.at(-1)!);
  returned[30]! |= Flag.bounced;
  scene.agent.handleTargetDatagram(returned);
  scene.runFor(1_000);
  t.is(scene.toClient.length, 2);
});

/** A deployment whose links lose two datagrams in a hundred. */
function runLossyWorld(repairAnswers: boolean): PacketWorld {
  const world = new PacketWorld(2_708);
  world.repairAnswers = repairAnswers;
  startModelDeployment(world);
  world.network.quality.loss = 0.02;
  openModelFlows(world, 60, 20, 50);
  world.runFor(20_000);
  return world;
}

/** Answers that came as late as only a repeat of their client or target brings them. */
function countLate({ clients }: PacketWorld): number {
  const gaps = clients.flatMap(({ startedAt, answeredAt }) =>
    answeredAt.map((at, index) => at - (answeredAt[index - 1] ?? startedAt)),
  );
  return gaps.filter((gap) => gap >= TARGET_TIMEOUT_MS).length;
}

test('over lossy links every answer comes once and whole, and fewer of them come late', (t) => {
  const without = runLossyWorld(false);
  const repaired = runLossyWorld(true);
  const repeats = repaired.agents.map(({ node }) => node.figures.answersRepeated);
  t.true(repeats.reduce((sum, more) => sum + more, 0) > 0);
  t.true(repaired.clients.every(({ state, answers }) => state === 'done' && answers === 20));
  t.deepEqual(Object.values(repaired.violations).flat(), []);
  t.true(countLate(repaired) < countLate(without));
});

/** Answer repair: retransmission of packets lost between an agent and a client. */
import test from 'ava';
import { packetFormat } from '../platform/packet-header';
import type { Environment } from '../src/environment';
import { Events, type EventFields, type EventKind } from '../src/logging/events';
import { PacketMessageType } from '../src/packets/packet-messages';
import { checkPacketSettings } from '../src/packets/packet-settings';
import { AnswerFlow } from '../src/packets/repair/answer-flow';
import { AnswerRepair } from '../src/packets/repair/answer-repair';
import { openModelFlows, startModelDeployment } from '../src/simulation/packets/random-faults';
import { PacketSimulation } from '../src/simulation/packets/packet-simulation';
import { AnswerTiming } from '../src/packets/repair/answer-timing';
import { VirtualClock } from '../src/simulation/virtual-clock';
import { AgentHarness, type Arrival } from './support/agent-harness';
import { encodePacket, Flag } from './support/packet-cluster';

const ROUTE = ['198.18.0.1', 443] as const;
const CLIENT_ADDRESS = '100.64.0.7';
const ROUND_TRIP_MS = 10;
/** Sequence number of the target's SYN-ACK. */
const OPENING_SEQUENCE = 1_000;
const FULL_PACKET_BYTES = 1_200;
const FULL_PAYLOAD = 'x'.repeat(FULL_PACKET_BYTES);
/** Retransmission timeout of the target. */
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

/** Answer repair with a simulated target and clients. */
class RepairHarness {
  readonly clock = new VirtualClock();
  readonly events: ReportedEvent[] = [];
  readonly retransmissions: Arrival[] = [];
  /** Delay in milliseconds of each timer started. */
  readonly delays: number[] = [];
  repair: AnswerRepair;

  constructor(readonly isEnabled = true) {
    this.repair = this.createRepair();
  }

  /** Restarts the agent's process without its state. */
  restart(): void {
    this.repair.stop();
    this.repair = this.createRepair();
  }

  /** Sends a packet from the target and returns its bytes. */
  send(sequence: number, data: string, flags: number = Flag.ack, port = 1): Buffer {
    const client = [CLIENT_ADDRESS, port] as const;
    const bytes = encodePacket(ROUTE, client, flags, sequence >>> 0, 7, data);
    this.repair.recordSent(packetFormat.decodeFromTarget(bytes)!);
    return bytes;
  }

  /** Passes a client's packet to the agent. */
  receive(acknowledgement: number, flags: number = Flag.ack, data = '', port = 1): void {
    const client = [CLIENT_ADDRESS, port] as const;
    const bytes = encodePacket(client, ROUTE, flags, 7, acknowledgement >>> 0, data);
    this.repair.handleClientPacket(packetFormat.decodeFromClient(bytes)!);
  }

  /** Sends the target's SYN-ACK and, a round trip later, the client's next packet. */
  open(port = 1, sequence = OPENING_SEQUENCE): void {
    this.send(sequence, '', Flag.syn | Flag.ack, port);
    this.runFor(ROUND_TRIP_MS);
    this.receive(sequence + 1, Flag.ack, 'GET', port);
  }

  /** Opens flows without loss, which supply round-trip samples. */
  measureRoundTrip(): void {
    for (let port = 100; port < 130; port++) {
      this.open(port);
    }
  }

  /** Sends an answer of full packets on an open flow and returns their bytes. */
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

function createHarnessWithFlow(): RepairHarness {
  const harness = new RepairHarness();
  harness.measureRoundTrip();
  harness.open();
  return harness;
}

/** Sequence number after the given number of full packets of an answer. */
function computeSequenceAfter(packets: number): number {
  return OPENING_SEQUENCE + 1 + packets * FULL_PACKET_BYTES;
}

test('a packet lost in the middle is retransmitted once, unchanged, when later ones arrived', (t) => {
  const harness = createHarnessWithFlow();
  const sentAt = harness.clock.now;
  const packets = harness.sendAnswer(4);
  harness.runFor(ROUND_TRIP_MS);
  harness.receive(computeSequenceAfter(1));
  harness.receive(computeSequenceAfter(1));
  harness.runFor(4 * ROUND_TRIP_MS);
  t.is(harness.retransmissions.length, 1);
  t.deepEqual(harness.retransmissions[0]!.bytes, packets[1]);
  t.true(harness.retransmissions[0]!.at - sentAt <= 4 * ROUND_TRIP_MS);
  harness.receive(computeSequenceAfter(4));
  harness.runFor(1_000);
  t.is(harness.retransmissions.length, 1);
  t.is(harness.repair.figures.answersRepeated, 1);
  t.is(harness.repair.figures.answersRepeatedNeedlessly, 0);
  t.is(harness.repair.figures.answerBytesKept, 0);
});

test('packets that are only reordered are not retransmitted', (t) => {
  const harness = createHarnessWithFlow();
  harness.sendAnswer(4);
  harness.runFor(ROUND_TRIP_MS);
  harness.receive(computeSequenceAfter(1));
  harness.receive(computeSequenceAfter(1));
  harness.runFor(2);
  harness.receive(computeSequenceAfter(4));
  harness.runFor(1_000);
  t.is(harness.retransmissions.length, 0);
});

test('the second packet lost in a window follows the acknowledgement of the first', (t) => {
  const harness = createHarnessWithFlow();
  const packets = harness.sendAnswer(6);
  harness.runFor(ROUND_TRIP_MS);
  harness.receive(computeSequenceAfter(1));
  harness.receive(computeSequenceAfter(1));
  harness.runFor(3 * ROUND_TRIP_MS);
  harness.receive(computeSequenceAfter(3));
  harness.runFor(ROUND_TRIP_MS);
  t.deepEqual(
    harness.retransmissions.map(({ bytes }) => bytes),
    [packets[1], packets[3]],
  );
});

test('the last packet of an answer is retransmitted well before the target does so', (t) => {
  const harness = createHarnessWithFlow();
  const sentAt = harness.clock.now;
  const packets = harness.sendAnswer(4);
  harness.runFor(ROUND_TRIP_MS);
  harness.receive(computeSequenceAfter(2));
  harness.runFor(50);
  t.is(harness.retransmissions.length, 1);
  t.deepEqual(harness.retransmissions[0]!.bytes, packets[3]);
  t.true(harness.retransmissions[0]!.at - sentAt < 60);
  harness.receive(computeSequenceAfter(4));
  harness.runFor(1_000);
  t.is(harness.retransmissions.length, 1);
});

test('a lost SYN-ACK is retransmitted, but not once the client continues', (t) => {
  const harness = new RepairHarness();
  harness.measureRoundTrip();
  const sentAt = harness.clock.now;
  const opening = harness.send(OPENING_SEQUENCE, '', Flag.syn | Flag.ack);
  harness.runFor(45);
  t.deepEqual(
    harness.retransmissions.map(({ bytes }) => bytes),
    [opening],
  );
  t.true(harness.retransmissions[0]!.at - sentAt < 45);
  harness.receive(OPENING_SEQUENCE + 1);
  harness.runFor(1_000);
  t.is(harness.retransmissions.length, 1);
});

test('a lost acknowledgement causes one retransmission, which is counted as spurious', (t) => {
  const harness = createHarnessWithFlow();
  harness.sendAnswer(2);
  harness.runFor(3 * ROUND_TRIP_MS + 2);
  t.is(harness.retransmissions.length, 1);
  harness.receive(computeSequenceAfter(2));
  harness.runFor(1_000);
  t.is(harness.retransmissions.length, 1);
  t.is(harness.repair.figures.answersRepeatedNeedlessly, 1);
});

test('the timeout adapts to delayed acknowledgements of single packets', (t) => {
  const harness = new RepairHarness();
  harness.measureRoundTrip();
  for (let port = 200; port < 240; port++) {
    harness.open(port);
    harness.send(OPENING_SEQUENCE + 1, 'short', Flag.ack, port);
    harness.runFor(40);
    harness.receive(OPENING_SEQUENCE + 6, Flag.ack, '', port);
  }
  t.is(harness.retransmissions.length, 0);
});

test('the initial timeout leaves time for one retransmission', (t) => {
  const harness = new RepairHarness();
  harness.send(OPENING_SEQUENCE, '', Flag.syn | Flag.ack);
  harness.runFor(TARGET_TIMEOUT_MS / 2 - 5);
  t.is(harness.retransmissions.length, 0);
  harness.runFor(1_000);
  t.is(harness.retransmissions.length, 1);
});

test('a vanished client gets two retransmissions, none after the target starts its own', (t) => {
  const harness = createHarnessWithFlow();
  const sentAt = harness.clock.now;
  harness.sendAnswer(16);
  harness.runFor(5_000);
  t.is(harness.retransmissions.length, 2);
  t.true(harness.retransmissions.every(({ at }) => at - sentAt < TARGET_TIMEOUT_MS));
  t.is(harness.repair.figures.answerBytesKept, 0);
});

test('no packet is retransmitted more than twice, despite many duplicate acknowledgements', (t) => {
  const harness = createHarnessWithFlow();
  harness.sendAnswer(4);
  for (let count = 0; count < 40; count++) {
    harness.runFor(5);
    harness.receive(computeSequenceAfter(0));
  }
  const [first] = harness.retransmissions;
  t.true(harness.retransmissions.filter(({ bytes }) => bytes.equals(first!.bytes)).length <= 2);
  t.true(harness.retransmissions.length <= 4);
});

test('packets that arrive reordered from their target are not taken for retransmissions', (t) => {
  const harness = createHarnessWithFlow();
  const sentAt = harness.clock.now;
  harness.send(computeSequenceAfter(2) + 5, '', Flag.fin | Flag.ack);
  harness.send(computeSequenceAfter(2), 'short');
  const [, second] = harness.sendAnswer(2);
  harness.runFor(ROUND_TRIP_MS);
  harness.receive(computeSequenceAfter(1));
  harness.runFor(ROUND_TRIP_MS);
  harness.receive(computeSequenceAfter(1));
  harness.runFor(3 * ROUND_TRIP_MS);
  t.deepEqual(
    harness.retransmissions.map(({ bytes }) => bytes),
    [second],
  );
  t.true(harness.retransmissions[0]!.at - sentAt <= 5 * ROUND_TRIP_MS);
  harness.receive(computeSequenceAfter(2) + 6);
  harness.runFor(1_000);
  t.is(harness.retransmissions.length, 1);
  t.is(harness.repair.figures.answerBytesKept, 0);
});

test('an answer after a long pause is repaired, whichever packet arrives first', (t) => {
  const harness = createHarnessWithFlow();
  harness.runFor(FLOW_LIFETIME_MS - 1_000);
  harness.send(computeSequenceAfter(1), 'short');
  const [first] = harness.sendAnswer(1);
  harness.runFor(ROUND_TRIP_MS);
  harness.receive(computeSequenceAfter(0));
  harness.runFor(4 * ROUND_TRIP_MS);
  t.deepEqual(
    harness.retransmissions.map(({ bytes }) => bytes),
    [first],
  );
});

test('a flow idle for its lifetime is removed when others open', (t) => {
  const harness = createHarnessWithFlow();
  harness.runFor(FLOW_LIFETIME_MS + 1);
  harness.open(2);
  harness.receive(computeSequenceAfter(0), Flag.fin | Flag.ack);
  const [first] = harness.sendAnswer(1);
  harness.runFor(100);
  t.deepEqual(harness.retransmissions[0]?.bytes, first);
});

test("a target's fast retransmit replaces one by the agent", (t) => {
  const harness = createHarnessWithFlow();
  const packets = harness.sendAnswer(4);
  harness.runFor(ROUND_TRIP_MS);
  harness.receive(computeSequenceAfter(0));
  harness.receive(computeSequenceAfter(0));
  harness.receive(computeSequenceAfter(0));
  harness.send(computeSequenceAfter(0), FULL_PAYLOAD);
  harness.runFor(2.5 * ROUND_TRIP_MS);
  t.is(harness.retransmissions.length, 0);
  harness.receive(computeSequenceAfter(3));
  harness.runFor(ROUND_TRIP_MS);
  t.deepEqual(
    harness.retransmissions.map(({ bytes }) => bytes),
    [packets[3]],
  );
});

test('after a timeout of the target its packets are left to it; later ones are repaired', (t) => {
  const harness = createHarnessWithFlow();
  harness.sendAnswer(2);
  harness.runFor(TARGET_TIMEOUT_MS);
  const countBefore = harness.retransmissions.length;
  harness.send(OPENING_SEQUENCE + 1, FULL_PAYLOAD);
  harness.runFor(400);
  harness.send(OPENING_SEQUENCE + 1, FULL_PAYLOAD);
  harness.runFor(800);
  t.is(harness.retransmissions.length, countBefore);
  harness.retransmissions.length = 0;
  harness.receive(computeSequenceAfter(2));
  const next = harness.sendAnswer(2, computeSequenceAfter(2));
  harness.runFor(40);
  t.deepEqual(
    harness.retransmissions.map(({ bytes }) => bytes),
    [next[1]],
  );
});

test('packets that the target retransmits after their acknowledgement are not buffered', (t) => {
  const harness = createHarnessWithFlow();
  harness.sendAnswer(2);
  harness.receive(computeSequenceAfter(2));
  harness.sendAnswer(1);
  harness.runFor(1_000);
  t.is(harness.retransmissions.length, 0);
});

/** A single flow with two answer packets sent at time 0 and a round trip of 40 ms. */
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

test('a gap counts as a loss only after the reordering window', (t) => {
  const flow = createFlow();
  const client = encodePacket([CLIENT_ADDRESS, 1], ROUTE, Flag.ack, 7, computeSequenceAfter(0));
  flow.handleAcknowledgement(packetFormat.decodeFromClient(client)!, 45);
  t.is(flow.takeDuePacket(60), undefined);
  t.is(flow.takeDuePacket(66)!.sequence, computeSequenceAfter(0));
});

test('just before the target would retransmit a packet, it is left to the target', (t) => {
  t.not(createFlow().takeDuePacket(189), undefined);
  t.is(createFlow().takeDuePacket(195), undefined);
});

const endings: readonly (readonly [string, (harness: RepairHarness) => void])[] = [
  [
    'the client closes it',
    (harness) => harness.receive(computeSequenceAfter(0), Flag.fin | Flag.ack),
  ],
  ['the client resets it', (harness) => harness.receive(0, Flag.rst)],
  ['the target resets it', (harness) => void harness.send(computeSequenceAfter(3), '', Flag.rst)],
  ['the target does not hold it', (harness) => harness.repair.removeFlow(createFlowKey())],
  ['the target is replaced', (harness) => harness.repair.clear()],
  ['the agent stops', (harness) => harness.repair.stop()],
];

function createFlowKey(): string {
  const bytes = encodePacket([CLIENT_ADDRESS, 1], ROUTE, 0, 0, 0);
  return packetFormat.decodeFromClient(bytes)!.flow;
}

for (const [name, end] of endings) {
  test(`nothing of a flow is retransmitted once ${name}`, (t) => {
    const harness = createHarnessWithFlow();
    harness.sendAnswer(3);
    harness.runFor(5);
    end(harness);
    harness.runFor(1_000);
    t.is(harness.retransmissions.length, 0);
    t.is(harness.repair.figures.answerBytesKept, 0);
  });
}

test('packets that the target sends on a flow closed by its client are not retransmitted', (t) => {
  const harness = createHarnessWithFlow();
  harness.receive(computeSequenceAfter(0), Flag.fin | Flag.ack);
  harness.sendAnswer(2);
  harness.send(computeSequenceAfter(2), '', Flag.fin | Flag.ack);
  harness.runFor(1_000);
  t.is(harness.retransmissions.length, 0);
});

test('the FIN of a target is retransmitted like data until it is acknowledged', (t) => {
  const harness = createHarnessWithFlow();
  const end = harness.send(computeSequenceAfter(0), '', Flag.fin | Flag.ack);
  harness.runFor(120);
  t.deepEqual(harness.retransmissions[0]!.bytes, end);
  harness.receive(computeSequenceAfter(0) + 1, Flag.fin | Flag.ack);
  const { length } = harness.retransmissions;
  harness.runFor(1_000);
  t.is(harness.retransmissions.length, length);
});

test('a SYN-ACK is retransmitted once: its client may have continued elsewhere', (t) => {
  const harness = new RepairHarness();
  harness.measureRoundTrip();
  harness.send(OPENING_SEQUENCE, '', Flag.syn | Flag.ack);
  harness.runFor(1_000);
  t.is(harness.retransmissions.length, 1);
});

test('nothing of a flow is retransmitted once its client reopens it', (t) => {
  const harness = createHarnessWithFlow();
  harness.sendAnswer(3);
  harness.receive(0, Flag.syn);
  harness.runFor(1_000);
  t.is(harness.retransmissions.length, 0);
});

test('a retransmitted SYN does not stop the repair of the SYN-ACK', (t) => {
  const harness = new RepairHarness();
  harness.measureRoundTrip();
  const opening = harness.send(OPENING_SEQUENCE, '', Flag.syn | Flag.ack);
  harness.receive(1, Flag.syn);
  harness.runFor(100);
  t.deepEqual(
    harness.retransmissions.map(({ bytes }) => bytes),
    [opening],
  );
});

test('a new flow between the same endpoints replaces the old one', (t) => {
  const harness = createHarnessWithFlow();
  harness.receive(computeSequenceAfter(0), Flag.fin | Flag.ack);
  const opening = harness.send(77, '', Flag.syn | Flag.ack);
  harness.runFor(30);
  t.deepEqual(
    harness.retransmissions.map(({ bytes }) => bytes),
    [opening],
  );
});

test('an agent that restarts during an answer retransmits only packets sent since', (t) => {
  const harness = createHarnessWithFlow();
  harness.sendAnswer(2);
  harness.restart();
  const [third] = harness.sendAnswer(1, computeSequenceAfter(2));
  harness.receive(computeSequenceAfter(1));
  harness.receive(computeSequenceAfter(1));
  harness.runFor(TARGET_TIMEOUT_MS);
  t.deepEqual(
    harness.retransmissions.map(({ bytes }) => bytes),
    [third],
  );
  harness.receive(computeSequenceAfter(3));
  harness.runFor(1_000);
  t.is(harness.retransmissions.length, 1);
});

test('sequence numbers wrap around within an answer', (t) => {
  const harness = new RepairHarness();
  harness.measureRoundTrip();
  const opening = 2 ** 32 - 1_500;
  harness.open(1, opening);
  const packets = harness.sendAnswer(4, opening + 1);
  harness.runFor(ROUND_TRIP_MS);
  harness.receive(opening + 1 + FULL_PACKET_BYTES);
  harness.receive(opening + 1 + FULL_PACKET_BYTES);
  harness.runFor(3 * ROUND_TRIP_MS);
  t.deepEqual(
    harness.retransmissions.map(({ bytes }) => bytes),
    [packets[1]],
  );
  harness.receive(opening + 1 + 4 * FULL_PACKET_BYTES);
  harness.runFor(1_000);
  t.is(harness.retransmissions.length, 1);
});

test('acknowledgements that are old, of another flow or of unsent data are ignored', (t) => {
  const harness = createHarnessWithFlow();
  harness.sendAnswer(2);
  harness.receive(computeSequenceAfter(0) - 1);
  harness.receive(computeSequenceAfter(2) + 1);
  harness.receive(computeSequenceAfter(2), Flag.ack, '', 2);
  harness.receive(computeSequenceAfter(2), Flag.syn);
  harness.runFor(30);
  t.is(harness.retransmissions.length, 1);
});

test('one timer serves all flows, and none runs while nothing is buffered', (t) => {
  const harness = new RepairHarness();
  for (let port = 1; port <= 100; port++) {
    harness.send(OPENING_SEQUENCE, '', Flag.syn | Flag.ack, port);
    harness.runFor(0.1);
  }
  t.is(harness.delays.length, 1);
  for (let port = 1; port <= 100; port++) {
    harness.receive(OPENING_SEQUENCE + 1, Flag.ack, 'GET', port);
  }
  harness.runFor(10_000);
  t.is(harness.delays.length, 1);
  t.true(harness.delays.every((delay) => Number.isFinite(delay)));
});

test('after a late timer acknowledgements are read before any retransmission', (t) => {
  const clock = new VirtualClock();
  let lateness = 0;
  const retransmissions: Buffer[] = [];
  const repair = new AnswerRepair({
    environment: { ...createEnvironment(clock, []), now: () => clock.now + lateness },
    isEnabled: true,
    flowLifetime: FLOW_LIFETIME_MS,
    sendToClient: (_client, bytes) => retransmissions.push(bytes),
  });
  const client = [CLIENT_ADDRESS, 1] as const;
  const opening = encodePacket(ROUTE, client, Flag.syn | Flag.ack, OPENING_SEQUENCE, 7);
  repair.recordSent(packetFormat.decodeFromTarget(opening)!);
  lateness = 60;
  clock.runUntil(TARGET_TIMEOUT_MS / 2);
  t.is(retransmissions.length, 0);
  const next = encodePacket(client, ROUTE, Flag.ack, 7, OPENING_SEQUENCE + 1);
  repair.handleClientPacket(packetFormat.decodeFromClient(next)!);
  clock.runUntil(1_000);
  t.is(retransmissions.length, 0);
});

test('a burst of losses is limited by the budget, which is logged once a second', (t) => {
  const harness = new RepairHarness();
  for (let port = 1; port <= 1_000; port++) {
    harness.send(OPENING_SEQUENCE, '', Flag.syn | Flag.ack, port);
  }
  harness.runFor(1_000);
  const { answersRepeated, answerRepairsWithheld } = harness.repair.figures;
  t.is(harness.retransmissions.length, answersRepeated);
  t.is(answersRepeated, 20);
  t.is(answerRepairsWithheld, 1_000 - answersRepeated);
  t.is(harness.limitReports.length, 1);
});

test('a tenth of the packets sent after a burst of losses is added to the budget', (t) => {
  const harness = new RepairHarness();
  const seconds = 2;
  for (let port = 1; port <= 2_000; port++) {
    harness.send(OPENING_SEQUENCE, '', Flag.syn | Flag.ack, port);
    harness.runFor((seconds * 1_000) / 2_000);
  }
  harness.runFor(1_000);
  const { answersRepeated } = harness.repair.figures;
  const earned = 2_000 / 10;
  t.true(answersRepeated > earned && answersRepeated <= 20 + earned + 10 * (seconds + 1));
});

test('a suppressed retransmission does not invalidate the round-trip sample of its packet', (t) => {
  const harness = new RepairHarness();
  const roundTrip = 150;
  for (let port = 1; port <= 100; port++) {
    harness.send(OPENING_SEQUENCE, '', Flag.syn | Flag.ack, port);
  }
  harness.runFor(roundTrip);
  for (let port = 1; port <= 100; port++) {
    harness.receive(OPENING_SEQUENCE + 1, Flag.ack, 'GET', port);
  }
  const { answersRepeated, answerRepairsWithheld } = harness.repair.figures;
  t.true(answerRepairsWithheld > 0);
  harness.runFor(5_000);
  harness.send(OPENING_SEQUENCE, '', Flag.syn | Flag.ack, 101);
  harness.runFor(roundTrip);
  harness.receive(OPENING_SEQUENCE + 1, Flag.ack, 'GET', 101);
  t.is(harness.repair.figures.answersRepeated, answersRepeated);
});

test('the buffer stays within its limit when many answers are unacknowledged', (t) => {
  const harness = new RepairHarness();
  for (let port = 1; port <= 1_000; port++) {
    for (let packet = 0; packet < 20; packet++) {
      harness.send(OPENING_SEQUENCE + packet * FULL_PACKET_BYTES, FULL_PAYLOAD, Flag.ack, port);
    }
  }
  const kept = harness.repair.figures.answerBytesKept;
  t.true(kept > 7 * 1_024 * 1_024 && kept <= 8 * 1_024 * 1_024);
  t.true(harness.repair.figures.answerRepairsWithheld > 0);
  harness.runFor(1_000);
  t.is(harness.repair.figures.answerBytesKept, 0);
});

test('the number of flows is limited: the flow idle for longest is removed', (t) => {
  const harness = new RepairHarness();
  const opening = harness.send(OPENING_SEQUENCE, '', Flag.syn | Flag.ack, 1);
  for (let port = 2; port <= 6_000; port++) {
    harness.send(OPENING_SEQUENCE, '', Flag.syn | Flag.ack, port);
  }
  t.is(harness.repair.figures.answerBytesKept, 4_096 * opening.length);
});

test('when disabled, nothing is buffered or retransmitted', (t) => {
  const harness = new RepairHarness(false);
  harness.open();
  harness.sendAnswer(4);
  t.is(harness.repair.figures.answerBytesKept, 0);
  harness.runFor(1_000);
  t.is(harness.retransmissions.length, 0);
});

const SETTINGS = {
  name: 'agent-1',
  zone: 'north',
  address: '10.0.0.1:7000',
  clientPort: 7001,
  storeAddress: '10.0.0.9:80',
};

test('the setting is on by default, 0 disables it, and other values are rejected', (t) => {
  t.true(checkPacketSettings('s', SETTINGS).unwrap().repairAnswers);
  t.false(checkPacketSettings('s', { ...SETTINGS, repairAnswers: 0 }).unwrap().repairAnswers);
  const wrong = checkPacketSettings('s', { ...SETTINGS, repairAnswers: 'yes' });
  t.deepEqual(wrong.err && wrong.val.details, ['repairAnswers: must be 1 or 0']);
});

/** An agent with a ready target and one flow. */
class RepairingAgentHarness extends AgentHarness {
  constructor(repairAnswers: boolean) {
    super({ repairAnswers, repairHops: true, priorityQueue: true });
    this.sendHeartbeat('i-1');
  }

  sendHeartbeat(incarnation: string): void {
    const heartbeat = { service: 'map', slots: 1, draining: false, coldLeft: 0, sequence: 1 };
    this.agent.handleHeartbeat({ ...heartbeat, incarnation });
  }

  /** Delivers a client's packet from a balancer. */
  deliver(flags: number, acknowledgement: number, data = ''): void {
    const client = [CLIENT_ADDRESS, 1] as const;
    const payload = encodePacket(client, ROUTE, flags, 7, acknowledgement, data);
    const services = ['map'];
    const message = { type: PacketMessageType.deliver, searchId: 1, services, payload } as const;
    this.receive(message);
  }

  send(sequence: number, data: string, flags: number = Flag.ack): Buffer {
    const bytes = encodePacket(ROUTE, [CLIENT_ADDRESS, 1], flags, sequence, 7, data);
    const original = Buffer.from(bytes);
    this.agent.handleTargetDatagram(bytes);
    return original;
  }

  /** Opens the flow and sends the client's request. */
  open(): void {
    this.deliver(Flag.syn, 0);
    this.send(OPENING_SEQUENCE, '', Flag.syn | Flag.ack);
    this.runFor(ROUND_TRIP_MS);
    this.deliver(Flag.ack, OPENING_SEQUENCE + 1, 'GET');
  }
}

test('an agent detects a loss from the acknowledgements it forwards and retransmits', (t) => {
  const harness = new RepairingAgentHarness(true);
  harness.open();
  const packets = [0, 1, 2, 3].map((index) =>
    harness.send(computeSequenceAfter(index), FULL_PAYLOAD),
  );
  harness.runFor(ROUND_TRIP_MS);
  harness.deliver(Flag.ack, computeSequenceAfter(1));
  harness.deliver(Flag.ack, computeSequenceAfter(1));
  harness.runFor(4 * ROUND_TRIP_MS);
  t.is(harness.toClient.length, 6);
  t.deepEqual(harness.toClient[5]!.bytes, packets[1]);
  harness.deliver(Flag.ack, computeSequenceAfter(4));
  harness.runFor(1_000);
  t.is(harness.toClient.length, 6);
  t.is(harness.agent.figures.answersRepeated, 1);
  t.is(harness.toTarget.length, 5);
});

test('an agent drops the buffered answers of a target that is replaced at its address', (t) => {
  const harness = new RepairingAgentHarness(true);
  harness.open();
  harness.send(computeSequenceAfter(0), FULL_PAYLOAD);
  harness.sendHeartbeat('i-2');
  harness.runFor(1_000);
  t.is(harness.toClient.length, 2);
});

test('an agent with answer repair disabled retransmits nothing', (t) => {
  const harness = new RepairingAgentHarness(false);
  harness.open();
  harness.send(computeSequenceAfter(0), FULL_PAYLOAD);
  harness.runFor(1_000);
  t.is(harness.toClient.length, 2);
});

test('a packet rejected by the target stops the retransmissions of its flow', (t) => {
  const harness = new RepairingAgentHarness(true);
  harness.open();
  harness.send(computeSequenceAfter(0), FULL_PAYLOAD);
  const returned = Buffer.from(harness.toTarget.at(-1)!);
  returned[30]! |= Flag.bounced;
  harness.agent.handleTargetDatagram(returned);
  harness.runFor(1_000);
  t.is(harness.toClient.length, 2);
});

/** A deployment whose links lose 2 % of datagrams. */
function simulateLossyLinks(repairAnswers: boolean): PacketSimulation {
  const simulation = new PacketSimulation(2_708);
  simulation.repairAnswers = repairAnswers;
  startModelDeployment(simulation);
  simulation.network.quality.loss = 0.02;
  openModelFlows(simulation, 60, 20, 50);
  simulation.runFor(20_000);
  return simulation;
}

/** Answers delayed as long as a retransmission by their client or target takes. */
function countDelayedAnswers({ clients }: PacketSimulation): number {
  const gaps = clients.flatMap(({ startedAt, answeredAt }) =>
    answeredAt.map((at, index) => at - (answeredAt[index - 1] ?? startedAt)),
  );
  return gaps.filter((gap) => gap >= TARGET_TIMEOUT_MS).length;
}

test('over lossy links every answer arrives once and complete, and fewer are delayed', (t) => {
  const without = simulateLossyLinks(false);
  const repaired = simulateLossyLinks(true);
  const retransmissions = repaired.agents.map(({ node }) => node.figures.answersRepeated);
  t.true(retransmissions.reduce((sum, count) => sum + count, 0) > 0);
  t.true(repaired.clients.every(({ state, answers }) => state === 'done' && answers === 20));
  t.deepEqual(Object.values(repaired.violations).flat(), []);
  t.true(countDelayedAnswers(repaired) < countDelayedAnswers(without));
});

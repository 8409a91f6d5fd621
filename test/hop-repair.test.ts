/** Hop repair: retransmission of messages lost between a balancer and an agent. */
import test from 'ava';
import { ResultCodes } from '../src/errors/result-codes';
import { Events } from '../src/logging/events';
import { PacketFrameCodec } from '../src/packets/packet-frames';
import {
  FIRST_FRAME_VERSION,
  MAXIMUM_ACKNOWLEDGED_SEQUENCES,
  PacketMessageType,
  HOP_REPAIR_VERSION,
  CONCLUSIVE_SEARCH_VERSION,
  type PacketMessage,
} from '../src/packets/packet-messages';
import { RepairBudget } from '../src/packets/repair/repair-budget';
import { HopReceiver } from '../src/packets/repair/hop-receiver';
import { SequenceWindow, WINDOW_SIZE } from '../src/packets/repair/sequence-window';
import { RoundTripEstimator } from '../src/packets/repair/round-trip-estimator';
import { ModelFlag } from '../src/simulation/packets/model-packet-format';
import { SeededRandom } from '../src/simulation/seeded-random';
import { PacketSimulation } from '../src/simulation/packets/packet-simulation';
import {
  countViolations,
  MAP_DESTINATION,
  openModelFlows,
  startModelDeployment,
} from '../src/simulation/packets/random-faults';
import { HopNetwork, HopNode, dropFirst, ONE_WAY_MS } from './support/hop-pair';
import { RouterHarness } from './support/router-harness';

const BALANCER = 1;
const AGENT = 2;
const { deliver, notHeld, numberedDeliver, numberedRefusal, received } = PacketMessageType;
/** Time after which no message is in flight or buffered any more. */
const SETTLED_MS = 1_000;

interface Pair {
  readonly network: HopNetwork;
  readonly balancer: HopNode;
  readonly agent: HopNode;
}

/** A balancer and an agent that know each other's protocol versions. */
function startPair(balancerVersion = HOP_REPAIR_VERSION, agentVersion = HOP_REPAIR_VERSION): Pair {
  const network = new HopNetwork();
  const balancer = network.attach(new HopNode(BALANCER, network, () => 0.5));
  const agent = network.attach(new HopNode(AGENT, network, () => 0.25));
  balancer.link.recordVersion(AGENT, agentVersion);
  agent.link.recordHopRepair(BALANCER, balancerVersion);
  return { network, balancer, agent };
}

/** Lets the pair measure its round trip. */
function warmUp({ network, balancer, agent }: Pair, messages = 10): void {
  for (let count = 0; count < messages; count++) {
    balancer.send(AGENT, 'warm');
    agent.refuse(BALANCER, 'warm');
    network.runFor(10);
  }
  network.frames.length = 0;
  balancer.accepted.length = 0;
  agent.accepted.length = 0;
}

test('a lost delivery is retransmitted long before the client would, and accepted once', (t) => {
  const pair = startPair();
  warmUp(pair);
  const { network, balancer, agent } = pair;
  network.isLost = dropFirst(numberedDeliver);
  const sentAt = network.clock.now;
  balancer.send(AGENT);
  network.runFor(SETTLED_MS);
  const frames = balancer.findSentFrames(numberedDeliver);
  t.deepEqual(
    frames.map(({ at }) => at - sentAt),
    [0, 20],
  );
  t.deepEqual(frames[0]!.message, frames[1]!.message);
  t.is(agent.accepted.length, 1);
  t.is(agent.accepted[0]!.type, deliver);
  t.is(balancer.hops.counters.hopRepeats, 1);
  t.is(agent.hops.counters.hopDuplicates, 0);
});

test('a delivery whose acknowledgement is lost is acknowledged again but not accepted again', (t) => {
  const pair = startPair();
  warmUp(pair);
  const { network, balancer, agent } = pair;
  network.isLost = dropFirst(received);
  balancer.send(AGENT);
  network.runFor(SETTLED_MS);
  t.is(balancer.findSentFrames(numberedDeliver).length, 2);
  t.is(agent.findSentFrames(received).length, 2);
  t.is(agent.accepted.length, 1);
  t.is(agent.hops.counters.hopDuplicates, 1);
  t.is(balancer.hops.counters.hopRepeats, 1);
});

test('a lost refusal is retransmitted and accepted once', (t) => {
  const pair = startPair();
  warmUp(pair);
  const { network, balancer, agent } = pair;
  network.isLost = dropFirst(numberedRefusal);
  agent.refuse(BALANCER);
  network.runFor(SETTLED_MS);
  t.is(agent.findSentFrames(numberedRefusal).length, 2);
  t.deepEqual(
    balancer.accepted.map(({ type }) => type),
    [notHeld],
  );
});

test('a message is retransmitted three times within 150 ms, then left to the client', (t) => {
  const pair = startPair();
  warmUp(pair);
  const { network, balancer } = pair;
  network.isLost = () => true;
  const sentAt = network.clock.now;
  balancer.send(AGENT);
  network.runFor(SETTLED_MS);
  t.deepEqual(
    balancer.findSentFrames(numberedDeliver).map(({ at }) => at - sentAt),
    [0, 20, 60, 140],
  );
});

test('before the first acknowledgement the timeout is longer, with two retransmissions', (t) => {
  const { network, balancer } = startPair();
  network.isLost = () => true;
  balancer.send(AGENT);
  network.runFor(SETTLED_MS);
  t.deepEqual(
    balancer.findSentFrames(numberedDeliver).map(({ at }) => at),
    [0, 30, 90],
  );
});

test('SYN, data and RST are numbered; FIN, acknowledgements and searched packets are not', (t) => {
  const { network, balancer, agent } = startPair();
  balancer.send(AGENT, '', { flags: ModelFlag.opens, searchId: 9 });
  balancer.send(AGENT, '', { flags: ModelFlag.ends });
  balancer.send(AGENT, '', { flags: ModelFlag.resets });
  balancer.send(AGENT, 'request');
  balancer.send(AGENT, '');
  balancer.send(AGENT, 'request', { searchId: 9 });
  network.runFor(SETTLED_MS);
  t.is(balancer.findSentFrames(numberedDeliver).length, 3);
  t.is(balancer.findSentFrames(deliver).length, 3);
  t.is(agent.accepted.length, 6);
  t.is(agent.findSentFrames(received).length, 3);
});

test('agents and balancers of earlier versions get plain deliveries and refusals', (t) => {
  const { network, balancer, agent } = startPair(FIRST_FRAME_VERSION, CONCLUSIVE_SEARCH_VERSION);
  balancer.send(AGENT);
  agent.refuse(BALANCER);
  network.runFor(SETTLED_MS);
  t.deepEqual(
    network.frames.map(({ message }) => message.type),
    [deliver, notHeld],
  );
});

test('a balancer that numbers its packets gets numbered refusals', (t) => {
  const { network, balancer, agent } = startPair(FIRST_FRAME_VERSION);
  balancer.send(AGENT);
  network.runFor(10);
  agent.refuse(BALANCER);
  network.runFor(10);
  t.is(agent.findSentFrames(numberedRefusal).length, 1);
  t.is(balancer.accepted.length, 1);
});

test('a balancer whose version is announced late or never still gets compact frames', (t) => {
  const { network, agent, balancer } = startPair(FIRST_FRAME_VERSION, CONCLUSIVE_SEARCH_VERSION);
  balancer.send(AGENT);
  network.runFor(10);
  agent.link.recordHopRepair(BALANCER, FIRST_FRAME_VERSION);
  t.true(agent.link.supportsCompactFrames(BALANCER));
  agent.link.recordHopRepair(BALANCER, HOP_REPAIR_VERSION);
  agent.link.recordCompactFrames(BALANCER);
  t.true(agent.link.supportsHopRepair(BALANCER));
});

test('with the setting off nothing is numbered, but numbered messages are acknowledged', (t) => {
  const { network, agent } = startPair();
  const silent = network.attach(new HopNode(BALANCER, network, () => 0.5, false));
  silent.link.recordVersion(AGENT, HOP_REPAIR_VERSION);
  silent.send(AGENT);
  agent.refuse(BALANCER);
  network.runFor(SETTLED_MS);
  t.is(silent.findSentFrames(deliver).length, 1);
  t.is(agent.findSentFrames(numberedRefusal).length, 1);
  t.is(silent.findSentFrames(received).length, 1);
  t.is(silent.accepted.length, 1);
});

test('a restarted agent has lost its windows: each incarnation accepts a message once', (t) => {
  const pair = startPair();
  warmUp(pair);
  const { network, balancer, agent } = pair;
  network.isLost = dropFirst(received, 2);
  balancer.send(AGENT);
  network.runFor(10);
  const next = network.attach(new HopNode(AGENT, network, () => 0.75));
  network.runFor(SETTLED_MS);
  t.is(agent.accepted.length, 1);
  t.is(next.accepted.length, 1);
  t.is(next.hops.counters.hopDuplicates, 1);
  balancer.send(AGENT, 'another');
  network.runFor(SETTLED_MS);
  t.is(next.accepted.length, 2);
});

test('numbers of a restarted balancer are not taken for duplicates, wherever they start', (t) => {
  for (const draws of [0.5000001, 0.4999999, 0.1, 0.9]) {
    const pair = startPair();
    warmUp(pair);
    const { network, agent } = pair;
    let drawn = 0;
    // The session differs; the numbers start close to those of the previous incarnation.
    const random = (): number => (drawn++ === 0 ? 0.3 : draws);
    const next = network.attach(new HopNode(BALANCER, network, random));
    next.link.recordVersion(AGENT, HOP_REPAIR_VERSION);
    for (let count = 0; count < 30; count++) {
      next.send(AGENT, `packet ${count}`);
    }
    network.runFor(SETTLED_MS);
    t.is(agent.accepted.length, 30);
    t.is(agent.hops.counters.hopDuplicates, 0);
    t.is(next.hops.counters.hopRepeats, 0);
  }
});

test('a delayed duplicate from before a restart is still detected', (t) => {
  const receiver = new HopReceiver();
  const before = { session: 1, sequence: 10 };
  t.true(receiver.recordReceived(BALANCER, before, 0));
  t.true(receiver.recordReceived(BALANCER, { session: 2, sequence: 10 }, 1));
  t.false(receiver.recordReceived(BALANCER, before, 2));
  t.true(receiver.recordReceived(BALANCER, { session: 1, sequence: 11 }, 3));
  t.false(receiver.recordReceived(BALANCER, { session: 2, sequence: 10 }, 4));
});

test('an acknowledgement of another session is ignored', (t) => {
  const pair = startPair();
  warmUp(pair);
  const { network, balancer } = pair;
  network.isLost = ({ message }) => message.type === numberedDeliver;
  balancer.send(AGENT);
  const [frame] = balancer.findSentFrames(numberedDeliver);
  const { message } = frame!;
  if (message.type === numberedDeliver) {
    const { session, sequence } = message;
    const late = { type: received, session: session + 1, sequences: [sequence] } as const;
    t.is(balancer.hops.receive(AGENT, late), undefined);
  }
  network.runFor(SETTLED_MS);
  t.is(balancer.hops.counters.hopRepeats, 3);
});

test('nothing is retransmitted to an unresponsive agent', (t) => {
  const pair = startPair();
  warmUp(pair);
  const { network, balancer } = pair;
  network.isLost = () => true;
  balancer.isReachable = false;
  balancer.send(AGENT);
  network.runFor(SETTLED_MS);
  t.is(balancer.findSentFrames(numberedDeliver).length, 1);
  t.is(balancer.hops.counters.hopRepeatsSuppressed, 3);
});

test('on a cut link retransmissions stop after six timeouts and resume once it is healed', (t) => {
  const pair = startPair();
  warmUp(pair, 100);
  const { network, balancer, agent } = pair;
  network.isLost = () => true;
  for (let count = 0; count < 50; count++) {
    balancer.send(AGENT);
    network.runFor(5);
  }
  network.runFor(SETTLED_MS);
  t.is(balancer.hops.counters.hopRepeats, 6);
  network.isLost = dropFirst(numberedDeliver);
  balancer.send(AGENT, 'lost');
  balancer.send(AGENT, 'not lost');
  network.runFor(SETTLED_MS);
  t.is(agent.accepted.length, 2);
  t.is(balancer.hops.counters.hopRepeats, 7);
});

test('messages lost during a short cut are retransmitted after it', (t) => {
  const pair = startPair();
  warmUp(pair, 200);
  const { network, balancer, agent } = pair;
  network.isLost = () => true;
  for (let count = 0; count < 10; count++) {
    balancer.send(AGENT, `packet ${count}`);
  }
  network.runFor(50);
  network.isLost = () => false;
  balancer.send(AGENT, 'after the cut');
  network.runFor(SETTLED_MS);
  t.is(agent.accepted.length, 11);
});

test('retransmissions stay within the budget, which is logged at most once a second', (t) => {
  const pair = startPair();
  warmUp(pair, 200);
  const { network, balancer } = pair;
  // One agent per message, so that none reaches the limit of consecutive timeouts.
  network.isLost = ({ to }) => to !== BALANCER;
  const messages = 400;
  for (let count = 0; count < messages; count++) {
    const other = AGENT + 1 + count;
    balancer.link.recordVersion(other, HOP_REPAIR_VERSION);
    balancer.send(other);
    network.runFor(2);
  }
  network.runFor(SETTLED_MS);
  const { hopRepeats, hopRepeatsSuppressed } = balancer.hops.counters;
  const seconds = (messages * 2 + 200) / 1_000;
  t.true(hopRepeats <= 20 + messages / 10 + 10 * seconds, `${hopRepeats} retransmissions`);
  t.true(hopRepeats >= messages / 10);
  t.true(hopRepeatsSuppressed > 0);
  const limited = balancer.events.filter((event) => event === Events.hopRepairsLimited);
  t.is(limited.length, 1);
});

test('a budget allows a burst and is refilled by messages and time, up to the burst', (t) => {
  const budget = new RepairBudget();
  const takeAllTokens = (now: number): number => {
    let taken = 0;
    while (budget.takeToken(now)) {
      taken++;
    }
    return taken;
  };
  t.is(takeAllTokens(0), 20);
  t.is(takeAllTokens(500), 5);
  for (let count = 0; count < 35; count++) {
    budget.recordMessage();
  }
  t.is(takeAllTokens(500), 3);
  t.is(takeAllTokens(1_000_000), 20);
});

test('after a pause of the process acknowledgements are read before any retransmission', (t) => {
  const pair = startPair();
  warmUp(pair);
  const { network, balancer } = pair;
  balancer.send(AGENT);
  balancer.pause(70);
  network.runFor(SETTLED_MS);
  t.is(balancer.findSentFrames(numberedDeliver).length, 1);
});

test('a process whose timers are always late still retransmits lost messages', (t) => {
  const pair = startPair();
  warmUp(pair);
  const { network, balancer, agent } = pair;
  network.isLost = dropFirst(numberedDeliver);
  balancer.send(AGENT);
  network.runFor(10);
  // Pauses longer than the timer tolerance, one after another, so that every timer is late.
  const pauseMs = 20;
  for (let elapsed = 0; elapsed < 100; elapsed += pauseMs) {
    balancer.pause(pauseMs);
    network.runFor(pauseMs);
  }
  t.is(balancer.findSentFrames(numberedDeliver).length, 2);
  t.is(agent.accepted.length, 1);
});

test('nothing is retransmitted to a node that restarted with an earlier version', (t) => {
  const pair = startPair();
  warmUp(pair);
  const { network, balancer, agent } = pair;
  network.isLost = () => true;
  balancer.send(AGENT);
  agent.refuse(BALANCER);
  network.runFor(10);
  balancer.link.recordVersion(AGENT, CONCLUSIVE_SEARCH_VERSION);
  agent.link.recordHopRepair(BALANCER, FIRST_FRAME_VERSION);
  network.runFor(SETTLED_MS);
  t.is(balancer.findSentFrames(numberedDeliver).length, 1);
  t.is(agent.findSentFrames(numberedRefusal).length, 1);
});

test('timers are cancelled when the node stops', (t) => {
  const { network, balancer, agent } = startPair();
  network.isLost = () => true;
  balancer.send(AGENT);
  agent.refuse(BALANCER);
  network.runFor(1.5);
  balancer.hops.stop();
  agent.hops.stop();
  network.runFor(SETTLED_MS);
  t.is(network.frames.length, 2);
});

test('a window distinguishes duplicates from reordered numbers', (t) => {
  const window = new SequenceWindow();
  const numbers = [100, 103, 101, 103, 102, 100, 101, 90, 90];
  t.deepEqual(
    numbers.map((number) => window.add(number)),
    [true, true, true, false, true, false, false, true, false],
  );
});

test('a window handles 32-bit wrap-around and drops numbers far below the highest', (t) => {
  const window = new SequenceWindow();
  t.true(window.add(0xffff_fffe));
  t.true(window.add(1));
  t.true(window.add(0xffff_ffff));
  t.true(window.add(0));
  t.deepEqual(
    [0xffff_fffe, 0xffff_ffff, 0, 1].map((number) => window.add(number)),
    [false, false, false, false],
  );
  t.true(window.add(WINDOW_SIZE));
  t.false(window.add(1));
  t.true(window.add(2));
  t.false(window.add(0), 'below the window');
  t.true(window.add(5 * WINDOW_SIZE));
  t.true(window.add(5 * WINDOW_SIZE - 1));
  t.false(window.add(WINDOW_SIZE));
});

test('a window agrees with a set of all numbers, in any order within its size', (t) => {
  const random = new SeededRandom(9);
  const window = new SequenceWindow();
  const seen = new Set<number>();
  let highest = 0xffff_f000;
  for (let round = 0; round < 20_000; round++) {
    highest += random.next() < 0.5 ? Math.floor(random.next() * 3) : 0;
    const number = (highest - Math.floor(random.next() * 200)) >>> 0;
    t.is(window.add(number), !seen.has(number));
    seen.add(number);
  }
});

test('the sequence numbers of a sender wrap around at 32 bits', (t) => {
  const network = new HopNetwork();
  const draws = [0.25, 1 - 2 ** -32];
  const balancer = network.attach(new HopNode(BALANCER, network, () => draws.shift() ?? 0));
  const agent = network.attach(new HopNode(AGENT, network, () => 0));
  balancer.link.recordVersion(AGENT, HOP_REPAIR_VERSION);
  network.isLost = dropFirst(numberedDeliver, 3);
  ['one', 'two', 'three'].forEach((data) => balancer.send(AGENT, data));
  network.runFor(SETTLED_MS);
  const sequences = balancer
    .findSentFrames(numberedDeliver)
    .map(({ message }) => message.type === numberedDeliver && message.sequence);
  t.deepEqual(sequences, [0xffff_ffff, 0, 1, 0xffff_ffff, 0, 1]);
  t.is(agent.accepted.length, 3);
});

test('windows are limited in number and dropped when idle', (t) => {
  const receiver = new HopReceiver();
  const number = { session: 1, sequence: 1 };
  for (let peer = 0; peer < 20_001; peer++) {
    receiver.recordReceived(peer, number, 0);
  }
  t.false(receiver.recordReceived(20_000, number, 1));
  t.true(receiver.recordReceived(0, number, 1), 'the oldest peer is evicted');
  receiver.expire(29_000);
  t.false(receiver.recordReceived(20_000, number, 29_000));
  receiver.expire(59_001);
  t.true(receiver.recordReceived(20_000, number, 59_001));
});

test('timeouts follow RFC 6298, within bounds', (t) => {
  const estimator = new RoundTripEstimator({ initial: 30, minimum: 5, maximum: 100 });
  t.is(estimator.smoothed, undefined);
  t.is(estimator.timeout, 30);
  estimator.addSample(8);
  t.is(estimator.smoothed, 8);
  t.is(estimator.timeout, 8 + 4 * 4);
  estimator.addSample(16);
  t.is(estimator.smoothed, 9);
  t.is(estimator.timeout, 9 + 4 * 5);
  for (let count = 0; count < 100; count++) {
    estimator.addSample(1);
  }
  t.is(estimator.timeout, 5);
  estimator.addSample(10_000);
  t.is(estimator.timeout, 100);
});

test('a retransmitted message gives no sample; the timeout stays doubled until the next one', (t) => {
  const pair = startPair();
  warmUp(pair, 50);
  const { network, balancer } = pair;
  const before = balancer.hops.getRoundTrip(AGENT)!;
  t.true(Math.abs(before - 2 * ONE_WAY_MS) < 0.5, `${before} ms`);
  t.is(balancer.hops.getRoundTrip(AGENT + 1), undefined);
  // The round trip now exceeds the timeout.
  network.delay = 13;
  const sentAt = network.clock.now;
  balancer.send(AGENT);
  network.runFor(100);
  t.is(balancer.findSentFrames(numberedDeliver).length, 2);
  t.is(balancer.hops.getRoundTrip(AGENT), before);
  balancer.send(AGENT);
  network.runFor(100);
  t.is(balancer.findSentFrames(numberedDeliver).filter(({ at }) => at > sentAt).length, 2);
  t.true(balancer.hops.getRoundTrip(AGENT)! > before);
});

/** Signs any body, as a faulty implementation with a valid key would. */
class BodySigner extends PacketFrameCodec {
  sign(body: Buffer): Buffer {
    const frame = Buffer.concat([Buffer.alloc(18), body]);
    this.sealFrame(frame, 2);
    return frame;
  }
}

const KEY = { id: 1, secret: Buffer.from('a-test-key-of-the-cluster') };
const NUMBER = { session: 0xffff_ffff, sequence: 0x8000_0001 };
const PAYLOAD = Buffer.from('a packet of a client');
const HOP_MESSAGES = [
  { type: numberedDeliver, ...NUMBER, searchId: 7, services: ['map', 'tiles'], payload: PAYLOAD },
  { type: numberedRefusal, ...NUMBER, searchId: 7, reason: 5, payload: PAYLOAD },
  { type: received, session: 0xffff_ffff, sequences: [0xffff_ffff, 0, 1] },
] as const;

test('numbered messages and acknowledgements survive encoding; damaged frames are rejected', (t) => {
  const codec = new PacketFrameCodec([KEY]);
  for (const message of HOP_MESSAGES) {
    const frame = codec.encodeCompact(message);
    t.deepEqual(codec.decode(frame).unwrap(), message as PacketMessage);
    for (let length = 0; length < frame.length; length++) {
      t.true(codec.decode(frame.subarray(0, length)).err);
    }
    for (let index = 0; index < frame.length; index++) {
      const changed = Buffer.from(frame);
      changed[index]! ^= 0x55;
      t.true(codec.decode(changed).err);
    }
  }
});

test('an authentic hop repair body that is truncated or too long is malformed', (t) => {
  const signer = new BodySigner([KEY]);
  const isMalformed = (body: Buffer): boolean => {
    const decoded = signer.decode(signer.sign(body));
    return decoded.err && decoded.val.resultCode === ResultCodes.frameMalformed;
  };
  const head = Buffer.from([received, 0, 0, 0, 1]);
  const lengths = [0, 1, 3, 5, 4 * MAXIMUM_ACKNOWLEDGED_SEQUENCES + 4];
  lengths.forEach((length) => t.true(isMalformed(Buffer.concat([head, Buffer.alloc(length)]))));
  const longest = Buffer.concat([head, Buffer.alloc(4 * MAXIMUM_ACKNOWLEDGED_SEQUENCES)]);
  t.false(isMalformed(longest));
  t.true(isMalformed(head.subarray(0, 3)));
  const [delivery, refusal] = HOP_MESSAGES;
  for (const [message, shortest] of [
    [delivery, 8 + 5 + 2 + 9],
    [refusal, 8 + 6],
  ] as const) {
    const body = signer.encodeCompact(message).subarray(18);
    for (let length = 1; length < shortest; length++) {
      t.true(isMalformed(body.subarray(0, length)));
    }
    t.false(isMalformed(body.subarray(0, shortest)));
  }
  const refused = Buffer.from(signer.encodeCompact(refusal).subarray(18));
  refused[13] = 200;
  t.true(isMalformed(refused));
});

test('a router numbers packets only for agents that have reported recently', (t) => {
  const harness = new RouterHarness([HOP_REPAIR_VERSION]);
  const [agent] = harness.agents;
  harness.router.route(harness.createOpening(5));
  t.deepEqual(
    harness.sent.map(({ to, message }) => [to, message.type]),
    [[agent, numberedDeliver]],
  );
  harness.runFor(29);
  t.is(harness.sent.length, 1);
  harness.runFor(1);
  t.is(harness.sent.length, 2);
  t.deepEqual(harness.sent[1]!.message, harness.sent[0]!.message);
  // The agent becomes unresponsive: packets are sent plain, without waiting for acknowledgement.
  harness.runFor(10_000);
  harness.sent.length = 0;
  harness.router.confirmHolder(harness.createData(6).toString('latin1', 1, 13), agent!);
  harness.router.route(harness.createData(6));
  t.deepEqual(
    harness.sent.map(({ message }) => message.type),
    [deliver],
  );
});

test('a router handles a duplicate refusal once', (t) => {
  const harness = new RouterHarness([HOP_REPAIR_VERSION, HOP_REPAIR_VERSION]);
  harness.router.route(harness.createOpening(5));
  const [first] = harness.sent;
  const { message, to } = first!;
  if (message.type === numberedDeliver) {
    const { searchId, payload } = message;
    const refusal = { type: numberedRefusal, ...NUMBER, searchId, reason: 1, payload } as const;
    for (let copy = 0; copy < 2; copy++) {
      const plain = harness.hops.receive(to, refusal);
      if (plain?.type === notHeld) {
        harness.router.handleRefusal(to, plain);
      }
    }
  }
  const deliveries = harness.sent.filter(({ message: { type } }) => type === numberedDeliver);
  t.is(deliveries.length, 2);
  t.not(deliveries[1]!.to, to);
  t.is(harness.sent.filter(({ message: { type } }) => type === received).length, 2);
});

function sumCounter(simulation: PacketSimulation, counter: 'hopRepeats' | 'hopDuplicates'): number {
  const nodes = [...simulation.balancers, ...simulation.agents];
  return nodes.reduce((sum, { node }) => sum + node.figures[counter], 0);
}

test('flows open without client retransmission over lossy links between balancers and agents', (t) => {
  const countLateOpenings = (repairHops: boolean): number => {
    const simulation = new PacketSimulation(31);
    simulation.repairHops = repairHops;
    startModelDeployment(simulation);
    const lossy = simulation.agents.map(({ name }) => name);
    addLossBetween(
      simulation,
      new Set([...lossy, ...simulation.balancers.map(({ name }) => name)]),
      0.03,
    );
    const flows = Array.from({ length: 300 }, () => {
      const flow = simulation.openFlow(MAP_DESTINATION, 1, 0);
      simulation.runFor(20);
      return flow;
    });
    simulation.runFor(5_000);
    t.is(countViolations(simulation), 0);
    t.is(sumCounter(simulation, 'hopRepeats') > 0, repairHops);
    return flows.filter(({ answeredAt, startedAt }) => !(answeredAt[0]! - startedAt < 190)).length;
  };
  const without = countLateOpenings(false);
  const repaired = countLateOpenings(true);
  t.true(without > 20, `${without} late without hop repair`);
  t.true(repaired <= without / 10, `${repaired} late with hop repair, ${without} without`);
});

/** Drops a fraction of the datagrams between the named processes. */
function addLossBetween(
  simulation: PacketSimulation,
  names: ReadonlySet<string>,
  fraction: number,
): void {
  const { network, random } = simulation;
  const isCut = network.isCut.bind(network);
  network.isCut = (sender, receiver) => {
    const isLossy = names.has(sender.name) && names.has(receiver.name);
    return (isLossy && random.next() < fraction) || isCut(sender, receiver);
  };
}

test('loss, duplication and reordering together violate no invariant', (t) => {
  for (const seed of [41, 42, 43]) {
    const simulation = new PacketSimulation(seed);
    startModelDeployment(simulation);
    Object.assign(simulation.network.quality, {
      loss: 0.02,
      duplication: 0.02,
      reordering: 0.05,
      reorderDelay: 60,
    });
    openModelFlows(simulation, 60, 12, 250);
    simulation.runFor(1_500);
    simulation.startAgent(simulation.agents[0]!);
    simulation.startBalancer(simulation.balancers[0]!);
    simulation.runFor(20_000);
    t.is(countViolations(simulation), 0);
    t.true(sumCounter(simulation, 'hopRepeats') > 0);
    t.true(sumCounter(simulation, 'hopDuplicates') > 0);
    const done = simulation.clients.filter(({ state }) => state === 'done').length;
    t.true(done >= 55, `${done} of 60 flows done`);
  }
});

test('agents and balancers announce hop repair to each other', (t) => {
  const simulation = new PacketSimulation(44);
  startModelDeployment(simulation, 1);
  const [balancer] = simulation.balancers;
  openModelFlows(simulation, 20, 2, 50);
  simulation.runFor(3_000);
  const acknowledged = simulation.agents.map(({ node }) => node.figures.hopAcknowledgements);
  t.true(acknowledged.every((count) => count > 0));
  t.is(balancer!.node.figures.hopRepeats, 0);
  t.true(balancer!.node.getRoundTrip(simulation.agents[0]!.address)! > 0);
});

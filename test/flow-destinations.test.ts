/** What agents tell a balancer that has started lately of the destinations of their flows. */
import test from 'ava';
import { packetFormat } from '../platform/packet-header';
import { packEndpoint } from '../src/core/endpoint';
import { FlowDestinations } from '../src/packets/flow-destinations';
import {
  ListingState,
  PacketMessageType,
  type PacketMessage,
} from '../src/packets/packet-messages';
import { RecentDestinations } from '../src/packets/recent-destinations';
import { UNKNOWN_PROFILES } from '../src/packets/routing-table';
import { UNKNOWN_EVACUATIONS } from '../src/packets/zone-evacuations';
import { AgentHarness } from './support/agent-harness';

const LIFETIME_MS = 60_000;
const APPLY_TIME_MS = 3_000;
const AGENT = 0x0a00_0002_0000;
const DESTINATION = packEndpoint('198.18.0.1', 443);
const OTHER_DESTINATION = packEndpoint('198.18.0.2', 443);

function createAnswer(complete: number, ...destinations: readonly number[]) {
  return { type: PacketMessageType.flowDestinations, complete, destinations };
}

test('an agent may hold flows of any destination until it has said that it knows all', (t) => {
  const known = new FlowDestinations(LIFETIME_MS, APPLY_TIME_MS);
  known.recordTable(1_000);
  t.true(known.mayHold(AGENT, DESTINATION, 1_000));
  known.record(AGENT, createAnswer(0, OTHER_DESTINATION));
  t.true(known.mayHold(AGENT, DESTINATION, 1_000));
  known.record(AGENT, createAnswer(1, OTHER_DESTINATION));
  t.false(known.mayHold(AGENT, DESTINATION, 1_000));
  t.true(known.mayHold(AGENT, OTHER_DESTINATION, 1_000));
});

test('a balancer whose first table is older than any flow needs no word of agents', (t) => {
  const known = new FlowDestinations(LIFETIME_MS, APPLY_TIME_MS);
  t.true(known.isNeeded(90_000), 'no table yet');
  known.recordTable(1_000);
  known.recordTable(50_000);
  t.true(known.mayHold(AGENT, DESTINATION, 60_999));
  t.false(known.mayHold(AGENT, DESTINATION, 61_000));
  t.false(known.shouldAsk(AGENT, 61_000));
});

test('an agent is asked until it knows all, and while other balancers may place by an earlier table', (t) => {
  const known = new FlowDestinations(LIFETIME_MS, APPLY_TIME_MS);
  t.true(known.shouldAsk(AGENT, 0));
  known.recordTable(1_000);
  known.record(AGENT, createAnswer(1));
  t.true(known.shouldAsk(AGENT, 3_999));
  t.false(known.shouldAsk(AGENT, 4_000));
  known.record(AGENT, createAnswer(0));
  t.true(known.shouldAsk(AGENT, 4_000));
});

test('answers are dropped once they are not needed', (t) => {
  const known = new FlowDestinations(LIFETIME_MS, APPLY_TIME_MS);
  known.recordTable(0);
  known.record(AGENT, createAnswer(1));
  known.expire(LIFETIME_MS);
  t.true(known.mayHold(AGENT, DESTINATION, LIFETIME_MS - 1));
});

test('a destination is listed while a flow of it can be open', (t) => {
  const recent = new RecentDestinations(LIFETIME_MS);
  recent.record(DESTINATION, 0);
  recent.record(OTHER_DESTINATION, 40_000);
  t.deepEqual(recent.list(60_000).destinations, [DESTINATION, OTHER_DESTINATION]);
  t.deepEqual(recent.list(61_001).destinations, [OTHER_DESTINATION]);
});

test('an agent with more destinations than fit says that some are missing', (t) => {
  const recent = new RecentDestinations(LIFETIME_MS);
  for (let index = 0; index <= 64; index++) {
    recent.record(DESTINATION + index, index);
  }
  const { destinations, isTruncated } = recent.list(100);
  t.is(destinations.length, 64);
  t.false(destinations.includes(DESTINATION));
  t.true(isTruncated);
  t.false(recent.list(200_000).isTruncated);
});

const SUBSCRIPTION: PacketMessage = {
  type: PacketMessageType.subscribe,
  zone: 'north',
  interval: 1_000,
  listing: ListingState.listed,
  deregistered: undefined,
  storeEra: 1,
  asksEra: 0,
  asksDestinations: 1,
  frameVersion: 7,
  evacuations: UNKNOWN_EVACUATIONS,
  profiles: UNKNOWN_PROFILES,
};

/** A packet of a target: ports and addresses of its flow, an acknowledgement, no data. */
function createTargetPacket(): Buffer {
  const bytes = Buffer.alloc(31);
  bytes.writeUInt16BE(443, 0);
  bytes.set([198, 18, 0, 1], 2);
  bytes.writeUInt16BE(40_001, 6);
  bytes.set([100, 64, 0, 7], 8);
  bytes.writeUInt8(128, 30);
  return bytes;
}

function listAnswers({ toNodes }: AgentHarness): PacketMessage[] {
  return toNodes.filter(({ type }) => type === PacketMessageType.flowDestinations);
}

test('an agent answers with the destinations of its target, complete once it has run long enough', (t) => {
  const harness = new AgentHarness({});
  harness.agent.handleTargetDatagram(createTargetPacket());
  const packet = packetFormat.decodeFromTarget(createTargetPacket())!;
  harness.receive(SUBSCRIPTION);
  t.deepEqual(listAnswers(harness), [createAnswer(0, packet.destination)]);
  harness.runFor(59_000);
  harness.agent.handleTargetDatagram(createTargetPacket());
  harness.runFor(1_000);
  harness.receive(SUBSCRIPTION);
  t.deepEqual(listAnswers(harness).at(-1), createAnswer(1, packet.destination));
});

test('an agent that is not asked tells no destinations', (t) => {
  const harness = new AgentHarness({});
  harness.receive({ ...SUBSCRIPTION, asksDestinations: 0 });
  t.deepEqual(listAnswers(harness), []);
});

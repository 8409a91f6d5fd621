/** Status, subscription and snapshot messages: compatibility with earlier versions, validation. */
import test from 'ava';
import { deserialize, serialize } from 'bson';
import { ResultCodes } from '../src/errors/result-codes';
import { PacketFrameCodec } from '../src/packets/packet-frames';
import {
  FIRST_FRAME_VERSION,
  ListingState,
  PacketMessageType,
  type PeerStatusMessage,
  type SubscribeMessage,
} from '../src/packets/packet-messages';
import { decodeSnapshot, encodeSnapshot } from '../src/packets/peer-snapshot';
import { UNKNOWN_PROFILES } from '../src/packets/routing-table';
import { UNKNOWN_EVACUATIONS } from '../src/packets/zone-evacuations';
import { BODY_OFFSET } from '../src/wire/frame-codec';

const KEY = { id: 1, secret: Buffer.from('a-test-key-of-the-cluster') };
const AGENT = { address: 0x0a00_0003_0000, service: 'map', zone: 'south' };

const PEER_STATUS: PeerStatusMessage = {
  type: PacketMessageType.peerStatus,
  routingVersion: 3,
  viewComplete: 1,
  zone: 'north',
  packetAddress: 0x0a00_0001_0001,
  capacity: 324,
  ready: 1,
  replyWanted: 0,
  peers: [],
  unregistered: [],
  registryRevision: 12,
  storeEra: 2,
  readers: [{ reader: 0x0a00_0002_0000, age: 40 }],
  delta: { from: 9, to: 12, changes: [{ agent: { ...AGENT, revision: 12 }, removed: false }] },
  deregistrations: [{ agent: AGENT.address, deregistered: { incarnation: 'i-7', born: 7 } }],
  evacuations: { revision: 12, zones: ['south'] },
  formerServices: [{ destination: 0x0a00_0001_0050, service: 'map', remaining: 41_000 }],
};
const SUBSCRIPTION: SubscribeMessage = {
  type: PacketMessageType.subscribe,
  zone: 'north',
  interval: 250,
  listing: ListingState.missing,
  deregistered: { incarnation: 'i-7', born: 7 },
  storeEra: 2,
  asksEra: 1,
  asksDestinations: 1,
  frameVersion: 5,
  profiles: { version: 3, services: [] },
  evacuations: { revision: 12, zones: ['south'] },
};

/** Encodes a message with some fields of its document replaced, or omitted if set to undefined. */
class FieldReplacingCodec extends PacketFrameCodec {
  encodeWithFields(
    message: PeerStatusMessage | SubscribeMessage,
    fields: Record<string, unknown>,
  ): Buffer {
    const document = deserialize(this.encode(message).subarray(BODY_OFFSET));
    const body = serialize({ ...document, ...fields }, { ignoreUndefined: true });
    const frame = Buffer.concat([Buffer.alloc(BODY_OFFSET), Buffer.from(body)]);
    this.sealFrame(frame, 1);
    return frame;
  }
}

test('fields that earlier versions do not send in a status or subscription get defaults', (t) => {
  const codec = new FieldReplacingCodec([KEY]);
  const omitted = {
    g: undefined,
    h: undefined,
    d: undefined,
    x: undefined,
    e: undefined,
    b: undefined,
    f: undefined,
  };
  const status = codec
    .decode(codec.encodeWithFields(PEER_STATUS, omitted))
    .unwrap() as PeerStatusMessage;
  t.deepEqual(
    [status.registryRevision, status.storeEra, status.readers, status.delta, status.routingVersion],
    [0, 0, [], undefined, 3],
  );
  t.deepEqual(status.evacuations, UNKNOWN_EVACUATIONS);
  t.deepEqual(status.deregistrations, []);
  t.deepEqual(status.formerServices, []);
  const earlierFrame = codec.encodeWithFields(SUBSCRIPTION, {
    l: undefined,
    h: undefined,
    n: undefined,
    d: undefined,
    e: undefined,
    c: undefined,
    v: undefined,
    g: undefined,
  });
  const subscription = codec.decode(earlierFrame).unwrap() as SubscribeMessage;
  t.is(subscription.listing, ListingState.unknown);
  t.deepEqual([subscription.storeEra, subscription.asksEra], [0, 0]);
  t.is(subscription.asksDestinations, 0);
  t.is(subscription.frameVersion, FIRST_FRAME_VERSION);
  t.deepEqual(subscription.evacuations, UNKNOWN_EVACUATIONS);
  t.deepEqual(subscription.profiles, UNKNOWN_PROFILES);
  t.is(subscription.deregistered, undefined);
});

test('malformed readers, deltas, listings and evacuations are rejected', (t) => {
  const codec = new FieldReplacingCodec([KEY]);
  const packed = [AGENT.address, AGENT.service, AGENT.zone, 12];
  const invalidFields: readonly Record<string, unknown>[] = [
    { g: -1 },
    { g: 'twelve' },
    { d: [[1]] },
    { d: [[1, -5]] },
    { d: 'reader' },
    { x: [9, 12, [packed], []] },
    { x: [9, 12, [packed], [2]] },
    { x: [9, 12, [[AGENT.address, 'map']], [0]] },
    { x: [9, 'twelve', [packed], [0]] },
    { x: 7 },
    { f: 'map' },
    { f: [[7, 'map']] },
    { f: [['seven', 'map', 1]] },
    { f: [[7, 7, 1]] },
    { f: [[7, 'map', -1]] },
    { b: 7 },
    { b: [[AGENT.address]] },
    { b: [[AGENT.address, ['i-7']]] },
    { b: [[AGENT.address, [7, 7]]] },
    { b: [[AGENT.address, ['i-7', -1]]] },
  ];
  for (const fields of invalidFields) {
    const decoded = codec.decode(codec.encodeWithFields(PEER_STATUS, fields));
    t.is(decoded.err && decoded.val.resultCode, ResultCodes.frameMalformed);
  }
  for (const deregistered of [7, 'i-7', ['i-7'], [7, null], ['i-7', 'early']]) {
    const decoded = codec.decode(codec.encodeWithFields(SUBSCRIPTION, { g: deregistered }));
    t.is(decoded.err && decoded.val.resultCode, ResultCodes.frameMalformed);
  }
  const listing = codec.decode(codec.encodeWithFields(SUBSCRIPTION, { l: 3 }));
  t.is(listing.err && listing.val.resultCode, ResultCodes.frameMalformed);
  for (const evacuations of [7, [7], [-1, []], [1, 'south'], [1, [2]]]) {
    const decoded = codec.decode(codec.encodeWithFields(SUBSCRIPTION, { e: evacuations }));
    t.is(decoded.err && decoded.val.resultCode, ResultCodes.frameMalformed);
  }
});

test('a snapshot of an earlier version lists agents without revisions', (t) => {
  const snapshot = {
    routingTable: undefined,
    viewComplete: true,
    agents: [{ ...AGENT, revision: 4 }],
    registryRevision: 6,
    storeEra: 2,
  };
  const document = deserialize(encodeSnapshot(snapshot));
  const earlier = {
    ...document,
    agents: [[AGENT.address, AGENT.service, AGENT.zone]],
    registryRevision: undefined,
    storeEra: undefined,
  };
  const bytes = Buffer.from(serialize(earlier, { ignoreUndefined: true }));
  const decoded = decodeSnapshot(bytes).unwrap();
  t.deepEqual(decoded, {
    ...snapshot,
    agents: [{ ...AGENT, revision: 0 }],
    registryRevision: 0,
    storeEra: 0,
  });
});

/** Compact frames: encoding, authentication, validation and version negotiation. */
import test from 'ava';
import { ResultCodes } from '../src/errors/result-codes';
import { PacketFrameCodec, type CompactMessage } from '../src/packets/packet-frames';
import { PacketLink } from '../src/packets/packet-link';
import { PacketMessageType, RefusalReason, SearchPhase } from '../src/packets/packet-messages';
import { SeededRandom } from '../src/simulation/seeded-random';
import { RouterHarness } from './support/router-harness';

const KEY = { id: 1, secret: Buffer.from('a-test-key-of-the-cluster') };
const PACKET = Buffer.from('a packet of a client');
const AGENTS = [0x0a00_0001_0000, 0xffff_ffff_ffff];
const MESSAGES: readonly CompactMessage[] = [
  { type: PacketMessageType.deliver, searchId: 7, services: ['map', 'tiles'], payload: PACKET },
  {
    type: PacketMessageType.notHeld,
    searchId: 0xffff_ffff,
    reason: RefusalReason.targetDown,
    payload: PACKET,
  },
  { type: PacketMessageType.held, flow: PACKET },
  {
    type: PacketMessageType.search,
    searchId: 9,
    balancer: 0x0a00_0009_0000,
    phase: SearchPhase.offer,
    position: 1,
    agents: AGENTS,
    services: ['kärnten'],
    payload: PACKET,
  },
  { type: PacketMessageType.noneHolds, searchId: 9, agents: AGENTS, payload: PACKET },
  { type: PacketMessageType.noneKnows, searchId: 9, agents: AGENTS, payload: PACKET },
];

test('every compact message decodes to itself, from a compact frame and from BSON', (t) => {
  const codec = new PacketFrameCodec([KEY]);
  for (const message of MESSAGES) {
    t.deepEqual(codec.decode(codec.encodeCompact(message)).unwrap(), message);
  }
  const [deliver, notHeld, held] = MESSAGES;
  for (const message of [deliver!, notHeld!, held!]) {
    t.deepEqual(codec.decode(codec.encode(message)).unwrap(), message);
  }
});

test('a compact frame that is truncated, changed or signed with another key is rejected', (t) => {
  const codec = new PacketFrameCodec([KEY]);
  const otherCodec = new PacketFrameCodec([
    { id: 1, secret: Buffer.from('another-key-altogether') },
  ]);
  const random = new SeededRandom(5);
  const allowed = [
    ResultCodes.frameTooShort,
    ResultCodes.frameNotAuthentic,
    ResultCodes.frameMalformed,
  ];
  for (const message of MESSAGES) {
    const frame = codec.encodeCompact(message);
    t.is(otherCodec.decode(frame).err, true);
    for (let length = 0; length < frame.length; length++) {
      const decoded = codec.decode(frame.subarray(0, length));
      t.true(decoded.err && allowed.includes(decoded.val.resultCode as never));
    }
    for (let round = 0; round < 50; round++) {
      const changed = Buffer.from(frame);
      changed[Math.floor(random.next() * changed.length)]! ^= 1 + Math.floor(random.next() * 255);
      t.true(codec.decode(changed).err);
    }
  }
});

/** Signs any body, as a faulty node with the right key would. */
class BodySigner extends PacketFrameCodec {
  signBody(body: Buffer): Buffer {
    const frame = Buffer.concat([Buffer.alloc(18), body]);
    this.sealFrame(frame, 2);
    return frame;
  }
}

test('an authentic but malformed body is reported as malformed and never throws', (t) => {
  const signer = new BodySigner([KEY]);
  const random = new SeededRandom(6);
  const types = Object.values(PacketMessageType);
  for (let round = 0; round < 3_000; round++) {
    const body = Buffer.alloc(1 + Math.floor(random.next() * 40), 0);
    body.forEach((_, index) => (body[index] = Math.floor(random.next() * 256)));
    body[0] = types[round % types.length]!;
    const decoded = signer.decode(signer.signBody(body));
    t.true(decoded.ok || decoded.val.resultCode === ResultCodes.frameMalformed);
  }
});

test('a node gets compact frames only once it is known to support them', (t) => {
  const codec = new PacketFrameCodec([KEY]);
  const versions: number[] = [];
  const { environment } = new RouterHarness([]);
  const link = new PacketLink(codec, { send: (_, frame) => versions.push(frame[0]!) }, environment);
  const [deliver] = MESSAGES;
  link.send(1, deliver!);
  link.receiveFrom(1, codec.encodeCompact(deliver!));
  link.send(1, deliver!);
  link.recordVersion(1, 1);
  link.send(1, deliver!);
  t.deepEqual(versions, [1, 2, 1]);
});

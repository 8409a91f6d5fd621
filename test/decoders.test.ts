/** Fuzz tests: no decoder throws on arbitrary bytes or on mutated valid frames. */
import { createHmac } from 'node:crypto';
import { serialize } from 'bson';
import fc from 'fast-check';
import test from 'ava';
import { parseCoap } from '../src/coap/coap-message';
import { decodePermit, encodePermit } from '../src/core/permit';
import { parseCsvTable } from '../src/operator/table-rows';
import { FrameAuthenticator, TAG_BYTES } from '../src/wire/frame-authenticator';
import { FrameCodec } from '../src/wire/frame-codec';
import { AgentState, MessageType, type Message } from '../src/wire/messages';
import { Simulation } from '../src/simulation/simulation';
import { DEPLOYMENTS } from '../src/standins/deployments';

const RUNS = { seed: 20_261_202, numRuns: 500 };
const KEY = { id: 7, secret: Buffer.from('decoder-test-secret') };
const codec = new FrameCodec([KEY]);

const forward: Message = {
  type: MessageType.forward,
  service: 'live-map',
  target: 'target-1',
  caller: 12_345_678,
  balancer: 23_456_789,
  tableRevision: 4,
  hops: 1,
  placedBy: '',
  payload: Buffer.from('payload'),
};

const examples: Message[] = [
  forward,
  {
    type: MessageType.tableDelta,
    fromRevision: 1,
    throughRevision: 3,
    pushed: 1,
    confirmId: 0,
    tables: [
      {
        service: 'tiles',
        revision: 3,
        writeId: 'w',
        rows: [{ target: 't', address: 99, share: 0.5, slots: 5, connections: 2_000 }],
      },
    ],
  },
  {
    type: MessageType.hello,
    service: 'tiles',
    target: 't',
    incarnation: 9,
    state: AgentState.draining,
    stateSequence: 2,
    tableRevision: 3,
    notices: [{ target: 'u', incarnation: 8, stateSequence: 0, state: AgentState.stopped }],
  },
];

/** Creates an authentic frame with an arbitrary body. */
function signBody(body: Uint8Array): Buffer {
  const tag = createHmac('sha256', KEY.secret).update(body).digest().subarray(0, 16);
  return Buffer.concat([Buffer.from([1, KEY.id]), tag, body]);
}

test('messages survive encoding', (t) => {
  for (const message of examples) {
    t.deepEqual(codec.decode(codec.encode(message)).unwrap(), message);
  }
});

test('frames under another key, or changed by one bit, are not authentic', (t) => {
  const frame = codec.encode(forward);
  const otherCodec = new FrameCodec([{ id: 7, secret: Buffer.from('another-test-secret') }]);
  const refused = otherCodec.decode(frame);
  t.true(refused.err && refused.val.resultCode.name === 'frame-not-authentic');
  fc.assert(
    fc.property(fc.nat(frame.length * 8 - 1), (bit) => {
      const mutated = Buffer.from(frame);
      mutated[bit >> 3]! ^= 1 << (bit & 7);
      return codec.decode(mutated).err;
    }),
    RUNS,
  );
  t.pass();
});

test('the frame tag is HMAC-SHA256, for keys and bodies of any length', (t) => {
  const bytes = (maxLength: number): fc.Arbitrary<Buffer> =>
    fc.uint8Array({ maxLength }).map((array) => Buffer.from(array));
  fc.assert(
    fc.property(bytes(100), bytes(400), (secret, body) => {
      const tag = Buffer.alloc(TAG_BYTES);
      new FrameAuthenticator(secret).writeTag(body, tag, 0);
      const expected = createHmac('sha256', secret).update(body).digest();
      return tag.equals(expected.subarray(0, TAG_BYTES));
    }),
    RUNS,
  );
  t.pass();
});

test('arbitrary bytes never make a decoder throw', (t) => {
  fc.assert(
    fc.property(fc.uint8Array({ maxLength: 300 }), (bytes) => {
      const buffer = Buffer.from(bytes);
      codec.decode(buffer);
      parseCoap(buffer);
      decodePermit(buffer, 1, [KEY.secret]);
      parseCsvTable(buffer.toString());
      return true;
    }),
    RUNS,
  );
  t.pass();
});

test('authentic frames with any document are decoded or refused with a result code', (t) => {
  const keys = fc.constantFrom('t', 's', 'n', 'c', 'b', 'r', 'h', 'o', 'p', 'g', 'l');
  const values = fc.oneof(
    fc.integer(),
    fc.double(),
    fc.string(),
    fc.boolean(),
    fc.constant(null),
    fc.uint8Array({ maxLength: 40 }).map((bytes) => Buffer.from(bytes)),
    fc.array(fc.oneof(fc.string(), fc.integer(), fc.array(fc.integer())), { maxLength: 6 }),
  );
  const documents = fc
    .record({ t: fc.integer({ min: 0, max: 25 }) })
    .chain((type) => fc.dictionary(keys, values).map((rest) => ({ ...rest, ...type })));
  let refused = 0;
  fc.assert(
    fc.property(documents, (document) => {
      const decoded = codec.decode(signBody(serialize(document)));
      refused += decoded.err ? 1 : 0;
      return decoded.ok || decoded.val.resultCode.name === 'frame-malformed';
    }),
    RUNS,
  );
  t.true(refused > 0);
});

test('a permit is bound to its caller, secret and every bit', (t) => {
  const permit = { incarnation: 5, serial: 6, expiresAt: 7_000 };
  const bytes = encodePermit(permit, 42, KEY.secret);
  t.deepEqual(decodePermit(bytes, 42, [KEY.secret]), permit);
  t.is(decodePermit(bytes, 43, [KEY.secret]), undefined);
  t.is(decodePermit(bytes, 42, [Buffer.from('another-test-secret')]), undefined);
});

test('running nodes survive arbitrary and mutated datagrams', (t) => {
  const simulation = new Simulation({
    deployment: DEPLOYMENTS.map,
    seed: 1,
    design: 'hallhold',
    without: [],
  });
  simulation.start();
  const balancer = simulation.balancers[0]!.node;
  const agent = simulation.targets[0]!.agent;
  fc.assert(
    fc.property(fc.uint8Array({ maxLength: 200 }), (bytes) => {
      const datagram = Buffer.from(bytes);
      balancer.receiveFrame(datagram, 1);
      balancer.receiveDatagram('live-map', 2, datagram);
      balancer.receiveDatagram('no-such-service', 2, datagram);
      agent.receiveFrame(datagram, 1);
      agent.receiveBackendMessage(datagram);
      return true;
    }),
    RUNS,
  );
  simulation.runUntil(simulation.clock.now + 2_000);
  t.true(agent.statistics.framesRejected >= RUNS.numRuns);
});

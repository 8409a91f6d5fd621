/** Compact encoding of reports. */
import test from 'ava';
import fc from 'fast-check';
import { PacketFrameCodec } from '../src/packets/packet-frames';
import { PacketLink } from '../src/packets/packet-link';
import {
  HOP_REPAIR_VERSION,
  CONCLUSIVE_SEARCH_VERSION,
  TargetState,
  type ReportMessage,
} from '../src/packets/packet-messages';
import { ResultCodes } from '../src/errors/result-codes';
import { createReport } from './support/reports';

const CODEC = new PacketFrameCodec([{ id: 1, secret: Buffer.from('a-test-key-of-the-cluster') }]);
const COMPACT = 2;
const DOCUMENT = 1;

const count = fc.integer({ min: 0, max: 2 ** 32 - 1 });
const byte = fc.integer({ min: 0, max: 255 });
const endpoint = fc.integer({ min: 0, max: 2 ** 48 - 1 });
const anyReport: fc.Arbitrary<ReportMessage> = fc.record({
  type: fc.constant(createReport().type),
  run: endpoint,
  sequence: count,
  service: fc.string({ maxLength: 60 }),
  zone: fc.string({ maxLength: 60 }),
  state: fc.constantFrom(...Object.values(TargetState)),
  slots: count,
  busyRequests: count,
  openFlows: count,
  answerTime: count,
  answers: count,
  targetChanges: count,
  coldLeft: count,
  failurePercent: byte,
  flowBytes: count,
  frameVersion: byte,
  flowKnowledge: fc.constantFrom(0, 1, 2),
  balancerCount: count,
  balancers: fc.array(endpoint, { maxLength: 20 }),
});

test('any report is unchanged by compact encoding and decoding', (t) => {
  fc.assert(
    fc.property(anyReport, (report) => {
      t.deepEqual(CODEC.decode(CODEC.encodeReport(report)).unwrap(), report);
    }),
    { numRuns: 300 },
  );
});

test('a truncated or overlong report, and one of an unknown state, are malformed frames', (t) => {
  const report = createReport({ balancers: [1, 2] });
  const frame = CODEC.encodeReport(report);
  const header = CODEC.encodeReport(report).subarray(0, 18);
  const body = frame.subarray(18);
  const wrongState = Buffer.from(body);
  wrongState[1 + 6 + 40] = 77;
  const bodies = [...Array(body.length).keys()].slice(1).map((length) => body.subarray(0, length));
  for (const wrong of [...bodies, Buffer.concat([body, Buffer.from([0])]), wrongState]) {
    const broken = Buffer.concat([header, wrong]);
    CODEC['sealFrame'](broken, COMPACT);
    const decoded = CODEC.decode(broken);
    t.is(decoded.err && decoded.val.resultCode, ResultCodes.frameMalformed);
  }
});

test('counts beyond 32 bits are sent as the maximum, long names as a document', (t) => {
  const huge = CODEC.decode(CODEC.encodeReport(createReport({ flowBytes: 2 ** 40 }))).unwrap();
  t.is((huge as ReportMessage).flowBytes, 2 ** 32 - 1);
  const long = createReport({ zone: 'z'.repeat(255) + 'ü' });
  t.is(CODEC.encodeReport(long)[0], DOCUMENT);
});

test('a balancer of an earlier version gets reports as documents', (t) => {
  const sent = new Map<number, Buffer>();
  const transport = { send: (to: number, frame: Buffer) => void sent.set(to, frame) };
  const environment = {
    now: () => 0,
    startTimer: () => ({ cancel: () => undefined }),
    random: () => 0,
    report: () => undefined,
  };
  const link = new PacketLink(CODEC, transport, environment);
  link.recordHopRepair(1, HOP_REPAIR_VERSION);
  link.recordHopRepair(2, CONCLUSIVE_SEARCH_VERSION);
  link.sendReport([1, 2, 3], createReport());
  t.deepEqual(
    [1, 2, 3].map((to) => sent.get(to)![0]),
    [COMPACT, DOCUMENT, DOCUMENT],
  );
  link.recordHopRepair(1, CONCLUSIVE_SEARCH_VERSION);
  link.sendReport([1], createReport());
  t.is(sent.get(1)![0], DOCUMENT);
});

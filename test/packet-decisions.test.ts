/** Unit tests of delivery rules, search time limits and message encoding of the packet interface. */
import test from 'ava';
import { findRefusalReason, type TargetCondition } from '../src/packets/delivery-rules';
import {
  PendingSearches,
  computeSearchTimeout,
  type WaitingPacket,
} from '../src/packets/pending-searches';
import type { FlowPacket } from '../src/packets/flow-packet';
import { FlowSearches, selectNextAgents, recordOffer } from '../src/packets/flow-search';
import { PACKET_MESSAGE_FIELDS } from '../src/packets/packet-message-schema';
import {
  PacketMessageType,
  RefusalReason,
  TargetState,
  type PacketMessage,
} from '../src/packets/packet-messages';
import { FrameCodec } from '../src/wire/frame-codec';
import { createReport } from './support/reports';

const READY: TargetCondition = {
  service: 'map',
  state: TargetState.ready,
  isDown: false,
  isDead: false,
  isProbeDue: false,
  isServiceDisputed: false,
  isEvacuated: false,
  isAtColdLimit: false,
};
const ROUTE = { name: 'r', destination: 1, services: [{ service: 'map', weight: 1 }] };

function createWaitingPacket(flow: string): WaitingPacket {
  return { packet: { flow } as FlowPacket, route: ROUTE };
}

test('an agent refuses by service, health, and for new flows by state', (t) => {
  t.is(findRefusalReason(true, ['map'], READY), undefined);
  t.is(findRefusalReason(false, ['tiles'], READY), RefusalReason.otherService);
  const draining = { ...READY, state: TargetState.draining };
  t.is(findRefusalReason(true, ['map'], draining), RefusalReason.draining);
  t.is(findRefusalReason(false, ['map'], draining), undefined);
  const gone = { ...READY, state: TargetState.gone };
  t.is(findRefusalReason(true, ['map'], gone), RefusalReason.noTarget);
  t.is(findRefusalReason(false, ['map'], gone), undefined);
  const limited = { ...READY, isAtColdLimit: true };
  t.is(findRefusalReason(true, ['map'], limited), RefusalReason.coldLimit);
  t.is(findRefusalReason(false, ['map'], limited), undefined);
  const disputed = { ...READY, isServiceDisputed: true };
  t.is(findRefusalReason(true, ['map'], disputed), RefusalReason.otherService);
  t.is(findRefusalReason(false, ['map'], disputed), undefined);
  const evacuated = { ...READY, isEvacuated: true };
  t.is(findRefusalReason(true, ['map'], evacuated), RefusalReason.zoneEvacuated);
  t.is(findRefusalReason(false, ['map'], evacuated), undefined);
});

test('an unresponsive target gets single opening packets as probes, and all packets of open flows', (t) => {
  const down = { ...READY, isDown: true };
  t.is(findRefusalReason(true, ['map'], down), RefusalReason.targetDown);
  t.is(findRefusalReason(true, ['map'], { ...down, isProbeDue: true }), undefined);
  t.is(findRefusalReason(false, ['map'], down), undefined);
  t.is(findRefusalReason(false, ['map'], { ...down, isProbeDue: true }), undefined);
});

test('a dead target gets single opening packets as probes, and nothing else', (t) => {
  for (const isDown of [true, false]) {
    const dead = { ...READY, isDown, isDead: true };
    t.is(findRefusalReason(true, ['map'], dead), RefusalReason.targetDown);
    t.is(findRefusalReason(true, ['map'], { ...dead, isProbeDue: true }), undefined);
    t.is(
      findRefusalReason(false, ['map'], { ...dead, isProbeDue: true }),
      RefusalReason.targetDown,
    );
  }
});

test('packets that wait for the holder of their flow are limited in number and time', (t) => {
  const searches = new PendingSearches(40);
  searches.beginOrExtend('a', 10, 0);
  t.true(searches.isPending('a'));
  for (let packet = 0; packet < 40; packet++) {
    searches.enqueue(createWaitingPacket('a'));
  }
  searches.beginOrExtend('b', 10, 30);
  searches.enqueue(createWaitingPacket('b'));
  t.deepEqual(searches.takeOverdue(39), []);
  t.is(searches.takeOverdue(41).length, 16);
  t.false(searches.isPending('a'));
  t.is(searches.takeWaiting('b').length, 1);
  t.is(searches.size, 0);
});

test('the time limit of a search grows with its agents, also when it is continued', (t) => {
  const searches = new PendingSearches(40);
  searches.beginOrExtend('a', 10, 0);
  searches.enqueue(createWaitingPacket('a'));
  searches.beginOrExtend('a', 64, 30);
  t.deepEqual(searches.takeOverdue(280), []);
  t.is(searches.takeOverdue(290).length, 1);
});

test('a balancer with little CPU has a longer time limit for searches, up to a maximum', (t) => {
  t.is(computeSearchTimeout(1), 40);
  t.is(computeSearchTimeout(0.1), 200);
  t.is(computeSearchTimeout(0.001), 400);
});

test('a search offers a packet to every agent once before it repeats an offer', (t) => {
  const search = new FlowSearches(10_000).findOrBegin('f', ROUTE, ['map'], 0);
  const agents = [{ address: 1 }, { address: 2 }, { address: 3 }];
  recordOffer(search, 2);
  t.deepEqual(selectNextAgents(search, agents), [{ address: 1 }, { address: 3 }]);
  recordOffer(search, 1);
  recordOffer(search, 3);
  t.deepEqual(selectNextAgents(search, agents), [{ address: 2 }]);
  recordOffer(search, 2);
  t.deepEqual(selectNextAgents(search, agents), [{ address: 1 }]);
});

test('every message of the packet interface is unchanged after encoding and decoding', (t) => {
  const codec = new FrameCodec<PacketMessage>(
    [{ id: 1, secret: Buffer.from('a-test-key-of-the-cluster') }],
    PACKET_MESSAGE_FIELDS,
  );
  const flow = Buffer.from('twelve bytes');
  const messages: PacketMessage[] = [
    { type: PacketMessageType.deliver, searchId: 7, services: ['map'], payload: flow },
    { type: PacketMessageType.notHeld, searchId: 7, reason: 5, payload: flow },
    { type: PacketMessageType.held, flow },
    { type: PacketMessageType.locate, flow },
    { type: PacketMessageType.detour, agent: 0x0a00_0001_0000, payload: flow },
    { type: PacketMessageType.distanceProbe, sentAt: 12.625 },
    { type: PacketMessageType.distanceReply, sentAt: 12.625 },
    { type: PacketMessageType.eraSeen, era: 3 },
    { type: PacketMessageType.flowDestinations, complete: 1, destinations: [0x0a00_0001_0050] },
    {
      type: PacketMessageType.routeTerms,
      destination: 0x0a00_0001_0050,
      version: 7,
      priority: 1,
      latencyGoal: 300,
      deadline: 2_500,
    },
    {
      type: PacketMessageType.subscribe,
      zone: 'north',
      interval: 500,
      listing: 1,
      deregistered: { incarnation: 'i-7', born: 1_764_800_000_123 },
      storeEra: 2,
      asksEra: 1,
      asksDestinations: 1,
      frameVersion: 5,
      evacuations: { revision: 14, zones: ['south'] },
      profiles: {
        version: 3,
        services: [{ service: 'map', latencyGoal: 200, coldTime: 2_000, coldRate: 2.5 }],
      },
    },
    createReport({ failurePercent: 33, flowBytes: 4_700, balancers: [0x0a00_0001_0000] }),
    {
      type: PacketMessageType.peerStatus,
      routingVersion: 3,
      viewComplete: 1,
      zone: 'north',
      packetAddress: 0x0a00_0001_0001,
      capacity: 32,
      ready: 0,
      replyWanted: 1,
      peers: [0x0a00_0002_0000],
      unregistered: [{ address: 0x0a00_0003_0000, service: 'map', zone: 'south' }],
      registryRevision: 12,
      storeEra: 2,
      readers: [{ reader: 0x0a00_0002_0000, age: 40 }],
      delta: {
        from: 9,
        to: 12,
        changes: [
          {
            agent: { address: 0x0a00_0003_0000, service: 'map', zone: 'south', revision: 12 },
            removed: true,
          },
        ],
      },
      deregistrations: [
        { agent: 0x0a00_0003_0000, deregistered: { incarnation: 'i-7', born: 1_764_800_000_123 } },
        { agent: 0x0a00_0004_0000, deregistered: { incarnation: 'i-8' } },
      ],
      evacuations: { revision: 14, zones: ['south'] },
      formerServices: [{ destination: 0x0a00_0001_0050, service: 'map', remaining: 41_000 }],
    },
  ];
  t.is(messages.length, PACKET_MESSAGE_FIELDS.size);
  for (const message of messages) {
    t.deepEqual(codec.decode(codec.encode(message)).unwrap(), message);
  }
});

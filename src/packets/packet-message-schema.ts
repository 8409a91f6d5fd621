/**
 * BSON schema of the messages of the packet interface: a short key for each field and the check of
 * received values. Fields that earlier versions do not send have a default.
 */
import type { MessageSchema } from '../wire/frame-codec';
import {
  unpackBinary,
  FieldError,
  unpackInteger,
  createListUnpacker,
  createEnumUnpacker,
  unpackNonNegativeNumber,
  unpackText,
  unpackTuple,
  type FieldCodec,
} from '../wire/field-codecs';
import {
  type AgentDeregistration,
  type AgentRecord,
  FIRST_FRAME_VERSION,
  FlowKnowledge,
  type FlowKnowledgeValue,
  type ListedAgent,
  ListingState,
  type ListingStateValue,
  PacketMessageType,
  RefusalReason,
  type RegistryDelta,
  TargetState,
} from './packet-messages';
import type { AnnouncedFormerService } from './former-services';
import { UNKNOWN_PROFILES, type ServiceProfile, type ServiceProfiles } from './routing-table';
import type { StoreReader } from './store-readers';
import type { TargetIncarnation } from './target-incarnation';
import { UNKNOWN_EVACUATIONS, type AnnouncedEvacuations } from './zone-evacuations';

function field(
  property: string,
  key: string,
  unpack: FieldCodec['unpack'],
  pack?: FieldCodec['pack'],
): FieldCodec {
  return pack ? { property, key, unpack, pack } : { property, key, unpack };
}

/** Packs agents for sending, as [address, service, zone]. */
export function packAgents(agents: readonly AgentRecord[]): unknown[] {
  return agents.map(({ address, service, zone }) => [address, service, zone]);
}

/** Checks a received agent; throws a `FieldError` if it is malformed. */
export function unpackAgent(value: unknown): AgentRecord {
  const [address, service, zone] = unpackTuple(value, 3);
  return { address: unpackInteger(address), service: unpackText(service), zone: unpackText(zone) };
}

/** Nodes that support only the first frame version send none. */
function unpackFrameVersion(value: unknown): number {
  return value === undefined ? FIRST_FRAME_VERSION : unpackInteger(value);
}

/** Packs agents with the revisions of their registrations for sending. */
export function packListedAgents(agents: readonly ListedAgent[]): unknown[] {
  return agents.map(({ address, service, zone, revision }) => [address, service, zone, revision]);
}

/** Checks a received listed agent; earlier versions send no revision. */
export function unpackListedAgent(value: unknown): ListedAgent {
  if (Array.isArray(value) && value.length === 3) {
    return { ...unpackAgent(value), revision: 0 };
  }
  const [address, service, zone, revision] = unpackTuple(value, 4);
  return { ...unpackAgent([address, service, zone]), revision: unpackInteger(revision) };
}

function packDelta(delta: RegistryDelta | undefined): unknown {
  if (delta === undefined) {
    return null;
  }
  const { from, to, changes } = delta;
  const agents = packListedAgents(changes.map(({ agent }) => agent));
  return [from, to, agents, changes.map(({ removed }) => (removed ? 1 : 0))];
}

function unpackDelta(value: unknown): RegistryDelta | undefined {
  if (value === undefined || value === null) {
    return undefined;
  }
  const [from, to, packed, removals] = unpackTuple(value, 4);
  const agents = createListUnpacker(unpackListedAgent)(packed);
  const removed = createListUnpacker(createEnumUnpacker(0, 1))(removals);
  if (agents.length !== removed.length) {
    throw new FieldError('registry delta: counts of agents and removals differ');
  }
  const changes = agents.map((agent, index) => ({ agent, removed: removed[index] === 1 }));
  return { from: unpackInteger(from), to: unpackInteger(to), changes };
}

function packReaders(readers: readonly StoreReader[]): unknown[] {
  return readers.map(({ reader, age }) => [reader, age]);
}

/** Earlier versions send no readers. */
function unpackReaders(value: unknown): readonly StoreReader[] {
  return value === undefined ? [] : createListUnpacker(unpackReader)(value);
}

function unpackReader(value: unknown): StoreReader {
  const [reader, age] = unpackTuple(value, 2);
  return { reader: unpackInteger(reader), age: unpackInteger(age) };
}

function packEvacuations({ revision, zones }: AnnouncedEvacuations): unknown[] {
  return [revision, zones];
}

/** Earlier versions send no evacuations. The era of the revision is that of the message. */
function unpackEvacuations(value: unknown): AnnouncedEvacuations {
  if (value === undefined) {
    return UNKNOWN_EVACUATIONS;
  }
  const [revision, zones] = unpackTuple(value, 2);
  return { revision: unpackInteger(revision), zones: createListUnpacker(unpackText)(zones) };
}

/** Packs service profiles for sending. */
export function packServiceProfiles(profiles: readonly ServiceProfile[]): unknown[] {
  return profiles.map(({ service, latencyGoal, coldTime, coldRate }) => [
    service,
    latencyGoal,
    coldTime,
    coldRate,
  ]);
}

/** Checks received service profiles; throws a `FieldError` if one is malformed. */
export const unpackServiceProfiles = createListUnpacker((value): ServiceProfile => {
  const [service, latencyGoal, coldTime, coldRate] = unpackTuple(value, 4);
  return {
    service: unpackText(service),
    latencyGoal: unpackNonNegativeNumber(latencyGoal),
    coldTime: unpackNonNegativeNumber(coldTime),
    coldRate: unpackNonNegativeNumber(coldRate),
  };
});

function packVersionedProfiles({ version, services }: ServiceProfiles): unknown[] {
  return [version, packServiceProfiles(services)];
}

/** Earlier versions send no service profiles. */
function unpackVersionedProfiles(value: unknown): ServiceProfiles {
  if (value === undefined) {
    return UNKNOWN_PROFILES;
  }
  const [version, services] = unpackTuple(value, 2);
  return { version: unpackInteger(version), services: unpackServiceProfiles(services) };
}

/** Unpacks a field that earlier versions do not send; 0 if it is missing. */
function unpackOptionalInteger(value: unknown): number {
  return value === undefined ? 0 : unpackInteger(value);
}

/** Earlier versions do not send it, and later ones may send other values: partial then. */
export function unpackFlowKnowledge(value: unknown): FlowKnowledgeValue {
  const known = Object.values(FlowKnowledge).find((one) => one === value);
  return known ?? FlowKnowledge.partial;
}

/** Earlier versions do not send the listing state. */
function unpackListing(value: unknown): ListingStateValue {
  if (value === undefined) {
    return ListingState.unknown;
  }
  return createEnumUnpacker(...Object.values(ListingState))(value) as ListingStateValue;
}

function packIncarnation(target: TargetIncarnation | undefined): unknown {
  return target ? [target.incarnation, target.born ?? null] : null;
}

function unpackIncarnation(value: unknown): TargetIncarnation {
  const [incarnation, born] = unpackTuple(value, 2);
  const name = unpackText(incarnation);
  return born === null
    ? { incarnation: name }
    : { incarnation: name, born: unpackNonNegativeNumber(born) };
}

/** Earlier versions do not send it. */
function unpackOptionalIncarnation(value: unknown): TargetIncarnation | undefined {
  return value === undefined || value === null ? undefined : unpackIncarnation(value);
}

/** Packs deregistrations for sending, as [agent, incarnation]. */
export function packDeregistrations(deregistrations: readonly AgentDeregistration[]): unknown[] {
  return deregistrations.map(({ agent, deregistered }) => [agent, packIncarnation(deregistered)]);
}

/** Checks received deregistrations; earlier versions send none. */
export function unpackDeregistrations(value: unknown): readonly AgentDeregistration[] {
  return value === undefined ? [] : createListUnpacker(unpackDeregistration)(value);
}

function unpackDeregistration(value: unknown): AgentDeregistration {
  const [agent, deregistered] = unpackTuple(value, 2);
  return { agent: unpackInteger(agent), deregistered: unpackIncarnation(deregistered) };
}

function packFormerServices(former: readonly AnnouncedFormerService[]): unknown[] {
  return former.map(({ destination, service, remaining }) => [destination, service, remaining]);
}

/** Earlier versions send none. */
function unpackFormerServices(value: unknown): readonly AnnouncedFormerService[] {
  return value === undefined ? [] : createListUnpacker(unpackFormerService)(value);
}

function unpackFormerService(value: unknown): AnnouncedFormerService {
  const [destination, service, remaining] = unpackTuple(value, 3);
  return {
    destination: unpackInteger(destination),
    service: unpackText(service),
    remaining: unpackNonNegativeNumber(remaining),
  };
}

const searchId = field('searchId', 'i', unpackInteger);
const payload = field('payload', 'p', unpackBinary);
const evacuations = field('evacuations', 'e', unpackEvacuations, packEvacuations);

/** Fields of every message type that is sent as a BSON document. */
export const PACKET_MESSAGE_FIELDS: MessageSchema = new Map<number, readonly FieldCodec[]>([
  [
    PacketMessageType.deliver,
    [searchId, field('services', 's', createListUnpacker(unpackText)), payload],
  ],
  [
    PacketMessageType.notHeld,
    [searchId, field('reason', 'r', createEnumUnpacker(...Object.values(RefusalReason))), payload],
  ],
  [PacketMessageType.held, [field('flow', 'f', unpackBinary)]],
  [PacketMessageType.locate, [field('flow', 'f', unpackBinary)]],
  [PacketMessageType.detour, [field('agent', 'a', unpackInteger), payload]],
  [PacketMessageType.distanceProbe, [field('sentAt', 'a', unpackNonNegativeNumber)]],
  [PacketMessageType.distanceReply, [field('sentAt', 'a', unpackNonNegativeNumber)]],
  [PacketMessageType.eraSeen, [field('era', 'h', unpackInteger)]],
  [
    PacketMessageType.flowDestinations,
    [
      field('complete', 'c', createEnumUnpacker(0, 1)),
      field('destinations', 'd', createListUnpacker(unpackInteger)),
    ],
  ],
  [
    PacketMessageType.routeTerms,
    [
      field('destination', 'd', unpackInteger),
      field('version', 'v', unpackInteger),
      field('priority', 'p', unpackInteger),
      field('latencyGoal', 'g', unpackNonNegativeNumber),
      field('deadline', 'x', unpackNonNegativeNumber),
    ],
  ],
  [
    PacketMessageType.subscribe,
    [
      field('zone', 'z', unpackText),
      field('interval', 'i', unpackNonNegativeNumber),
      field('listing', 'l', unpackListing),
      field('deregistered', 'g', unpackOptionalIncarnation, packIncarnation),
      evacuations,
      field('profiles', 'c', unpackVersionedProfiles, packVersionedProfiles),
      field('storeEra', 'h', unpackOptionalInteger),
      field('asksEra', 'n', unpackOptionalInteger),
      field('asksDestinations', 'd', unpackOptionalInteger),
      field('frameVersion', 'v', unpackFrameVersion),
    ],
  ],
  [
    PacketMessageType.report,
    [
      field('service', 's', unpackText),
      field('zone', 'z', unpackText),
      field('run', 'r', unpackInteger),
      field('sequence', 'q', unpackInteger),
      field('state', 'a', createEnumUnpacker(...Object.values(TargetState))),
      field('slots', 'l', unpackInteger),
      field('busyRequests', 'b', unpackInteger),
      field('openFlows', 'o', unpackInteger),
      field('answerTime', 'w', unpackOptionalInteger),
      field('answers', 'an', unpackOptionalInteger),
      field('targetChanges', 'tc', unpackOptionalInteger),
      field('coldLeft', 'c', unpackInteger),
      field('failurePercent', 'f', unpackInteger),
      field('flowBytes', 'y', unpackOptionalInteger),
      field('frameVersion', 'v', unpackFrameVersion),
      field('flowKnowledge', 'k', unpackFlowKnowledge),
      field('balancerCount', 'n', unpackInteger),
      field('balancers', 'm', createListUnpacker(unpackInteger)),
    ],
  ],
  [
    PacketMessageType.peerStatus,
    [
      field('routingVersion', 'v', unpackInteger),
      field('viewComplete', 'w', createEnumUnpacker(0, 1)),
      field('zone', 'z', unpackText),
      field('packetAddress', 'p', unpackInteger),
      field('capacity', 'c', unpackInteger),
      field('ready', 'r', createEnumUnpacker(0, 1)),
      field('replyWanted', 'y', createEnumUnpacker(0, 1)),
      field('peers', 'm', createListUnpacker(unpackInteger)),
      field('unregistered', 'u', createListUnpacker(unpackAgent), packAgents),
      field('registryRevision', 'g', unpackOptionalInteger),
      field('storeEra', 'h', unpackOptionalInteger),
      field('readers', 'd', unpackReaders, packReaders),
      field('delta', 'x', unpackDelta, packDelta),
      field('deregistrations', 'b', unpackDeregistrations, packDeregistrations),
      evacuations,
      field('formerServices', 'f', unpackFormerServices, packFormerServices),
    ],
  ],
]);

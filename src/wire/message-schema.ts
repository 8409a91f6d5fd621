/**
 * Maps each message to a BSON document: one short key per field, and the validation
 * of its received value. A message is accepted only if all fields of its type are valid.
 */
import { BUCKET_SET_BYTES } from '../core/bucket-set';
import type { ServiceTable, TableRow } from '../core/table';
import {
  createEnumUnpacker,
  createListUnpacker,
  FieldError,
  unpackBinary,
  unpackInteger,
  unpackNonNegativeNumber,
  unpackText,
  unpackTuple,
  type FieldCodec,
} from './field-codecs';
import {
  MessageType,
  type MemberRecord,
  type ServiceTargetNotice,
  type TargetNotice,
} from './messages';

function unpackBucketBitmap(value: unknown): Buffer {
  const bytes = unpackBinary(value);
  if (bytes.length !== BUCKET_SET_BYTES) {
    throw new FieldError(`not a bucket bitmap of ${BUCKET_SET_BYTES} bytes`);
  }
  return bytes;
}

const unpackAgentState = createEnumUnpacker(1, 2, 3);
const unpackMemberState = createEnumUnpacker(1, 2, 3, 4);

function packRow(row: TableRow): unknown[] {
  return [row.target, row.address, row.share, row.slots, row.connections];
}

function unpackRow(value: unknown): TableRow {
  const [target, address, share, slots, connections] = unpackTuple(value, 5);
  return {
    target: unpackText(target),
    address: unpackInteger(address),
    share: unpackNonNegativeNumber(share),
    slots: unpackInteger(slots),
    connections: unpackInteger(connections),
  };
}

function packTables(tables: readonly ServiceTable[]): unknown[] {
  return tables.map((table) => [
    table.service,
    table.revision,
    table.writeId,
    table.rows.map(packRow),
  ]);
}

function unpackTable(value: unknown): ServiceTable {
  const [service, revision, writeId, rows] = unpackTuple(value, 4);
  return {
    service: unpackText(service),
    revision: unpackInteger(revision),
    writeId: unpackText(writeId),
    rows: createListUnpacker(unpackRow)(rows),
  };
}

function packMember(member: MemberRecord): unknown[] {
  return [member.name, member.endpoint, member.zone, member.incarnation, member.state];
}

function unpackMember(value: unknown): MemberRecord {
  const [name, endpoint, zone, incarnation, state] = unpackTuple(value, 5);
  return {
    name: unpackText(name),
    endpoint: unpackInteger(endpoint),
    zone: unpackText(zone),
    incarnation: unpackInteger(incarnation),
    state: unpackMemberState(state) as MemberRecord['state'],
  };
}

function packNotice(notice: TargetNotice): unknown[] {
  return [notice.target, notice.incarnation, notice.stateSequence, notice.state];
}

function unpackNotice(value: unknown): TargetNotice {
  const [target, incarnation, stateSequence, state] = unpackTuple(value, 4);
  return {
    target: unpackText(target),
    incarnation: unpackInteger(incarnation),
    stateSequence: unpackInteger(stateSequence),
    state: unpackAgentState(state) as TargetNotice['state'],
  };
}

function packServiceNotice(notice: ServiceTargetNotice): unknown[] {
  return [notice.service, ...packNotice(notice)];
}

function unpackServiceNotice(value: unknown): ServiceTargetNotice {
  const [service, ...notice] = unpackTuple(value, 5);
  return { service: unpackText(service), ...unpackNotice(notice) };
}

type Unpack = (value: unknown) => unknown;

function field(property: string, key: string, unpack: Unpack, pack?: unknown): FieldCodec {
  return { property, key, unpack, ...(pack ? { pack: pack as (value: never) => unknown } : {}) };
}

function createListPacker<T>(packItem: (value: T) => unknown): (values: readonly T[]) => unknown[] {
  return (values) => values.map(packItem);
}

const service = field('service', 's', unpackText);
const target = field('target', 'n', unpackText);
const caller = field('caller', 'c', unpackInteger);
const payload = field('payload', 'p', unpackBinary);
const incarnation = field('incarnation', 'i', unpackInteger);
const tableRevision = field('tableRevision', 'r', unpackInteger);
const sequence = field('sequence', 'q', unpackInteger);
const haveThrough = field('haveThrough', 'h', unpackInteger);
const sender = field('sender', 'm', unpackMember, packMember);
const members = field(
  'members',
  'l',
  createListUnpacker(unpackMember),
  createListPacker(packMember),
);
const targets = field(
  'targets',
  'g',
  createListUnpacker(unpackServiceNotice),
  createListPacker(packServiceNotice),
);
const tables = field('tables', 'b', createListUnpacker(unpackTable), packTables);
const state = field('state', 'a', unpackAgentState);
const stateSequence = field('stateSequence', 'j', unpackInteger);
const notices = field(
  'notices',
  'o',
  createListUnpacker(unpackNotice),
  createListPacker(packNotice),
);
const claimId = field('claimId', 'd', unpackInteger);
const passId = field('passId', 'd', unpackInteger);
const beyond = field('beyond', 'b', unpackInteger);
const gossipFields = [sequence, sender, haveThrough, beyond, members, targets];

/** The fields of each message type. */
export const MESSAGE_FIELDS: ReadonlyMap<number, readonly FieldCodec[]> = new Map<
  number,
  readonly FieldCodec[]
>([
  [
    MessageType.forward,
    [
      service,
      target,
      caller,
      field('balancer', 'b', unpackInteger),
      tableRevision,
      field('hops', 'h', unpackInteger),
      field('placedBy', 'o', unpackText),
      payload,
    ],
  ],
  [
    MessageType.reply,
    [service, target, field('hosted', 'h', createEnumUnpacker(0, 1)), caller, payload],
  ],
  [
    MessageType.heartbeat,
    [
      service,
      target,
      incarnation,
      sequence,
      field('echo', 'e', unpackInteger),
      field('echoIncarnation', 'f', unpackInteger),
      state,
      stateSequence,
      tableRevision,
      field('flows', 'w', unpackInteger),
      field('freeSlots', 'k', unpackInteger),
      field('load', 'l', unpackInteger),
      field('age', 'g', unpackInteger),
      field('unheard', 'u', createListUnpacker(unpackText)),
      field('closed', 'x', unpackBinary),
    ],
  ],
  [
    MessageType.claim,
    [service, target, claimId, tableRevision, field('buckets', 'b', unpackBucketBitmap)],
  ],
  [
    MessageType.claimAnswer,
    [
      service,
      target,
      claimId,
      field('refused', 'r', unpackBucketBitmap),
      field('part', 'p', unpackInteger),
      field('parts', 'c', unpackInteger),
      field('hosts', 'h', createListUnpacker(unpackText)),
      field('entries', 'e', unpackBinary),
    ],
  ],
  [MessageType.hello, [service, target, incarnation, state, stateSequence, tableRevision, notices]],
  [
    MessageType.helloAnswer,
    [service, tables, field('balancers', 'l', createListUnpacker(unpackInteger)), notices],
  ],
  [MessageType.tableRequest, [haveThrough]],
  [
    MessageType.tableDelta,
    [
      field('fromRevision', 'f', unpackInteger),
      field('throughRevision', 'u', unpackInteger),
      tables,
      field('pushed', 'p', createEnumUnpacker(0, 1)),
      field('confirmId', 'd', unpackInteger),
    ],
  ],
  [
    MessageType.tableConfirm,
    [field('confirmId', 'd', unpackInteger), field('name', 'n', unpackText)],
  ],
  [MessageType.ping, gossipFields],
  [MessageType.pingAnswer, gossipFields],
  [MessageType.pingRequest, [...gossipFields, field('subject', 'j', unpackInteger)]],
  [MessageType.join, [sender, haveThrough]],
  [MessageType.memberList, [members, targets]],
  [
    MessageType.passedRequest,
    [
      service,
      target,
      field('targetIncarnation', 'j', unpackInteger),
      field('origin', 'o', unpackText),
      field('originIncarnation', 'i', unpackInteger),
      passId,
      field('deadline', 'e', unpackInteger),
      payload,
    ],
  ],
  [
    MessageType.passedAnswer,
    [
      service,
      target,
      passId,
      field('outcome', 'a', createEnumUnpacker(1, 2, 3)),
      field('freeSlots', 'k', unpackInteger),
      payload,
    ],
  ],
  [
    MessageType.permitQuery,
    [
      service,
      target,
      field('queryId', 'd', unpackInteger),
      field('issuerIncarnation', 'i', unpackInteger),
      field('serial', 'q', unpackInteger),
      field('expiresAt', 'e', unpackInteger),
    ],
  ],
  [
    MessageType.permitAnswer,
    [
      service,
      target,
      field('queryId', 'd', unpackInteger),
      field('burnt', 'a', createEnumUnpacker(0, 1)),
    ],
  ],
  [MessageType.drainNotice, [service, target]],
  [MessageType.flowEviction, [service, target, field('callers', 'x', unpackBinary)]],
]);

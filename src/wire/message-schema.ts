/**
 * How each message maps to a bson document: one short key a field, and a check
 * that a received value must pass. A frame from the network is trusted only
 * after every field of its type has passed.
 */
import { BUCKET_SET_BYTES } from '../core/bucket-set';
import type { ServiceTable, TableRow } from '../core/table';
import {
  binary,
  FieldError,
  integer,
  listOf,
  oneOf,
  positive,
  text,
  tuple,
  type FieldCodec,
} from './field-codecs';
import { MessageType, type MemberRecord, type TargetNotice, type TargetRumour } from './messages';

function bitmap(value: unknown): Buffer {
  const bytes = binary(value);
  if (bytes.length !== BUCKET_SET_BYTES) {
    throw new FieldError('not a bucket bitmap');
  }
  return bytes;
}

const agentState = oneOf(1, 2, 3);
const memberState = oneOf(1, 2, 3, 4);

function packRow(row: TableRow): unknown[] {
  return [row.target, row.address, row.share, row.slots, row.connections];
}

function unpackRow(value: unknown): TableRow {
  const [target, address, share, slots, connections] = tuple(value, 5);
  return {
    target: text(target),
    address: integer(address),
    share: positive(share),
    slots: integer(slots),
    connections: integer(connections),
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
  const [service, revision, writeId, rows] = tuple(value, 4);
  return {
    service: text(service),
    revision: integer(revision),
    writeId: text(writeId),
    rows: listOf(unpackRow)(rows),
  };
}

function packMember(member: MemberRecord): unknown[] {
  return [member.name, member.endpoint, member.zone, member.incarnation, member.state];
}

function unpackMember(value: unknown): MemberRecord {
  const [name, endpoint, zone, incarnation, state] = tuple(value, 5);
  return {
    name: text(name),
    endpoint: integer(endpoint),
    zone: text(zone),
    incarnation: integer(incarnation),
    state: memberState(state) as MemberRecord['state'],
  };
}

function packNotice(notice: TargetNotice): unknown[] {
  return [notice.target, notice.incarnation, notice.stateSequence, notice.state];
}

function unpackNotice(value: unknown): TargetNotice {
  const [target, incarnation, stateSequence, state] = tuple(value, 4);
  return {
    target: text(target),
    incarnation: integer(incarnation),
    stateSequence: integer(stateSequence),
    state: agentState(state) as TargetNotice['state'],
  };
}

function packRumour(rumour: TargetRumour): unknown[] {
  return [rumour.service, ...packNotice(rumour)];
}

function unpackRumour(value: unknown): TargetRumour {
  const [service, ...notice] = tuple(value, 5);
  return { service: text(service), ...unpackNotice(notice) };
}

type Unpack = (value: unknown) => unknown;

function field(property: string, key: string, unpack: Unpack, pack?: unknown): FieldCodec {
  return { property, key, unpack, ...(pack ? { pack: pack as (value: never) => unknown } : {}) };
}

function packList<T>(item: (value: T) => unknown): (values: readonly T[]) => unknown[] {
  return (values) => values.map(item);
}

const service = field('service', 's', text);
const target = field('target', 'n', text);
const caller = field('caller', 'c', integer);
const payload = field('payload', 'p', binary);
const incarnation = field('incarnation', 'i', integer);
const tableRevision = field('tableRevision', 'r', integer);
const sequence = field('sequence', 'q', integer);
const haveThrough = field('haveThrough', 'h', integer);
const sender = field('sender', 'm', unpackMember, packMember);
const members = field('members', 'l', listOf(unpackMember), packList(packMember));
const targets = field('targets', 'g', listOf(unpackRumour), packList(packRumour));
const tables = field('tables', 'b', listOf(unpackTable), packTables);
const state = field('state', 'a', agentState);
const stateSequence = field('stateSequence', 'j', integer);
const notices = field('notices', 'o', listOf(unpackNotice), packList(packNotice));
const claimId = field('claimId', 'd', integer);
const passId = field('passId', 'd', integer);
const beyond = field('beyond', 'b', integer);
const gossip = [sequence, sender, haveThrough, beyond, members, targets];

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
      field('balancer', 'b', integer),
      tableRevision,
      field('hops', 'h', integer),
      field('placedBy', 'o', text),
      payload,
    ],
  ],
  [MessageType.reply, [service, target, field('hosted', 'h', oneOf(0, 1)), caller, payload]],
  [
    MessageType.heartbeat,
    [
      service,
      target,
      incarnation,
      sequence,
      field('echo', 'e', integer),
      field('echoIncarnation', 'f', integer),
      state,
      stateSequence,
      tableRevision,
      field('flows', 'w', integer),
      field('freeSlots', 'k', integer),
      field('load', 'l', integer),
      field('age', 'g', integer),
      field('unheard', 'u', listOf(text)),
      field('closed', 'x', binary),
    ],
  ],
  [MessageType.claim, [service, target, claimId, tableRevision, field('buckets', 'b', bitmap)]],
  [
    MessageType.claimAnswer,
    [
      service,
      target,
      claimId,
      field('refused', 'r', bitmap),
      field('part', 'p', integer),
      field('parts', 'c', integer),
      field('hosts', 'h', listOf(text)),
      field('entries', 'e', binary),
    ],
  ],
  [MessageType.hello, [service, target, incarnation, state, stateSequence, tableRevision, notices]],
  [MessageType.helloAnswer, [service, tables, field('balancers', 'l', listOf(integer)), notices]],
  [MessageType.tableRequest, [haveThrough]],
  [
    MessageType.tableDelta,
    [
      field('fromRevision', 'f', integer),
      field('throughRevision', 'u', integer),
      tables,
      field('pushed', 'p', oneOf(0, 1)),
      field('confirmId', 'd', integer),
    ],
  ],
  [MessageType.tableConfirm, [field('confirmId', 'd', integer), field('name', 'n', text)]],
  [MessageType.ping, gossip],
  [MessageType.pingAnswer, gossip],
  [MessageType.pingRequest, [...gossip, field('subject', 'j', integer)]],
  [MessageType.join, [sender, haveThrough]],
  [MessageType.memberList, [members, targets]],
  [
    MessageType.passedRequest,
    [
      service,
      target,
      field('targetIncarnation', 'j', integer),
      field('origin', 'o', text),
      field('originIncarnation', 'i', integer),
      passId,
      field('deadline', 'e', integer),
      payload,
    ],
  ],
  [
    MessageType.passedAnswer,
    [
      service,
      target,
      passId,
      field('outcome', 'a', oneOf(1, 2, 3)),
      field('freeSlots', 'k', integer),
      payload,
    ],
  ],
  [
    MessageType.permitQuery,
    [
      service,
      target,
      field('queryId', 'd', integer),
      field('issuerIncarnation', 'i', integer),
      field('serial', 'q', integer),
      field('expiresAt', 'e', integer),
    ],
  ],
  [
    MessageType.permitAnswer,
    [service, target, field('queryId', 'd', integer), field('burnt', 'a', oneOf(0, 1))],
  ],
  [MessageType.drainNotice, [service, target]],
  [MessageType.flowEviction, [service, target, field('callers', 'x', binary)]],
]);

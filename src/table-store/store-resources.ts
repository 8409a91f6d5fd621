/**
 * The store's resources, which follow the Kubernetes API conventions, and their conversion
 * to tables. Received objects are validated before use.
 */
import { z } from 'zod';
import { formatEndpoint, parseEndpoint } from '../core/endpoint';
import type { ServiceTable, TableRow } from '../core/table';
import {
  MAXIMUM_RECENT_WRITE_IDS,
  type MachineRecord,
  type StoredTable,
  type TableWrite,
} from './store-port';

/** Path of the table collection. */
export const TABLES_PATH = '/apis/hallhold.io/v1/tables';
/** Path of the machine list. */
export const NODES_PATH = '/api/v1/nodes';

const WRITE_IDS_ANNOTATION = 'hallhold.io/write-ids';

const resourceVersion = z.string().regex(/^\d+$/).transform(Number);

const tableRow = z.object({
  target: z.string(),
  address: z
    .string()
    .refine((text) => parseEndpoint(text).ok)
    .transform((text) => parseEndpoint(text).unwrap()),
  share: z.number().min(0),
  slots: z.number().int().min(0),
  connections: z.number().int().min(0),
});

/** Schema of a table object. */
export const tableResource = z.object({
  metadata: z.object({
    name: z.string(),
    resourceVersion,
    annotations: z.record(z.string(), z.string()).default({}),
  }),
  spec: z.object({ rows: z.array(tableRow) }),
});

/** Schema of a list of table objects. */
export const tableList = z.object({
  metadata: z.object({ resourceVersion }),
  items: z.array(tableResource),
});

/** Schema of one line of a watch. */
export const watchEvent = z.object({
  type: z.enum(['ADDED', 'MODIFIED', 'BOOKMARK', 'ERROR']),
  object: z.unknown(),
});

const nodeResource = z.object({
  spec: z.object({ unschedulable: z.boolean().default(false) }).default({ unschedulable: false }),
  status: z.object({ addresses: z.array(z.object({ type: z.string(), address: z.string() })) }),
});

/** Schema of the machine list. */
export const nodeList = z.object({ items: z.array(nodeResource) });

type TableResource = z.infer<typeof tableResource>;

/** The write ids of an object, newest first. */
function getWriteIds(resource: TableResource): string[] {
  const joined = resource.metadata.annotations[WRITE_IDS_ANNOTATION] ?? '';
  return joined.split(',').filter((id) => id !== '');
}

/** Converts a stored object to a table. */
export function convertToTable(resource: TableResource): ServiceTable {
  const { name, resourceVersion: revision } = resource.metadata;
  return {
    service: name,
    revision,
    writeId: getWriteIds(resource)[0] ?? '',
    rows: resource.spec.rows,
  };
}

/** Converts a stored object to a table with its write ids. */
export function convertToStoredTable(resource: TableResource): StoredTable {
  return { table: convertToTable(resource), recentWriteIds: getWriteIds(resource) };
}

/** Creates the object to send for a write. */
export function createTableResource(
  write: TableWrite,
  expectedRevision: number,
  earlierWriteIds: readonly string[],
): unknown {
  const writeIds = [write.writeId, ...earlierWriteIds].slice(0, MAXIMUM_RECENT_WRITE_IDS);
  const version = expectedRevision > 0 ? { resourceVersion: String(expectedRevision) } : {};
  return {
    apiVersion: 'hallhold.io/v1',
    kind: 'Table',
    metadata: {
      name: write.service,
      ...version,
      annotations: { [WRITE_IDS_ANNOTATION]: writeIds.join(',') },
    },
    spec: { rows: write.rows.map(createRowResource) },
  };
}

/** Converts the machine list to one record per address. */
export function convertToMachines(list: z.infer<typeof nodeList>): MachineRecord[] {
  return list.items.flatMap((node) =>
    node.status.addresses.map(({ address }) => ({ address, leaving: node.spec.unschedulable })),
  );
}

function createRowResource(row: TableRow): unknown {
  return { ...row, address: formatEndpoint(row.address) };
}

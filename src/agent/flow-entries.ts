/** Encoding of flow lists in the binary fields of claim answers and heartbeats. */
import type { Endpoint } from '../environment';

/** Size of a caller's endpoint. */
export const ENDPOINT_BYTES = 6;
/** Size of a directory entry: endpoint and host index. */
export const ENTRY_BYTES = ENDPOINT_BYTES + 1;

/** A flow and the name of the target that hosts it. */
export interface FlowEntry {
  readonly caller: Endpoint;
  readonly host: string;
}

/** Packs endpoints contiguously. */
export function packCallers(callers: readonly Endpoint[]): Buffer {
  const bytes = Buffer.allocUnsafe(callers.length * ENDPOINT_BYTES);
  callers.forEach((caller, index) =>
    bytes.writeUIntBE(caller, index * ENDPOINT_BYTES, ENDPOINT_BYTES),
  );
  return bytes;
}

/** Reverses {@link packCallers}; a trailing partial entry is ignored. */
export function unpackCallers(bytes: Buffer): Endpoint[] {
  const count = Math.floor(bytes.length / ENDPOINT_BYTES);
  return Array.from({ length: count }, (_, index) =>
    bytes.readUIntBE(index * ENDPOINT_BYTES, ENDPOINT_BYTES),
  );
}

/** Packs entries; each host name is listed once. */
export function packEntries(entries: readonly FlowEntry[]): { hosts: string[]; bytes: Buffer } {
  const hosts = [...new Set(entries.map((entry) => entry.host))];
  const bytes = Buffer.allocUnsafe(entries.length * ENTRY_BYTES);
  entries.forEach((entry, index) => {
    const offset = index * ENTRY_BYTES;
    bytes.writeUIntBE(entry.caller, offset, ENDPOINT_BYTES);
    bytes[offset + ENDPOINT_BYTES] = hosts.indexOf(entry.host);
  });
  return { hosts, bytes };
}

/** Reverses {@link packEntries}; entries that name no listed host are ignored. */
export function unpackEntries(hosts: readonly string[], bytes: Buffer): FlowEntry[] {
  const entries: FlowEntry[] = [];
  for (let offset = 0; offset + ENTRY_BYTES <= bytes.length; offset += ENTRY_BYTES) {
    const host = hosts[bytes[offset + ENDPOINT_BYTES]!];
    if (host !== undefined) {
      entries.push({ caller: bytes.readUIntBE(offset, ENDPOINT_BYTES), host });
    }
  }
  return entries;
}

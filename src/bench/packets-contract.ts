/** Messages and settings shared by the packet benchmark and its child process. */
import type { Endpoint } from '../environment';
import type { RoutingTable } from '../packets/routing-table';

/**
 * A measured path: a bare relay, a balancer whose agents understand compact frames, one whose
 * agents also acknowledge each numbered packet, and one whose agents understand only documents.
 */
export type PacketPath = 'relay' | 'compact' | 'repaired' | 'document';

/** Numbers of packets after which the child reports its processor time. */
export const MEASURED_PACKET_COUNTS: readonly number[] = [200, 2_000, 18_000, 20_000];

/** Report of the child process to its parent. */
export type ChildReport =
  | { readonly kind: 'bound'; readonly clients: Endpoint; readonly frames: Endpoint }
  /** Processor time of the whole process since its start, including the JIT compiler. */
  | { readonly kind: 'used'; readonly packets: number; readonly microseconds: number };

const DESTINATION: Endpoint = 0x0b00_0001_0000;
const LIFETIME_MS = 60_000;
const SERVICE = 'bench';

/** The benchmark's one route, and the settings that its processes share. */
export const BenchSetup = {
  zone: 'bench',
  service: SERVICE,
  destination: DESTINATION,
  lifetime: LIFETIME_MS,
  /** Milliseconds; has no effect, as the table never changes. */
  applyTime: LIFETIME_MS,
  key: { id: 1, secret: Buffer.from('bench-cluster-secret') },
  table: {
    version: 1,
    idleTimeout: LIFETIME_MS,
    profiles: [],
    routes: [
      { name: 'bench', destination: DESTINATION, services: [{ service: SERVICE, weight: 1 }] },
    ],
  } satisfies RoutingTable,
} as const;

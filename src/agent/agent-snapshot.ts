/**
 * State that an agent process hands to its successor on the same machine.
 *
 * Times are of the machine's monotonic clock, which both processes share.
 */
import { deserialize, serialize } from 'bson';
import type { BackendMonitorState } from './backend-monitor';
import type { BackendRequestsState } from './backend-requests';
import type { BucketDirectoryState } from './bucket-directory';
import type { DrainStateSnapshot } from './drain-state';
import type { FlowTableState } from './flow-table';
import type { GroupMembershipState } from './group-membership';
import type { PermitAuthorityState } from './permit-authority';
import type { RequestGuardState } from './request-guard';
import type { RequestPassingState } from './request-passing';

/** State of an agent, part by part. */
export interface AgentSnapshot {
  readonly incarnation: number;
  readonly membership: GroupMembershipState;
  readonly directory: BucketDirectoryState;
  readonly flows: FlowTableState;
  readonly requests: BackendRequestsState;
  readonly passing: RequestPassingState;
  readonly permits: PermitAuthorityState;
  readonly guard: RequestGuardState;
  readonly monitor: BackendMonitorState;
  readonly drain: DrainStateSnapshot;
}

/** Encodes a snapshot as one bson document. */
export function encodeSnapshot(snapshot: AgentSnapshot): Buffer {
  return Buffer.from(serialize(snapshot));
}

/** Decodes a snapshot; it comes from the predecessor process on this machine and is trusted. */
export function decodeSnapshot(bytes: Buffer): AgentSnapshot {
  return deserialize(bytes, { promoteBuffers: true }) as AgentSnapshot;
}

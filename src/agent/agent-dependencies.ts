/** Dependencies and statistics of an agent. */
import type { Environment, FrameTransport } from '../environment';
import type { FrameCodec } from '../wire/frame-codec';
import type { BackendPort, PlacementPolicy } from './agent-context';
import type { Safeguards } from './safeguards';

/** Dependencies that are passed to an agent. */
export interface AgentDependencies {
  readonly environment: Environment;
  readonly transport: FrameTransport;
  readonly codec: FrameCodec;
  readonly backend: BackendPort;
  readonly safeguards?: Safeguards;
  readonly place?: PlacementPolicy;
  readonly hostsAnyFlow?: boolean;
}

/** Statistics of an agent for metrics and status. */
export interface AgentStatistics {
  readonly flows: number;
  readonly flowsOpened: number;
  readonly flowsClosed: number;
  readonly bucketsOwned: number;
  readonly directoryEntries: number;
  readonly busySlots: number;
  readonly observations: number;
  readonly ledgerEntries: number;
  readonly requestsAnswered: number;
  readonly requestsRefused: number;
  readonly requestsUnknown: number;
  readonly requestsPassed: number;
  readonly controlBytesSent: number;
  readonly framesRejected: number;
  readonly tableRevision: number;
  readonly draining: boolean;
}

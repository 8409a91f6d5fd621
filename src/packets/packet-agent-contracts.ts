/** Settings, dependencies and counters of a packet agent. */
import type { Endpoint, Environment, FrameTransport } from '../environment';
import type { ColdStartLimitSettings } from './cold-start-limiter';
import type { AgentRegistryPort } from './collection-port';
import type { PacketFormat } from './flow-packet';
import type { PacketFrameCodec } from './packet-frames';
import type { AnswerRepairFigures } from './repair/answer-repair';
import type { HopCounters } from './repair/hop-repair';
import type { TargetProbePort } from './startup/target-presence';

/** Settings of a packet agent. */
export interface PacketAgentSettings {
  readonly zone: string;
  /** Where other nodes reach this agent. */
  readonly address: Endpoint;
  readonly service: string;
  /** Balancers to contact first; the list may be out of date. */
  readonly seeds: readonly Endpoint[];
  /** Milliseconds between two heartbeats of the target. */
  readonly heartbeatInterval: number;
  /** Cold-start limits; undefined in a deployment without them. */
  readonly coldLimit: ColdStartLimitSettings | undefined;
  /** Milliseconds after which an idle flow expires. */
  readonly flowLifetime: number;
  /** Whether refusals lost on the way to a balancer are retransmitted. */
  readonly repairHops: boolean;
  /** Whether the agent retransmits packets of its target that a client does not acknowledge. */
  readonly repairAnswers: boolean;
  /** Whether queued requests are served by priority (docs/design/request-order.md). */
  readonly priorityQueue: boolean;
  /** Percentage of turns that each lower priority keeps then. */
  readonly lowerPriorityShare: number;
  /**
   * Whether new flows are found by their handshake, and an agent without a target withdraws from the
   * registry (docs/design/restart.md).
   */
  readonly earlyStart: boolean;
}

/** Dependencies of a packet agent, provided by its process. */
export interface PacketAgentDependencies {
  readonly environment: Environment;
  /** Start time of this process by the environment's clock, before its program was loaded. */
  readonly startedAt: number;
  /** The same in Unix milliseconds, on the clock of the machine that the target runs on. */
  readonly born: number;
  readonly codec: PacketFrameCodec;
  readonly transport: FrameTransport;
  readonly format: PacketFormat;
  readonly registry: AgentRegistryPort;
  readonly targetProbe: TargetProbePort;
  sendToClient(client: Endpoint, packet: Buffer): void;
  sendToTarget(packet: Buffer): void;
}

/** Counters of a packet agent. */
export interface PacketAgentCounters {
  packetsDelivered: number;
  packetsSent: number;
  packetsReturned: number;
  packetsRefused: number;
  packetsMalformed: number;
  requestsQueued: number;
  /** Queued requests dropped because their clients had left or their callers had timed out. */
  requestsGivenUp: number;
  heartbeats: number;
  heartbeatsRefused: number;
}

/** Metrics of a packet agent. */
export interface PacketAgentFigures extends HopCounters, AnswerRepairFigures {
  readonly busyRequests: number;
  readonly openFlows: number;
  /** Calls made to the registry for this agent. */
  readonly registrations: number;
  /** Probes of the address of a target that has sent nothing yet. */
  readonly targetLooks: number;
}

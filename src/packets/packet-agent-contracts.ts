/** Settings, needs and counters of a packet agent. */
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
  /** Balancers that may be running; may be out of date. */
  readonly seeds: readonly Endpoint[];
  /** Milliseconds between two heartbeats of the target. */
  readonly heartbeatInterval: number;
  /** Limits of cold targets; undefined in a deployment without them. */
  readonly coldLimit: ColdStartLimitSettings | undefined;
  /** Milliseconds for which a flow may rest. */
  readonly flowLifetime: number;
  /** Whether refusals lost on the way to a balancer are sent once more. */
  readonly repairHops: boolean;
  /** Whether the agent repeats packets of its target that a client does not acknowledge. */
  readonly repairAnswers: boolean;
  /** Whether more urgent requests go first where requests wait (docs/design/request-order.md). */
  readonly priorityQueue: boolean;
  /** Turns in a hundred that each lower priority keeps meanwhile. */
  readonly lowerPriorityShare: number;
  /**
   * Whether flows that have just opened are found by their handshake, and an agent without a target
   * takes itself out of the registry (docs/design/restart.md).
   */
  readonly earlyStart: boolean;
}

/** What a packet agent needs from its process. */
export interface PacketAgentDependencies {
  readonly environment: Environment;
  /** Time at which this process began, by the environment's clock; before its program was loaded. */
  readonly startedAt: number;
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
  /** Those that waited until their clients had left or their callers had given up. */
  requestsGivenUp: number;
  heartbeats: number;
  heartbeatsRefused: number;
}

/** Figures of a packet agent. */
export interface PacketAgentFigures extends HopCounters, AnswerRepairFigures {
  readonly busyRequests: number;
  readonly openFlows: number;
  /** Calls made to keep the agent in the registry. */
  readonly registrations: number;
  /** Looks taken at the address of a target that has not been heard. */
  readonly targetLooks: number;
}

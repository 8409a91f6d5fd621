/** What the parts of an agent share: settings, environment, sending of messages. */
import type { PlacementCandidate } from '../core/placement';
import type { Endpoint, Environment } from '../environment';
import type { ClusterKey } from '../wire/frame-codec';
import type { Message } from '../wire/messages';
import type { Safeguards } from './safeguards';

/** How a service's datagrams are handled. */
export type ServiceProtocol = 'datagram' | 'coap';

/** Checked settings of one agent. */
export interface AgentNodeSettings {
  readonly service: string;
  readonly protocol: ServiceProtocol;
  /** The agent's row in the service's table. */
  readonly target: string;
  /** Where this agent receives internal frames. */
  readonly endpoint: Endpoint;
  /** Balancers that receive hellos before any has answered. */
  readonly balancers: readonly Endpoint[];
  /** Increases with each start of the target's agent. */
  readonly incarnation: number;
  /** Milliseconds without a datagram after which a flow ends. */
  readonly flowIdle: number;
  /** Milliseconds in which the back end must answer a request. */
  readonly requestDeadline: number;
  /** Path of the back end's load report; empty if it has none. */
  readonly loadPath: string;
}

/** Sends datagrams to the agent's back end. */
export interface BackendPort {
  /** Sends on the single association of a coap service with its back end. */
  sendMessage(message: Buffer): void;
  /** Sends on the association of one flow of a datagram service; opens it if needed. */
  sendDatagram(caller: Endpoint, payload: Buffer): void;
  /** Closes a flow's association. */
  closeFlow(caller: Endpoint): void;
}

/** Chooses a target for a new flow; see `chooseTarget`. */
export type PlacementPolicy = (
  candidates: readonly PlacementCandidate[],
  owners: number,
  tieBreak: number,
) => PlacementCandidate | undefined;

/** Shared by the parts of one agent. */
export interface AgentContext {
  readonly settings: AgentNodeSettings;
  readonly environment: Environment;
  readonly safeguards: Safeguards;
  readonly backend: BackendPort;
  readonly place: PlacementPolicy;
  /** True in the simulator's baselines, where an agent hosts whatever flow reaches it. */
  readonly hostsAnyFlow: boolean;
  /** The cluster's current keys; they sign permits too. */
  getKeys(): readonly ClusterKey[];
  /** Bucket of the caller's flow to this service. */
  getBucket(caller: Endpoint): number;
  /** Encodes, signs and sends an internal message. */
  send(to: Endpoint, message: Message): void;
}

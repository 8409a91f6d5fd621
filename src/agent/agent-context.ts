/** What the parts of an agent share: settings, environment, the way out. */
import type { PlacementCandidate } from '../core/placement';
import type { Endpoint, Environment } from '../environment';
import type { ClusterKey } from '../wire/frame-codec';
import type { Message } from '../wire/messages';
import type { Safeguards } from './safeguards';

/** How a service's datagrams are treated. */
export type ServiceProtocol = 'datagram' | 'coap';

/** Checked settings of one agent. */
export interface AgentNodeSettings {
  readonly service: string;
  readonly protocol: ServiceProtocol;
  /** The agent's row in the service's table. */
  readonly target: string;
  /** Where this agent receives internal frames. */
  readonly endpoint: Endpoint;
  /** Balancers to say hello to before any answered. */
  readonly balancers: readonly Endpoint[];
  /** Rises with each start of the target's agent; tells one run from the next. */
  readonly incarnation: number;
  /** Milliseconds without a datagram after which a flow has ended. */
  readonly flowIdle: number;
  /** Milliseconds a back end has for a request. */
  readonly requestDeadline: number;
  /** Path of the back end's load report; empty when it has none. */
  readonly loadPath: string;
}

/** The agent's side of its back end. */
export interface BackendPort {
  /** Sends on the one association that a coap service has with its back end. */
  sendMessage(message: Buffer): void;
  /** Sends on the association of one flow of a datagram service, opening it when needed. */
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
  /** The cluster's keys in use, by which permits are made too. */
  getKeys(): readonly ClusterKey[];
  /** Bucket of a caller's flow to this service. */
  getBucket(caller: Endpoint): number;
  /** Encodes, signs and sends an internal message. */
  send(to: Endpoint, message: Message): void;
}

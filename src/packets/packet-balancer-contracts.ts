/** Settings, dependencies and metrics of a packet balancer. */
import type { Endpoint, Environment, FrameTransport } from '../environment';
import type { AgentRegistryPort, CollectionPort, StoreProbePort } from './collection-port';
import type { ChoiceSettings } from './choice/choice-settings';
import type { PacketFormat } from './flow-packet';
import type { LocalityFigures, LocalitySettings } from './locality/locality';
import type { PacketFrameCodec } from './packet-frames';
import type { SnapshotPort } from './peer-exchange';
import type { HopCounters } from './repair/hop-repair';
import type { RoutingTable } from './routing-table';
import type { StoreCalls } from './store-reading';
import type { EvacuatedZone } from './zone-evacuations';

/** Settings of a packet balancer. */
export interface PacketBalancerSettings extends LocalitySettings {
  /** Address at which other nodes reach this balancer. */
  readonly address: Endpoint;
  /** Address at which clients' packets arrive. */
  readonly packetAddress: Endpoint;
  /** CPUs that this balancer may use. */
  readonly capacity: number;
  /** Bandwidth of its network link in megabits per second. */
  readonly linkSpeed: number;
  /** Addresses of other balancers; may be out of date. */
  readonly seeds: readonly Endpoint[];
  /** Time in which a changed routing table must be active, in milliseconds. */
  readonly applyTime: number;
  /** Time for which a flow may be idle, in milliseconds. */
  readonly flowLifetime: number;
  /** Whether packets lost between balancer and agent are retransmitted. */
  readonly repairHops: boolean;
  /** Settings for the choice of agents for new flows; `DEFAULT_CHOICE` when undefined. */
  readonly choice?: ChoiceSettings;
  /** Whether the shortened start is used (docs/design/restart.md). */
  readonly earlyStart: boolean;
}

/** Dependencies that the process provides to a packet balancer. */
export interface PacketBalancerDependencies {
  readonly environment: Environment;
  readonly codec: PacketFrameCodec;
  readonly transport: FrameTransport;
  readonly format: PacketFormat;
  readonly routingTables: CollectionPort<RoutingTable>;
  readonly registry: AgentRegistryPort;
  /** Evacuated zones; undefined in a deployment without evacuations. */
  readonly evacuatedZones: CollectionPort<EvacuatedZone> | undefined;
  readonly storeProbe: StoreProbePort;
  readonly snapshots: SnapshotPort;
  sendToClient(client: Endpoint, packet: Buffer): void;
  /** Forwards a client's packet to the packet address of another balancer. */
  relay(packetAddress: Endpoint, packet: Buffer): void;
}

/** Metrics of a packet balancer. */
export interface PacketBalancerFigures extends StoreCalls, HopCounters, LocalityFigures {
  readonly routingVersion: number;
  readonly agentsKnown: number;
  readonly agentsHeard: number;
  readonly flowsCached: number;
  readonly framesRejected: number;
  readonly packetsRelayed: number;
  /** Clients' packets that were held back until this balancer had started. */
  readonly packetsKeptAtStart: number;
  /** Clients' packets that were relayed to another balancer because this one had just started. */
  readonly packetsRelayedAtStart: number;
  /** Held back packets that were dropped, because of their age or their number. */
  readonly packetsDroppedAtStart: number;
  readonly ready: boolean;
  readonly readsStore: boolean;
  /** The era of the store's latest answer; 0 before any, or in a store without eras. */
  readonly storeEra: number;
  /** The store revision up to which the registry is known. */
  readonly registryRevision: number;
  /** Number of evacuated zones. */
  readonly zonesEvacuated: number;
  /** Targets that get only trial flows, since they perform far worse than their service. */
  readonly agentsSetAside: number;
  /** Store calls that register or remove agents on their behalf. */
  readonly registryCalls: number;
}

/** Settings, needs and figures of a packet balancer. */
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
  /** Where other nodes reach this balancer. */
  readonly address: Endpoint;
  /** Where clients' packets arrive. */
  readonly packetAddress: Endpoint;
  /** Processors that this balancer may use. */
  readonly capacity: number;
  /** Megabits a second that its link carries. */
  readonly linkSpeed: number;
  /** Other balancers that may be running; may be out of date. */
  readonly seeds: readonly Endpoint[];
  /** Milliseconds in which a change of the routing table must be in force. */
  readonly applyTime: number;
  /** Milliseconds for which a flow may rest. */
  readonly flowLifetime: number;
  /** Whether packets lost on the way to an agent are sent once more. */
  readonly repairHops: boolean;
  /** How agents are chosen for new flows; `DEFAULT_CHOICE` when undefined. */
  readonly choice?: ChoiceSettings;
  /** Whether a start is shortened (docs/design/restart.md). */
  readonly earlyStart: boolean;
}

/** What a packet balancer needs from its process. */
export interface PacketBalancerDependencies {
  readonly environment: Environment;
  readonly codec: PacketFrameCodec;
  readonly transport: FrameTransport;
  readonly format: PacketFormat;
  readonly routingTables: CollectionPort<RoutingTable>;
  readonly registry: AgentRegistryPort;
  /** Zones out of service; undefined in a deployment that evacuates none. */
  readonly evacuatedZones: CollectionPort<EvacuatedZone> | undefined;
  readonly storeProbe: StoreProbePort;
  readonly snapshots: SnapshotPort;
  sendToClient(client: Endpoint, packet: Buffer): void;
  /** Hands a client's packet on to where another balancer takes clients' packets. */
  relay(packetAddress: Endpoint, packet: Buffer): void;
}

/** Figures of a packet balancer. */
export interface PacketBalancerFigures extends StoreCalls, HopCounters, LocalityFigures {
  readonly routingVersion: number;
  readonly agentsKnown: number;
  readonly agentsHeard: number;
  readonly flowsCached: number;
  readonly framesRejected: number;
  readonly packetsRelayed: number;
  /** Clients' packets that have waited for the start of this balancer. */
  readonly packetsKeptAtStart: number;
  /** Clients' packets that another balancer has got because this one had just started. */
  readonly packetsRelayedAtStart: number;
  /** Those of the waiting ones that waited too long, or were too many. */
  readonly packetsDroppedAtStart: number;
  readonly ready: boolean;
  readonly readsStore: boolean;
  /** The era of the store's latest answer; 0 before any, or without eras. */
  readonly storeEra: number;
  /** The store's revision through which the registry is known. */
  readonly registryRevision: number;
  /** Zones out of service. */
  readonly zonesEvacuated: number;
  /** Targets that get no flows but trials, since they are far worse than their services. */
  readonly agentsSetAside: number;
  /** Calls made to register or remove agents on their behalf. */
  readonly registryCalls: number;
}

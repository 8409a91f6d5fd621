/** What a balancer does with a client's packet in the end: delivers, resets or drops it. */
import { formatEndpoint } from '../core/endpoint';
import type { Endpoint, Environment } from '../environment';
import type { EventFields, EventKind } from '../logging/events';
import { Events } from '../logging/events';
import type { AgentDirectory, AgentEntry } from './agent-directory';
import { DelayedDeliveries, type DelayableMessage } from './delayed-deliveries';
import type { FlowKey, FlowPacket, PacketFormat } from './flow-packet';
import type { SpillCounters } from './locality/locality';
import type { PacketLink } from './packet-link';
import { PacketMessageType, type DeliverMessage } from './packet-messages';
import type { HopRepair } from './repair/hop-repair';
import type { ZoneDetour } from './zone-detour';

/** Counters of what became of clients' packets. */
export interface RoutingCounters extends SpillCounters {
  packetsReceived: number;
  packetsMalformed: number;
  packetsWithoutRoute: number;
  packetsDropped: number;
  flowsPlaced: number;
  /** Placed at a target of which too little is known; part of `flowsPlaced`, as the next two. */
  flowsPlacedDoubtful: number;
  /** Placed at a target that is silent or set aside, as nothing better took them. */
  flowsPlacedLastResort: number;
  /** Placed at a target that is set aside, to see how it does. */
  trialFlows: number;
  /** Openings refused since their requests would have been answered too late. */
  openingsRefused: number;
  flowsFound: number;
  searchesStarted: number;
  resetsSent: number;
  resetsRepeated: number;
  /** Sent through a balancer of a third zone, since their own zone could not be reached. */
  packetsDetoured: number;
}

/** What the outlet works with. */
export interface PacketForwarderDependencies {
  readonly environment: Environment;
  readonly format: PacketFormat;
  readonly directory: AgentDirectory;
  readonly link: PacketLink;
  readonly hops: HopRepair;
  readonly detours: ZoneDetour;
  /** Sends a reset to a client. */
  sendToClient(client: Endpoint, packet: Buffer): void;
}

/** The outlet of one balancer. */
export class PacketForwarder {
  readonly counters: RoutingCounters = {
    packetsReceived: 0,
    packetsMalformed: 0,
    packetsWithoutRoute: 0,
    packetsDropped: 0,
    flowsPlaced: 0,
    flowsPlacedAtHome: 0,
    flowsSpilledForWait: 0,
    flowsSpilledWithoutTarget: 0,
    flowsSpilledHomeUnknown: 0,
    flowsPlacedDoubtful: 0,
    flowsPlacedLastResort: 0,
    trialFlows: 0,
    openingsRefused: 0,
    flowsFound: 0,
    searchesStarted: 0,
    resetsSent: 0,
    resetsRepeated: 0,
    packetsDetoured: 0,
  };
  private readonly delayed = new DelayedDeliveries();
  /** Packets that have come through another balancer. */
  private readonly detoured = new WeakSet<FlowPacket>();

  constructor(private readonly dependencies: PacketForwarderDependencies) {}

  /**
   * Sends a packet to an agent; keeps it for a while when the agent is away. One that is heard
   * acknowledges packets whose loss matters, and gets them once more if it doesn't.
   * @param services services that may receive it
   * @param searchId the search that it belongs to; 0 for none
   */
  deliver(
    packet: FlowPacket,
    services: readonly string[],
    agent: Endpoint,
    searchId: number,
  ): void {
    const { directory, environment, hops } = this.dependencies;
    const message: DeliverMessage = {
      type: PacketMessageType.deliver,
      searchId,
      services,
      payload: packet.bytes,
    };
    const entry = directory.find(agent);
    if (entry && directory.isHeard(entry, environment.now())) {
      hops.send(agent, message, packet);
    } else {
      this.sendToSilent(packet, message, agent);
    }
  }

  /** Sends an agent that is not heard a packet, or a search with it; keeps it for a while. */
  sendToSilent(packet: FlowPacket, message: DelayableMessage, agent: Endpoint): void {
    const { directory, environment, link } = this.dependencies;
    const now = environment.now();
    const entry = directory.find(agent);
    if (entry && !packet.opens) {
      if (this.sendByDetour(packet, entry, now)) {
        return;
      }
      this.delayed.add(agent, packet.flow, message, now);
    }
    link.send(agent, message);
  }

  /** A packet has come through another balancer: it is delivered or dropped here. */
  markDetoured(packet: FlowPacket): void {
    this.detoured.add(packet);
  }

  /** Sends a packet to a zone out of reach through a third one; false when there is no such way. */
  private sendByDetour(packet: FlowPacket, { address, zone }: AgentEntry, now: number): boolean {
    const { detours, directory, link } = this.dependencies;
    if (this.detoured.has(packet) || !directory.isZoneSilent(zone, now)) {
      return false;
    }
    const balancer = detours.findBalancer(packet.flow, zone, now);
    if (balancer === undefined) {
      return false;
    }
    this.counters.packetsDetoured++;
    const { bytes: payload } = packet;
    link.send(balancer, { type: PacketMessageType.detour, agent: address, payload });
    return true;
  }

  /** Hands an agent that was away what has waited for it. */
  deliverDelayed(agent: Endpoint): void {
    const { environment, link } = this.dependencies;
    const messages = this.delayed.take(agent, environment.now());
    messages.forEach((message) => link.send(agent, message));
  }

  /** An agent does not hold a flow: what is kept of it for that agent is void. */
  discardDelayed(agent: Endpoint, flow: FlowKey): void {
    this.delayed.removeFlow(agent, flow);
  }

  /** Drops delayed packets that are too old. */
  expire(now: number): void {
    this.delayed.expire(now);
  }

  /** Tells a client that its flow is dead. */
  reset(packet: FlowPacket, reason: string, fields: EventFields = {}): void {
    this.counters.resetsSent++;
    this.reportEvent(Events.flowReset, packet, { reason, ...fields });
    this.sendReset(packet);
  }

  /** Tells a client once more that its flow is dead. */
  repeatReset(packet: FlowPacket): void {
    this.counters.resetsRepeated++;
    this.sendReset(packet);
  }

  /** Leaves a packet to the client's next copy. */
  drop(packet: FlowPacket, reason: string): void {
    this.counters.packetsDropped++;
    this.reportEvent(Events.packetDropped, packet, { reason, opens: packet.opens });
  }

  /** Reports an event of a client's packet. */
  reportEvent(event: EventKind, packet: FlowPacket, fields: EventFields): void {
    this.dependencies.environment.report(event, {
      client: formatEndpoint(packet.client),
      destination: formatEndpoint(packet.destination),
      ...fields,
    });
  }

  private sendReset(packet: FlowPacket): void {
    const { format, sendToClient } = this.dependencies;
    sendToClient(packet.client, format.createReset(packet));
  }
}

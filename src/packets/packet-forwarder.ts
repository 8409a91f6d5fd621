/** Carries out a balancer's decision about a client's packet: delivers, resets or drops it. */
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

/** Counters of the outcomes of clients' packets. */
export interface RoutingCounters extends SpillCounters {
  packetsReceived: number;
  packetsMalformed: number;
  packetsWithoutRoute: number;
  packetsDropped: number;
  flowsPlaced: number;
  /** Placed at a target with insufficient data; part of `flowsPlaced`, as the next two. */
  flowsPlacedDoubtful: number;
  /** Placed at an unresponsive or ejected target, since no better one accepts flows. */
  flowsPlacedLastResort: number;
  /** Placed at an ejected target to test whether it has recovered. */
  trialFlows: number;
  /** New flows refused since their requests would miss the deadline. */
  openingsRefused: number;
  flowsFound: number;
  searchesStarted: number;
  resetsSent: number;
  resetsRepeated: number;
  /** Sent through a balancer of a third zone, since the target's zone was unreachable. */
  packetsDetoured: number;
}

/** Dependencies of the packet forwarder. */
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

/** Delivers, resets or drops the packets of one balancer. */
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
  /** Packets that arrived by a detour from another balancer. */
  private readonly detoured = new WeakSet<FlowPacket>();

  constructor(private readonly dependencies: PacketForwarderDependencies) {}

  /**
   * Sends a packet to an agent. An agent with a recent report acknowledges packets whose loss
   * matters, and they are retransmitted if it does not; for other agents the packet is also retained
   * for a short time.
   * @param services services that may receive the packet
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
      this.sendToUnresponsive(packet, message, agent);
    }
  }

  /** Sends a packet, or a search with it, to an agent without a recent report; retains it for a short time. */
  sendToUnresponsive(packet: FlowPacket, message: DelayableMessage, agent: Endpoint): void {
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

  /** Marks a packet that arrived by a detour, so that it does not take another. */
  markDetoured(packet: FlowPacket): void {
    this.detoured.add(packet);
  }

  /** Sends a packet to an unreachable zone through a third one; returns false if that is not possible. */
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

  /** Sends the packets retained for an agent that reports again. */
  deliverDelayed(agent: Endpoint): void {
    const { environment, link } = this.dependencies;
    const messages = this.delayed.take(agent, environment.now());
    messages.forEach((message) => link.send(agent, message));
  }

  /** Drops the retained packets of a flow that an agent does not hold. */
  discardDelayed(agent: Endpoint, flow: FlowKey): void {
    this.delayed.removeFlow(agent, flow);
  }

  /** Removes expired packets. */
  expire(now: number): void {
    this.delayed.expire(now);
  }

  /** Sends a client a reset: its flow does not exist or is refused. */
  reset(packet: FlowPacket, reason: string, fields: EventFields = {}): void {
    this.counters.resetsSent++;
    this.reportEvent(Events.flowReset, packet, { reason, ...fields });
    this.sendReset(packet);
  }

  /** Sends a client a reset again. */
  repeatReset(packet: FlowPacket): void {
    this.counters.resetsRepeated++;
    this.sendReset(packet);
  }

  /** Drops a packet; the client retransmits it. */
  drop(packet: FlowPacket, reason: string): void {
    this.counters.packetsDropped++;
    this.reportEvent(Events.packetDropped, packet, { reason, opens: packet.opens });
  }

  /** Reports an event about a client's packet. */
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

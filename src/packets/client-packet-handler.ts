/**
 * An agent's handling of clients' packets: delivers them to its target or queues them, forwards
 * searches, and notifies balancers of packets that the target refused.
 */
import { formatEndpoint } from '../core/endpoint';
import type { Endpoint, Environment } from '../environment';
import { Events } from '../logging/events';
import type { FlowPacket, PacketFormat } from './flow-packet';
import type { FlowTracker } from './flow-tracker';
import type { MeanFlowBytes } from './locality/mean-flow-bytes';
import type { PacketAgentCounters } from './packet-agent-contracts';
import type { PacketLink } from './packet-link';
import {
  PacketMessageType,
  RefusalReason,
  SearchPhase,
  type DeliverMessage,
  type RefusalReasonValue,
  type SearchMessage,
  type SearchPhaseValue,
  type TargetStateValue,
} from './packet-messages';
import { PendingDeliveries } from './pending-deliveries';
import type { AnswerRepair } from './repair/answer-repair';
import type { HopRepair } from './repair/hop-repair';
import { determineNextStep } from './search-steps';
import type { TargetAdmission } from './target-admission';
import type { TargetGuard } from './target-guard';
import type { TargetHealth } from './target-health';
import type { TargetLifecycle } from './target-lifecycle';

const TOKEN_RANGE = 2 ** 32;

/** Dependencies of the client packet handler. */
export interface ClientPacketHandlerDependencies {
  readonly environment: Environment;
  readonly format: PacketFormat;
  /** Whether a flow is recognized by the packet that completes its handshake. */
  readonly recognizesHandshakes: boolean;
  readonly admission: TargetAdmission;
  readonly answers: AnswerRepair;
  readonly counters: PacketAgentCounters;
  readonly flowBytes: MeanFlowBytes;
  readonly guard: TargetGuard;
  readonly health: TargetHealth;
  readonly hops: HopRepair;
  readonly link: PacketLink;
  readonly target: TargetLifecycle;
  readonly tracker: FlowTracker;
  /** Whether the agent has found no target on its machine. */
  isTargetMissing(): boolean;
  /** Returns the agent's state, which may differ from its target's. */
  state(): TargetStateValue;
  /** Records that an opening packet or a request was sent to the target or queued for it. */
  recordLoad(): void;
  /** Records a balancer that has sent a packet. */
  recordBalancer(balancer: Endpoint): void;
  sendToTarget(packet: Buffer): void;
}

/** Handles the clients' packets of one agent. */
export class ClientPacketHandler {
  private readonly pending: PendingDeliveries;

  constructor(private readonly dependencies: ClientPacketHandlerDependencies) {
    const { environment } = dependencies;
    this.pending = new PendingDeliveries(Math.floor(environment.random() * TOKEN_RANGE));
  }

  /** Handles a client's packet from a balancer. */
  handleDelivery(message: DeliverMessage, balancer: Endpoint): void {
    const { answers, recordBalancer } = this.dependencies;
    const packet = this.decodeFromClient(message.payload);
    if (!packet) {
      return;
    }
    recordBalancer(balancer);
    answers.handleClientPacket(packet);
    const refusal = this.findRefusalReason(packet, message.services);
    if (refusal !== undefined) {
      this.refuse(packet, message.searchId, balancer, refusal);
      return;
    }
    this.admit(packet, balancer, message.searchId);
  }

  /** Handles a search: accepts its packet if this agent's target holds the flow, or forwards it. */
  handleSearch(message: SearchMessage): void {
    const { answers, link, tracker } = this.dependencies;
    const { balancer, searchId } = message;
    const packet = this.decodeFromClient(message.payload);
    if (!packet) {
      return;
    }
    link.recordCompactFrames(balancer);
    answers.handleClientPacket(packet);
    const isRefused = this.findRefusalReason(packet, message.services) !== undefined;
    if (isRefused || packet.opens) {
      this.forwardSearch(message);
    } else if (this.isHolderFor(packet, balancer)) {
      const flow = Buffer.from(packet.flow, 'latin1');
      link.send(balancer, { type: PacketMessageType.held, flow });
      this.admit(packet, balancer, searchId);
    } else if (tracker.belongsToEndedFlow(packet)) {
      this.admit(packet, balancer, searchId);
    } else if (this.mustOffer(message.phase, packet)) {
      this.sendPacketToTarget(packet, balancer, this.pending.add(balancer, searchId, message));
    } else {
      this.forwardSearch(message);
    }
  }

  /** Notifies a balancer that the target holds a flow; sends nothing if it does not. */
  confirmIfHeld(flow: Buffer, balancer: Endpoint): void {
    const { link, tracker } = this.dependencies;
    if (tracker.confirmHeldFor(flow.toString('latin1'), balancer)) {
      link.send(balancer, { type: PacketMessageType.held, flow });
    }
  }

  /** Sends an admitted packet to the target. */
  deliverAdmitted(packet: FlowPacket, balancer: Endpoint, searchId: number): void {
    this.sendPacketToTarget(packet, balancer, this.pending.add(balancer, searchId));
  }

  /** Handles a client's packet that the target rejected: it does not hold the flow, or cannot accept it. */
  handleReturned(packet: FlowPacket): void {
    const { admission, answers, counters, environment, format, health, tracker } =
      this.dependencies;
    counters.packetsReturned++;
    tracker.recordReturnedPacket(packet);
    answers.removeFlow(packet.flow);
    admission.dropReturnedRequest(packet);
    if (packet.opens) {
      health.recordReturnedOpening(environment.now());
    }
    admission.releaseWaiting(environment.now());
    const delivery = this.pending.take(format.readToken(packet.bytes));
    if (!delivery) {
      return;
    }
    format.restoreClientForm(packet.bytes);
    const { searchId, balancer, search: interruptedSearch } = delivery;
    if (interruptedSearch) {
      counters.packetsRefused++;
      this.reportReturned(packet, interruptedSearch);
      this.forwardSearch({ ...interruptedSearch, payload: packet.bytes });
    } else {
      this.refuse(packet, searchId, balancer, RefusalReason.returnedByTarget);
    }
  }

  /** Refuses all queued requests when the target is down. */
  refuseQueued(): void {
    for (const { packet, searchId, balancer } of this.dependencies.admission.takeAll()) {
      this.refuse(packet, searchId, balancer, RefusalReason.targetDown);
    }
  }

  private findRefusalReason(
    { opens }: FlowPacket,
    services: readonly string[],
  ): RefusalReasonValue | undefined {
    const { guard, isTargetMissing } = this.dependencies;
    return isTargetMissing() ? RefusalReason.noTarget : guard.findRefusalReason(opens, services);
  }

  /** Whether the target holds a packet's flow, or will once it has received this packet. */
  private isHolderFor(packet: FlowPacket, balancer: Endpoint): boolean {
    const { recognizesHandshakes, tracker } = this.dependencies;
    const isHeld = tracker.confirmHeldFor(packet.flow, balancer);
    return isHeld || (recognizesHandshakes && tracker.confirmOpenedBy(packet, balancer));
  }

  /** Whether a search must offer its packet to the target to learn if it holds the flow. */
  private mustOffer(phase: SearchPhaseValue, { flow }: FlowPacket): boolean {
    const { target, tracker } = this.dependencies;
    switch (phase) {
      case SearchPhase.query:
      case SearchPhase.queryOnly:
        return false;
      case SearchPhase.offer:
        return true;
      case SearchPhase.conclusive:
        return !target.isKnownFromStart || tracker.hasSeenFlow(flow);
    }
  }

  /** Forwards a search to the next agent, or its outcome to the balancer. */
  private forwardSearch(message: SearchMessage): void {
    const { link } = this.dependencies;
    const step = determineNextStep(message);
    switch (step.kind) {
      case 'next':
        link.send(step.agent, step.message);
        return;
      case 'over':
        link.send(step.balancer, step.message);
    }
  }

  private decodeFromClient(bytes: Buffer): FlowPacket | undefined {
    const { counters, environment, format } = this.dependencies;
    const packet = format.decodeFromClient(bytes);
    if (!packet) {
      counters.packetsMalformed++;
      environment.report(Events.packetMalformed, { length: bytes.length });
    }
    return packet;
  }

  private admit(packet: FlowPacket, balancer: Endpoint, searchId: number): void {
    const { admission, counters, environment, recordLoad } = this.dependencies;
    if (admission.admit(packet, balancer, searchId, environment.now())) {
      counters.requestsQueued++;
    }
    if (packet.opens || packet.payloadLength > 0) {
      recordLoad();
    }
  }

  private sendPacketToTarget(packet: FlowPacket, balancer: Endpoint, token: number): void {
    const { counters, environment, flowBytes, format, guard, sendToTarget, tracker } =
      this.dependencies;
    counters.packetsDelivered++;
    flowBytes.addClientPacket(packet);
    tracker.recordDelivery(packet, balancer, environment.now());
    if (packet.opens) {
      guard.recordOpening();
    }
    this.reportRequest(packet, balancer);
    format.writeToken(packet.bytes, token);
    sendToTarget(packet.bytes);
  }

  private reportRequest(packet: FlowPacket, balancer: Endpoint): void {
    const { admission, environment, format, state, tracker } = this.dependencies;
    const request = format.readRequestId(packet);
    if (request !== undefined) {
      environment.report(Events.requestDelivered, {
        request,
        client: formatEndpoint(packet.client),
        destination: formatEndpoint(packet.destination),
        balancer: formatEndpoint(balancer),
        state: state(),
        busy: tracker.busyRequests + admission.waitingRequests,
        priority: admission.getPriority(packet),
        working: tracker.workingRequests,
        waiting: admission.waitingRequests,
      });
    }
  }

  private reportReturned(packet: FlowPacket, message: SearchMessage): void {
    const { environment, target } = this.dependencies;
    environment.report(Events.packetReturned, {
      client: formatEndpoint(packet.client),
      destination: formatEndpoint(packet.destination),
      balancer: formatEndpoint(message.balancer),
      phase: message.phase,
      position: message.position,
      agents: message.agents.length,
      knowsAllFlows: target.isKnownFromStart,
    });
  }

  private refuse(
    packet: FlowPacket,
    searchId: number,
    balancer: Endpoint,
    reason: RefusalReasonValue,
  ): void {
    const { counters, environment, hops, state, tracker } = this.dependencies;
    counters.packetsRefused++;
    environment.report(Events.packetRefused, {
      client: formatEndpoint(packet.client),
      destination: formatEndpoint(packet.destination),
      opens: packet.opens,
      reason,
      state: state(),
      busy: tracker.busyRequests,
    });
    const { bytes: payload } = packet;
    const message = { type: PacketMessageType.notHeld, searchId, reason, payload };
    hops.send(balancer, message, packet);
  }
}

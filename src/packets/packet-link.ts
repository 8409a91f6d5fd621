/**
 * Message link of the packet interface. Sends compact frames only to nodes that support them, so
 * that two versions can run side by side.
 */
import type { Endpoint, Environment, FrameTransport } from '../environment';
import { MessageLink } from '../wire/message-link';
import { hasCompactForm, type PacketFrameCodec } from './packet-frames';
import {
  COMPACT_FRAME_VERSION,
  GROUP_SEARCH_VERSION,
  HOP_REPAIR_VERSION,
  CONCLUSIVE_SEARCH_VERSION,
  PacketMessageType,
  type PacketMessage,
  type ReportMessage,
} from './packet-messages';
import { isHopMessage } from './repair/hop-messages';

/** Beyond this limit all nodes are forgotten; their next frames record them again. */
const MAXIMUM_TRACKED_NODES = 20_000;

/** Whether a message exists only as a compact frame and is sent only to nodes that support it. */
function hasOnlyCompactForm(message: PacketMessage): boolean {
  switch (message.type) {
    case PacketMessageType.search:
    case PacketMessageType.noneHolds:
    case PacketMessageType.noneKnows:
      return true;
    default:
      return isHopMessage(message);
  }
}

/** Sends and receives the messages of one node. */
export class PacketLink extends MessageLink<PacketMessage> {
  private readonly compactFrameNodes = new Set<Endpoint>();
  private readonly groupSearchNodes = new Set<Endpoint>();
  private readonly conclusiveSearchNodes = new Set<Endpoint>();
  private readonly hopRepairNodes = new Set<Endpoint>();

  constructor(
    private readonly packetCodec: PacketFrameCodec,
    transport: FrameTransport,
    environment: Environment,
  ) {
    super(packetCodec, transport, environment);
  }

  /** Whether a node is known to support compact frames. */
  supportsCompactFrames(node: Endpoint): boolean {
    return this.compactFrameNodes.has(node);
  }

  /** Whether an agent is known to support group searches. */
  supportsGroupSearch(agent: Endpoint): boolean {
    return this.groupSearchNodes.has(agent);
  }

  /** Whether an agent is known to support conclusive searches. */
  supportsConclusiveSearch(agent: Endpoint): boolean {
    return this.conclusiveSearchNodes.has(agent);
  }

  /** Whether a node is known to acknowledge numbered messages. */
  supportsHopRepair(node: Endpoint): boolean {
    return this.hopRepairNodes.has(node);
  }

  /** Records the latest frame version that a node supports, as announced by it. */
  recordVersion(node: Endpoint, version: number): void {
    setNodeSupport(this.compactFrameNodes, node, version >= COMPACT_FRAME_VERSION);
    setNodeSupport(this.groupSearchNodes, node, version >= GROUP_SEARCH_VERSION);
    setNodeSupport(this.conclusiveSearchNodes, node, version >= CONCLUSIVE_SEARCH_VERSION);
    this.recordHopRepair(node, version);
  }

  /** Records that a node supports compact frames; changes nothing else known about it. */
  recordCompactFrames(node: Endpoint): void {
    setNodeSupport(this.compactFrameNodes, node, true);
  }

  /**
   * Records by a node's version only whether it acknowledges numbered messages: earlier balancers
   * send no version in this place, yet may support compact frames.
   */
  recordHopRepair(node: Endpoint, version: number): void {
    setNodeSupport(this.hopRepairNodes, node, version >= HOP_REPAIR_VERSION);
  }

  /** Decodes a received frame; a node that sends compact frames also supports them. */
  receiveFrom(node: Endpoint, frame: Buffer): PacketMessage | undefined {
    const message = this.receive(frame);
    if (message && frame[0] === COMPACT_FRAME_VERSION) {
      this.recordCompactFrames(node);
    }
    return message;
  }

  /** Sends a report to several balancers, encoded once in each form that they support. */
  sendReport(balancers: readonly Endpoint[], report: ReportMessage): void {
    const compact = balancers.filter((balancer) => this.hopRepairNodes.has(balancer));
    const others = balancers.filter((balancer) => !this.hopRepairNodes.has(balancer));
    if (compact.length > 0) {
      this.sendFrame(compact, this.packetCodec.encodeReport(report));
    }
    this.sendToAll(others, report);
  }

  protected override encodeFor(to: Endpoint, message: PacketMessage): Buffer {
    const isSupported = hasOnlyCompactForm(message) || this.compactFrameNodes.has(to);
    return hasCompactForm(message) && isSupported
      ? this.packetCodec.encodeCompact(message)
      : super.encodeFor(to, message);
  }
}

/** Adds a node to a set, or removes it. */
function setNodeSupport(nodes: Set<Endpoint>, node: Endpoint, isSupported: boolean): void {
  if (!isSupported) {
    nodes.delete(node);
    return;
  }
  if (nodes.size >= MAXIMUM_TRACKED_NODES && !nodes.has(node)) {
    nodes.clear();
  }
  nodes.add(node);
}

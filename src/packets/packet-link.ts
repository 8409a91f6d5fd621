/**
 * The link of the packet interface: sends compact frames to nodes that understand them, so
 * that programs of two versions can serve side by side.
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

/** Nodes noted; beyond that all are forgotten, and noted anew by their next frames. */
const MAXIMUM_TRACKED_NODES = 20_000;

/** Whether a message came with compact frames, and goes only to those who understand them. */
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

/** Sends and receives the frames of one node. */
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

  /** Whether a node is known to understand compact frames. */
  supportsCompactFrames(node: Endpoint): boolean {
    return this.compactFrameNodes.has(node);
  }

  /** Whether an agent is known to search in groups. */
  supportsGroupSearch(agent: Endpoint): boolean {
    return this.groupSearchNodes.has(agent);
  }

  /** Whether an agent is known to understand sure searches. */
  supportsConclusiveSearch(agent: Endpoint): boolean {
    return this.conclusiveSearchNodes.has(agent);
  }

  /** Whether a node is known to acknowledge numbered messages. */
  supportsHopRepair(node: Endpoint): boolean {
    return this.hopRepairNodes.has(node);
  }

  /** Notes which version of frames a node has said that it understands. */
  recordVersion(node: Endpoint, version: number): void {
    setNodeSupport(this.compactFrameNodes, node, version >= COMPACT_FRAME_VERSION);
    setNodeSupport(this.groupSearchNodes, node, version >= GROUP_SEARCH_VERSION);
    setNodeSupport(this.conclusiveSearchNodes, node, version >= CONCLUSIVE_SEARCH_VERSION);
    this.recordHopRepair(node, version);
  }

  /** Notes that a node understands compact frames, and nothing else of it. */
  recordCompactFrames(node: Endpoint): void {
    setNodeSupport(this.compactFrameNodes, node, true);
  }

  /**
   * Notes by the version of a node only whether it acknowledges numbered messages: balancers of
   * an earlier version name none where later ones do, and yet may understand compact frames.
   */
  recordHopRepair(node: Endpoint, version: number): void {
    setNodeSupport(this.hopRepairNodes, node, version >= HOP_REPAIR_VERSION);
  }

  /** The message of a received frame; a node that sends compact frames also understands them. */
  receiveFrom(node: Endpoint, frame: Buffer): PacketMessage | undefined {
    const message = this.receive(frame);
    if (message && frame[0] === COMPACT_FRAME_VERSION) {
      this.recordCompactFrames(node);
    }
    return message;
  }

  /** Sends a report to many, encoded once for those that know its compact form and once for others. */
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

/** Adds a node to those noted, or takes it out. */
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

/**
 * The link of the packet interface: sends compact frames to nodes that understand them, so
 * that programs of two versions can serve side by side.
 */
import type { Endpoint, Environment, FrameTransport } from '../environment';
import { MessageLink } from '../wire/message-link';
import { isCompact, type PacketFrameCodec } from './packet-frames';
import {
  COMPACT_FRAME_VERSION,
  GROUP_SEARCH_VERSION,
  REPAIR_VERSION,
  SURE_SEARCH_VERSION,
  PacketMessageType,
  type PacketMessage,
  type ReportMessage,
} from './packet-messages';
import { isHopMessage } from './repair/hop-messages';

/** Nodes noted; beyond that all are forgotten, and noted anew by their next frames. */
const MAXIMUM_NODES = 20_000;

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
  private readonly compactNodes = new Set<Endpoint>();
  private readonly groupNodes = new Set<Endpoint>();
  private readonly sureNodes = new Set<Endpoint>();
  private readonly repairNodes = new Set<Endpoint>();

  constructor(
    private readonly packetCodec: PacketFrameCodec,
    transport: FrameTransport,
    environment: Environment,
  ) {
    super(packetCodec, transport, environment);
  }

  /** Whether a node is known to understand compact frames. */
  speaksCompact(node: Endpoint): boolean {
    return this.compactNodes.has(node);
  }

  /** Whether an agent is known to search in groups. */
  searchesInGroups(agent: Endpoint): boolean {
    return this.groupNodes.has(agent);
  }

  /** Whether an agent is known to understand sure searches. */
  searchesForSure(agent: Endpoint): boolean {
    return this.sureNodes.has(agent);
  }

  /** Whether a node is known to acknowledge numbered messages. */
  repairsHops(node: Endpoint): boolean {
    return this.repairNodes.has(node);
  }

  /** Notes which version of frames a node has said that it understands. */
  noteVersion(node: Endpoint, version: number): void {
    noteNode(this.compactNodes, node, version >= COMPACT_FRAME_VERSION);
    noteNode(this.groupNodes, node, version >= GROUP_SEARCH_VERSION);
    noteNode(this.sureNodes, node, version >= SURE_SEARCH_VERSION);
    this.noteRepairs(node, version);
  }

  /** Notes that a node understands compact frames, and nothing else of it. */
  noteCompact(node: Endpoint): void {
    noteNode(this.compactNodes, node, true);
  }

  /**
   * Notes by the version of a node only whether it acknowledges numbered messages: balancers of
   * an earlier version name none where later ones do, and yet may understand compact frames.
   */
  noteRepairs(node: Endpoint, version: number): void {
    noteNode(this.repairNodes, node, version >= REPAIR_VERSION);
  }

  /** The message of a received frame; a node that sends compact frames also understands them. */
  receiveFrom(node: Endpoint, frame: Buffer): PacketMessage | undefined {
    const message = this.receive(frame);
    if (message && frame[0] === COMPACT_FRAME_VERSION) {
      this.noteCompact(node);
    }
    return message;
  }

  /** Sends a report to many, encoded once for those that know its compact form and once for others. */
  sendReport(balancers: readonly Endpoint[], report: ReportMessage): void {
    const compact = balancers.filter((balancer) => this.repairNodes.has(balancer));
    const others = balancers.filter((balancer) => !this.repairNodes.has(balancer));
    if (compact.length > 0) {
      this.sendFrame(compact, this.packetCodec.encodeReport(report));
    }
    this.sendToAll(others, report);
  }

  protected override encodeFor(to: Endpoint, message: PacketMessage): Buffer {
    const isUnderstood = hasOnlyCompactForm(message) || this.compactNodes.has(to);
    return isCompact(message) && isUnderstood
      ? this.packetCodec.encodeCompact(message)
      : super.encodeFor(to, message);
  }
}

/** Adds a node to those noted, or takes it out. */
function noteNode(nodes: Set<Endpoint>, node: Endpoint, isNoted: boolean): void {
  if (!isNoted) {
    nodes.delete(node);
    return;
  }
  if (nodes.size >= MAXIMUM_NODES && !nodes.has(node)) {
    nodes.clear();
  }
  nodes.add(node);
}

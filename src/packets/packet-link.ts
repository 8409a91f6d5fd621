/**
 * The link of the packet interface: sends compact frames to nodes that understand them, so
 * that programs of two versions can serve side by side.
 */
import type { Endpoint, Environment, FrameTransport } from '../environment';
import { MessageLink } from '../wire/message-link';
import { isCompact, type PacketFrameCodec } from './packet-frames';
import { COMPACT_FRAME_VERSION, PacketMessageType, type PacketMessage } from './packet-messages';

/** Nodes noted; beyond that all are forgotten, and noted anew by their next frames. */
const MAXIMUM_NODES = 20_000;

/** Whether a message came with compact frames, and goes only to those who understand them. */
function hasOnlyCompactForm({ type }: PacketMessage): boolean {
  return type === PacketMessageType.search || type === PacketMessageType.noneHolds;
}

/** Sends and receives the frames of one node. */
export class PacketLink extends MessageLink<PacketMessage> {
  private readonly compactNodes = new Set<Endpoint>();

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

  /** Notes which version of frames a node understands. */
  noteVersion(node: Endpoint, version: number): void {
    if (version < COMPACT_FRAME_VERSION) {
      this.compactNodes.delete(node);
      return;
    }
    if (this.compactNodes.size >= MAXIMUM_NODES && !this.compactNodes.has(node)) {
      this.compactNodes.clear();
    }
    this.compactNodes.add(node);
  }

  /** The message of a received frame; a node that sends compact frames also understands them. */
  receiveFrom(node: Endpoint, frame: Buffer): PacketMessage | undefined {
    const message = this.receive(frame);
    if (message && frame[0] === COMPACT_FRAME_VERSION) {
      this.noteVersion(node, COMPACT_FRAME_VERSION);
    }
    return message;
  }

  protected override encodeFor(to: Endpoint, message: PacketMessage): Buffer {
    const isUnderstood = hasOnlyCompactForm(message) || this.compactNodes.has(to);
    return isCompact(message) && isUnderstood
      ? this.packetCodec.encodeCompact(message)
      : super.encodeFor(to, message);
  }
}

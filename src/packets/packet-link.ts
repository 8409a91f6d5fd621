/** A packet node's way to other nodes: encodes and sends, authenticates and counts. */
import type { Endpoint, Environment, FrameTransport } from '../environment';
import { ResultCodes } from '../errors/result-codes';
import { Events } from '../logging/events';
import type { FrameCodec } from '../wire/frame-codec';
import type { PacketMessage } from './packet-messages';

/** Sends and receives the frames of one packet node. */
export class PacketLink {
  private rejected = 0;

  constructor(
    private readonly codec: FrameCodec<PacketMessage>,
    private readonly transport: FrameTransport,
    private readonly environment: Environment,
  ) {}

  /** Frames received that were not authentic or malformed. */
  get framesRejected(): number {
    return this.rejected;
  }

  send(to: Endpoint, message: PacketMessage): void {
    this.transport.send(to, this.codec.encode(message));
  }

  /** The message of a received frame; undefined for one that is dropped, which is reported. */
  receive(frame: Buffer): PacketMessage | undefined {
    const decoded = this.codec.decode(frame);
    if (decoded.ok) {
      return decoded.val;
    }
    this.rejected++;
    const malformed = decoded.val.resultCode === ResultCodes.frameMalformed;
    const event = malformed ? Events.frameMalformed : Events.frameNotAuthentic;
    this.environment.report(event, { reason: decoded.val.message });
    return undefined;
  }
}

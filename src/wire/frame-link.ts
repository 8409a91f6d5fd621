/** A node's way to and from other nodes: encodes and sends, authenticates and counts. */
import type { Endpoint, Environment, FrameTransport } from '../environment';
import { ResultCodes } from '../errors/result-codes';
import { Events } from '../logging/events';
import type { FrameCodec } from './frame-codec';
import { MessageType, type Message } from './messages';

/** Sends and receives the frames of one node. */
export class FrameLink {
  private controlBytes = 0;
  private rejected = 0;

  constructor(
    readonly codec: FrameCodec,
    private readonly transport: FrameTransport,
    private readonly environment: Environment,
  ) {}

  /** Bytes sent in frames that carry no caller's datagram. */
  get controlBytesSent(): number {
    return this.controlBytes;
  }

  /** Frames received that were not authentic or malformed. */
  get framesRejected(): number {
    return this.rejected;
  }

  send(to: Endpoint, message: Message): void {
    const frame = this.codec.encode(message);
    if (message.type !== MessageType.forward && message.type !== MessageType.reply) {
      this.controlBytes += frame.length;
    }
    this.transport.send(to, frame);
  }

  /** The message of a received frame; undefined for one that is dropped, which is reported. */
  receive(frame: Buffer): Message | undefined {
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

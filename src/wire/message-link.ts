/** A node's way to and from other nodes: encodes and sends, authenticates and counts. */
import type { Endpoint, Environment, FrameTransport } from '../environment';
import { ResultCodes } from '../errors/result-codes';
import { Events } from '../logging/events';
import type { FrameCodec } from './frame-codec';

/** Sends and receives the frames of one node in one protocol. */
export class MessageLink<M extends { readonly type: number }> {
  private rejectedFrames = 0;

  constructor(
    readonly codec: FrameCodec<M>,
    private readonly transport: FrameTransport,
    private readonly environment: Environment,
  ) {}

  /** Frames received that were not authentic or malformed. */
  get framesRejected(): number {
    return this.rejectedFrames;
  }

  /** Sends a message; returns the bytes of its frame. */
  send(to: Endpoint, message: M): number {
    const frame = this.encodeFor(to, message);
    this.transport.send(to, frame);
    return frame.length;
  }

  /** Sends one message to many, encoded once. */
  sendToAll(addresses: readonly Endpoint[], message: M): void {
    if (addresses.length > 0) {
      this.sendFrame(addresses, this.codec.encode(message));
    }
  }

  /** The message of a received frame; undefined for one that is dropped, which is reported. */
  receive(frame: Buffer): M | undefined {
    const decoded = this.codec.decode(frame);
    if (decoded.ok) {
      return decoded.val;
    }
    this.rejectedFrames++;
    const isMalformed = decoded.val.resultCode === ResultCodes.frameMalformed;
    const event = isMalformed ? Events.frameMalformed : Events.frameNotAuthentic;
    this.environment.report(event, { reason: decoded.val.message });
    return undefined;
  }

  /** Sends one frame to many. */
  protected sendFrame(addresses: readonly Endpoint[], frame: Buffer): void {
    addresses.forEach((to) => this.transport.send(to, frame));
  }

  /** The frame of a message for one node. */
  protected encodeFor(_to: Endpoint, message: M): Buffer {
    return this.codec.encode(message);
  }
}

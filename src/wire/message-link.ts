/** Encodes and sends the messages of a node; authenticates and decodes the frames it receives. */
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

  /** Number of received frames that were not authentic or malformed. */
  get framesRejected(): number {
    return this.rejectedFrames;
  }

  /** Sends a message; returns the length of its frame in bytes. */
  send(to: Endpoint, message: M): number {
    const frame = this.encodeFor(to, message);
    this.transport.send(to, frame);
    return frame.length;
  }

  /** Sends one message to several nodes, encoded once. */
  sendToAll(addresses: readonly Endpoint[], message: M): void {
    if (addresses.length > 0) {
      this.sendFrame(addresses, this.codec.encode(message));
    }
  }

  /** Decodes a received frame; returns undefined and logs the reason when it is rejected. */
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

  /** Sends one frame to several nodes. */
  protected sendFrame(addresses: readonly Endpoint[], frame: Buffer): void {
    addresses.forEach((to) => this.transport.send(to, frame));
  }

  /** Encodes a message for one node. */
  protected encodeFor(_to: Endpoint, message: M): Buffer {
    return this.codec.encode(message);
  }
}

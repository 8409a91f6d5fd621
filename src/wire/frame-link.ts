/** The message link of the datagram interface, which counts control traffic. */
import type { Endpoint } from '../environment';
import { MessageLink } from './message-link';
import { MessageType, type Message } from './messages';

/** Sends and receives the frames of one node. */
export class FrameLink extends MessageLink<Message> {
  private controlBytes = 0;

  /** Bytes sent in frames that carry neither a caller's datagram nor a reply. */
  get controlBytesSent(): number {
    return this.controlBytes;
  }

  override send(to: Endpoint, message: Message): number {
    const length = super.send(to, message);
    if (message.type !== MessageType.forward && message.type !== MessageType.reply) {
      this.controlBytes += length;
    }
    return length;
  }
}

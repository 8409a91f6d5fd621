/** Which messages belong to hop repair alone, and which message a numbered one carries. */
import {
  PacketMessageType,
  type DeliverMessage,
  type NotHeldMessage,
  type NumberedDeliverMessage,
  type NumberedRefusalMessage,
  type PacketMessage,
  type ReceivedMessage,
} from '../packet-messages';

/** A message that can be numbered. */
export type RepairableMessage = DeliverMessage | NotHeldMessage;
/** A message with its number. */
export type NumberedMessage = NumberedDeliverMessage | NumberedRefusalMessage;
/** A message of hop repair. */
export type HopMessage = ReceivedMessage | NumberedMessage;
/** A message that a node acts on. */
export type PlainMessage = Exclude<PacketMessage, HopMessage>;

/** Whether a message belongs to hop repair alone. */
export function isHopMessage(message: PacketMessage): message is HopMessage {
  switch (message.type) {
    case PacketMessageType.received:
    case PacketMessageType.numberedDeliver:
    case PacketMessageType.numberedRefusal:
      return true;
    default:
      return false;
  }
}

/** The message that a numbered one carries. */
export function extractMessage(message: NumberedMessage): RepairableMessage {
  const { searchId, payload } = message;
  switch (message.type) {
    case PacketMessageType.numberedDeliver: {
      const { services } = message;
      return { type: PacketMessageType.deliver, searchId, services, payload };
    }
    case PacketMessageType.numberedRefusal: {
      const { reason } = message;
      return { type: PacketMessageType.notHeld, searchId, reason, payload };
    }
  }
}

/** Message types of hop repair, and conversion of numbered messages to plain ones. */
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
/** A message with a session and sequence number. */
export type NumberedMessage = NumberedDeliverMessage | NumberedRefusalMessage;
/** A message that only hop repair handles. */
export type HopMessage = ReceivedMessage | NumberedMessage;
/** Any other message, which a node handles itself. */
export type PlainMessage = Exclude<PacketMessage, HopMessage>;

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

/** The plain message that a numbered one carries. */
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

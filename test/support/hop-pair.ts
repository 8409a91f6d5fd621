/** Nodes with hop repair and nothing else, on a network whose losses the test decides. */
import type { Endpoint } from '../../src/environment';
import type { EventKind } from '../../src/logging/events';
import { PacketFrameCodec } from '../../src/packets/packet-frames';
import { PacketLink } from '../../src/packets/packet-link';
import { type PacketMessage, PacketMessageType } from '../../src/packets/packet-messages';
import type { PlainMessage } from '../../src/packets/repair/hop-messages';
import { HopRepair } from '../../src/packets/repair/hop-repair';
import {
  encodeModelPacket,
  modelPacketFormat,
} from '../../src/simulation/packets/model-packet-format';
import { VirtualClock } from '../../src/simulation/virtual-clock';

const KEY = { id: 1, secret: Buffer.from('a-test-key-of-the-cluster') };
/** Milliseconds from one node to another. */
export const ONE_WAY_MS = 1;

/** A frame on its way. */
export interface SentFrame {
  readonly from: Endpoint;
  readonly to: Endpoint;
  readonly at: number;
  readonly message: PacketMessage;
}

/** One run of one node. */
export class HopNode {
  readonly accepted: PlainMessage[] = [];
  readonly events: EventKind[] = [];
  readonly link: PacketLink;
  readonly hops: HopRepair;
  isReachable = true;
  /** What has come while its process pauses; undefined while it runs. */
  private paused: { readonly timers: (() => void)[]; readonly frames: (() => void)[] } | undefined;

  /** @param random the numbers that its run draws */
  constructor(
    readonly address: Endpoint,
    private readonly network: HopNetwork,
    random: () => number,
    isEnabled = true,
  ) {
    const { clock } = network;
    const environment = {
      now: () => clock.now,
      startTimer: (delay: number, action: () => void) =>
        clock.schedule(delay, () => this.runTimer(action)),
      random,
      report: (event: EventKind) => void this.events.push(event),
    };
    const transport = {
      send: (to: Endpoint, frame: Buffer) => network.transmit(address, to, frame),
    };
    this.link = new PacketLink(network.codec, transport, environment);
    this.hops = new HopRepair({
      environment,
      link: this.link,
      isEnabled,
      isReachable: () => this.isReachable,
    });
  }

  /** Sends a packet with some data, or one that the fields make. */
  send(
    to: Endpoint,
    data = 'request',
    { flags = 0, searchId = 0 }: { readonly flags?: number; readonly searchId?: number } = {},
  ): void {
    const payload = createPacket(data, flags);
    const packet = modelPacketFormat.decodeFromClient(payload)!;
    const message = { type: PacketMessageType.deliver, searchId, services: ['map'], payload };
    this.hops.send(to, message, packet);
  }

  /** Refuses a packet with some data. */
  refuse(to: Endpoint, data = 'request'): void {
    const payload = createPacket(data, 0);
    const packet = modelPacketFormat.decodeFromClient(payload)!;
    const message = { type: PacketMessageType.notHeld, searchId: 0, reason: 1, payload } as const;
    this.hops.send(to, message, packet);
  }

  /** Its process gets no processor for a while; then timers run first, and frames are read after. */
  pause(milliseconds: number): void {
    const paused = { timers: [], frames: [] };
    this.paused = paused;
    this.network.clock.schedule(milliseconds, () => {
      this.paused = undefined;
      [...paused.timers, ...paused.frames].forEach((action: () => void) => action());
    });
  }

  receive(frame: Buffer, from: Endpoint): void {
    if (this.paused) {
      this.paused.frames.push(() => this.receive(frame, from));
      return;
    }
    const message = this.link.receiveFrom(from, frame);
    const unpacked = message && this.hops.receive(from, message);
    if (unpacked) {
      this.accepted.push(unpacked);
    }
  }

  private runTimer(action: () => void): void {
    if (this.paused) {
      this.paused.timers.push(action);
    } else {
      action();
    }
  }

  /** Frames of one type that this node's address has sent. */
  findSentFrames(type: PacketMessage['type']): SentFrame[] {
    return this.network.frames.filter(
      ({ from, message }) => from === this.address && message.type === type,
    );
  }
}

/** Carries the frames of the nodes that are attached to it. */
export class HopNetwork {
  readonly clock = new VirtualClock();
  readonly codec = new PacketFrameCodec([KEY]);
  readonly frames: SentFrame[] = [];
  /** Whether a frame is lost; decided as it is sent. */
  isLost: (frame: SentFrame) => boolean = () => false;
  /** Milliseconds from one node to another. */
  delay = ONE_WAY_MS;
  private readonly nodes = new Map<Endpoint, HopNode>();

  /** Puts a node at its address, in place of an earlier run of it. */
  attach(node: HopNode): HopNode {
    this.nodes.set(node.address, node);
    return node;
  }

  transmit(from: Endpoint, to: Endpoint, frame: Buffer): void {
    const message = this.codec.decode(frame).unwrap();
    const sent = { from, to, at: this.clock.now, message };
    this.frames.push(sent);
    if (!this.isLost(sent)) {
      const bytes = Buffer.from(frame);
      this.clock.schedule(this.delay, () => this.nodes.get(to)?.receive(bytes, from));
    }
  }

  runFor(milliseconds: number): void {
    this.clock.runUntil(this.clock.now + milliseconds);
  }
}

/** Loses the first frames of a type, as many as given. */
export function dropFirst(type: PacketMessage['type'], count = 1): (frame: SentFrame) => boolean {
  let remaining = count;
  return ({ message }) => message.type === type && remaining-- > 0;
}

function createPacket(data: string, flags: number): Buffer {
  const fields = { client: 7, destination: 8, sequence: 1, acknowledgement: 1 };
  return encodeModelPacket({ ...fields, flags, payload: data });
}

/** Nodes that run only hop repair, on a network whose losses the test controls. */
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
/** One-way delay between nodes. */
export const ONE_WAY_MS = 1;

/** A frame in transit. */
export interface SentFrame {
  readonly from: Endpoint;
  readonly to: Endpoint;
  readonly at: number;
  readonly message: PacketMessage;
}

/** One incarnation of one node. */
export class HopNode {
  readonly accepted: PlainMessage[] = [];
  readonly events: EventKind[] = [];
  readonly link: PacketLink;
  readonly hops: HopRepair;
  isReachable = true;
  /** Timers and frames deferred while the process is paused; undefined while it runs. */
  private paused: { readonly timers: (() => void)[]; readonly frames: (() => void)[] } | undefined;

  /** @param random the source of random numbers of this incarnation */
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

  /** Sends a packet with the given data, flags and search id. */
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

  /** Sends a refusal of a packet with the given data. */
  refuse(to: Endpoint, data = 'request'): void {
    const payload = createPacket(data, 0);
    const packet = modelPacketFormat.decodeFromClient(payload)!;
    const message = { type: PacketMessageType.notHeld, searchId: 0, reason: 1, payload } as const;
    this.hops.send(to, message, packet);
  }

  /** Pauses the process; afterwards deferred timers run first, then deferred frames are read. */
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
    const plain = message && this.hops.receive(from, message);
    if (plain) {
      this.accepted.push(plain);
    }
  }

  private runTimer(action: () => void): void {
    if (this.paused) {
      this.paused.timers.push(action);
    } else {
      action();
    }
  }

  /** Frames of one type that were sent from this node's address. */
  findSentFrames(type: PacketMessage['type']): SentFrame[] {
    return this.network.frames.filter(
      ({ from, message }) => from === this.address && message.type === type,
    );
  }
}

/** Transmits frames between the attached nodes. */
export class HopNetwork {
  readonly clock = new VirtualClock();
  readonly codec = new PacketFrameCodec([KEY]);
  readonly frames: SentFrame[] = [];
  /** Whether a frame is lost; evaluated when it is sent. */
  isLost: (frame: SentFrame) => boolean = () => false;
  /** One-way delay in milliseconds. */
  delay = ONE_WAY_MS;
  private readonly nodes = new Map<Endpoint, HopNode>();

  /** Attaches a node at its address, replacing an earlier incarnation. */
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

/** Drops the first `count` frames of a type. */
export function dropFirst(type: PacketMessage['type'], count = 1): (frame: SentFrame) => boolean {
  let remaining = count;
  return ({ message }) => message.type === type && remaining-- > 0;
}

function createPacket(data: string, flags: number): Buffer {
  const fields = { client: 7, destination: 8, sequence: 1, acknowledgement: 1 };
  return encodeModelPacket({ ...fields, flags, payload: data });
}

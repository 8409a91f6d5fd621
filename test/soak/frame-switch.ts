/**
 * A loopback proxy for the frames between processes. Every process listens at an address
 * that only the switch knows and is known to the others by another one, where the switch
 * receives for it; so each direction of each pair can be cut, delayed and thinned alone.
 */
import type { Endpoint } from '../../src/environment';
import { UdpSocket } from '../../src/runtime/udp-socket';
import type { SeededRandom } from '../../src/simulation/seeded-random';
import { TcpFaultProxy } from '../../src/standins/fault-proxy';

/** What happens to the frames of one direction. */
export interface LinkQuality {
  readonly isCut: boolean;
  /** Part of the frames that is lost, 0 to 1. */
  readonly loss: number;
  /** Part of the frames that arrives twice, 0 to 1. */
  readonly duplication: number;
  /** Milliseconds; each frame takes between none and all of it. */
  readonly delay: number;
}

/** Part of the datagrams that every link loses all the time: a few in a hundred. */
export const DEFAULT_LOSS = 0.03;
export const DEFAULT_LINK: LinkQuality = {
  isCut: false,
  loss: DEFAULT_LOSS,
  duplication: 0,
  delay: 0,
};

interface Port {
  readonly advertised: Endpoint;
  readonly listening: Endpoint;
  readonly socket: UdpSocket;
  readonly streams: TcpFaultProxy;
}

/** The switch of one soak. */
export class FrameSwitch {
  private readonly byListening = new Map<Endpoint, Port>();
  private readonly byAdvertised = new Map<Endpoint, Port>();
  private readonly links = new Map<string, LinkQuality>();

  constructor(private readonly random: SeededRandom) {}

  /** Receives for a process that others know by `advertised`. */
  async connect(advertised: Endpoint, listening: Endpoint): Promise<void> {
    const bound = await UdpSocket.bindEndpoint(advertised, (frame, from) =>
      this.forward(frame, from, port),
    );
    const streams = new TcpFaultProxy(advertised, listening);
    await streams.start();
    const port: Port = { advertised, listening, socket: bound.unwrap(), streams };
    this.byListening.set(listening, port);
    this.byAdvertised.set(advertised, port);
  }

  /** Sets what happens to frames from one process to another, both by advertised address. */
  setLink(from: Endpoint, to: Endpoint, quality: LinkQuality): void {
    this.links.set(`${from}>${to}`, quality);
  }

  /** Breaks the streams to a process and refuses new ones, or lets them pass again. */
  cutStreams(to: Endpoint, cut: boolean): void {
    this.byAdvertised.get(to)?.streams.setCut(cut);
  }

  stop(): void {
    for (const { socket, streams } of this.byListening.values()) {
      socket.close();
      streams.stop();
    }
  }

  private forward(frame: Buffer, from: Endpoint, to: Port): void {
    const sender = this.byListening.get(from);
    if (!sender) {
      return;
    }
    const quality = this.links.get(`${sender.advertised}>${to.advertised}`) ?? DEFAULT_LINK;
    if (quality.isCut || this.random.next() < quality.loss) {
      return;
    }
    const copies = this.random.next() < quality.duplication ? 2 : 1;
    for (let copy = 0; copy < copies; copy++) {
      const deliver = (): void => sender.socket.send(to.listening, frame);
      if (quality.delay > 0) {
        setTimeout(deliver, this.random.next() * quality.delay);
      } else {
        deliver();
      }
    }
  }
}

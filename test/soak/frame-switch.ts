/**
 * Loopback proxy for the frames between processes. Every process advertises an address at which
 * the switch receives, and listens at another that only the switch knows; so each direction of
 * each pair can be cut, delayed and made lossy independently.
 */
import type { Endpoint } from '../../src/environment';
import { UdpSocket } from '../../src/runtime/udp-socket';
import type { SeededRandom } from '../../src/simulation/seeded-random';
import { TcpFaultProxy } from '../../src/standins/fault-proxy';

/** Treatment of the frames of one direction. */
export interface LinkQuality {
  readonly isCut: boolean;
  /** Share of frames that are lost, 0 to 1. */
  readonly loss: number;
  /** Share of frames that arrive twice, 0 to 1. */
  readonly duplication: number;
  /** Maximum delay in milliseconds; each frame's delay is uniform from 0 to it. */
  readonly delay: number;
}

/** Share of datagrams that every link loses without a fault. */
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

  /** Receives at `advertised` on behalf of a process that listens at `listening`. */
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

  /** Sets the quality from one process to another, both by advertised address. */
  setLink(from: Endpoint, to: Endpoint, quality: LinkQuality): void {
    this.links.set(`${from}>${to}`, quality);
  }

  /** Cuts the streams to a process and refuses new ones, or forwards them again. */
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

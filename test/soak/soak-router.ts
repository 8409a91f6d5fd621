/** Routers of the soak: probe the balancers and send clients' packets to the healthy ones. */
import { createSocket, type Socket } from 'node:dgram';
import { request } from 'node:http';
import { packetFormat } from '../../platform/packet-header';
import { computeRendezvousScore } from '../../src/core/hashing';
import type { ClusterPorts } from '../support/packet-cluster';

const PROBE_INTERVAL_MS = 500;
const PROBE_TIMEOUT_MS = 400;
const UNHEALTHY_MISS_COUNT = 2;

/** Handles a datagram to the client at a port. */
export type ClientHandler = (port: number, bytes: Buffer) => void;

/** All routers, with the socket that all clients share. */
export class SoakRouter {
  private readonly misses = new Map<string, number>();
  private readonly socket: Socket = createSocket('udp4');
  private timer: NodeJS.Timeout | undefined;

  constructor(
    private readonly clientMachine: string,
    private readonly balancers: readonly string[],
    private readonly ports: ClusterPorts,
    private readonly deliverToClient: ClientHandler,
    /** Decides whether the next datagram from or to a client is lost. */
    private readonly isLost: () => boolean,
  ) {}

  async start(): Promise<void> {
    const { socket, ports, clientMachine } = this;
    await new Promise<void>((done) => socket.bind(ports.packets, clientMachine, done));
    socket.on('message', (bytes) => {
      const packet = packetFormat.decodeFromTarget(bytes);
      if (packet && !this.isLost()) {
        this.deliverToClient(bytes.readUInt16BE(6), bytes);
      }
    });
    this.timer = setInterval(() => this.probe(), PROBE_INTERVAL_MS);
    this.probe();
  }

  stop(): void {
    clearInterval(this.timer);
    this.socket.close();
  }

  /** Sends a client's packet to the balancer that its flow currently hashes to. */
  route(packet: Buffer): void {
    const flow = packetFormat.decodeFromClient(packet)!.flow;
    const inUse = this.balancers.filter(
      (one) => (this.misses.get(one) ?? 0) < UNHEALTHY_MISS_COUNT,
    );
    const pool = inUse.length * 2 < this.balancers.length ? this.balancers : inUse;
    const score = (one: string): number => computeRendezvousScore(flow, one);
    const best = pool.reduce((a, b) => (score(a) >= score(b) ? a : b));
    if (!this.isLost()) {
      this.socket.send(packet, this.ports.packets, best);
    }
  }

  private probe(): void {
    for (const host of this.balancers) {
      const { ready: port } = this.ports;
      const path = '/hallhold/ready';
      const recordProbe = (ok: boolean): void => {
        this.misses.set(host, ok ? 0 : (this.misses.get(host) ?? 0) + 1);
      };
      let settled = false;
      const recordOnce = (ok: boolean): void => {
        if (!settled) {
          settled = true;
          recordProbe(ok);
        }
      };
      const call = request(
        { host, port, path, agent: false, timeout: PROBE_TIMEOUT_MS },
        (answer) => {
          answer.resume();
          recordOnce(answer.statusCode === 200);
        },
      );
      call.on('timeout', () => call.destroy());
      call.on('error', () => recordOnce(false));
      call.end();
    }
  }
}

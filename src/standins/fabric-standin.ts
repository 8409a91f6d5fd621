/**
 * The network fabric stand-in: sprays each datagram of a caller over the balancers.
 * Every caller flow has one socket towards the balancers, so that its source address
 * stays the flow's key whichever balancer it reaches.
 */
import type { Endpoint } from '../environment';
import { endpointAddress } from '../core/endpoint';
import { UdpSocket } from '../runtime/udp-socket';

const WAITING_MAXIMUM = 64;

/** A service's address and where its balancers receive. */
export interface FabricService {
  readonly name: string;
  readonly listen: Endpoint;
  /** Balancer name to the address where it receives the service's datagrams. */
  readonly balancers: ReadonlyMap<string, Endpoint>;
}

interface FabricFlow {
  socket: UdpSocket | undefined;
  waiting: Buffer[];
}

/** One fabric for all services. */
export class FabricStandin {
  private readonly withdrawn = new Set<string>();
  private readonly sockets: UdpSocket[] = [];
  private readonly flows = new Map<string, FabricFlow>();

  constructor(
    private readonly services: readonly FabricService[],
    private readonly random: () => number = Math.random,
  ) {}

  /** Binds the services' addresses. */
  async start(): Promise<void> {
    for (const service of this.services) {
      const bound = await UdpSocket.bindEndpoint(service.listen, (payload, caller) =>
        this.receive(service, caller, payload),
      );
      if (bound.err) {
        throw bound.val;
      }
      this.sockets.push(bound.val);
      this.listeners.set(service.name, bound.val);
    }
  }

  /** Takes a balancer out of the spray, or puts it back. */
  setLive(balancer: string, live: boolean): void {
    if (live) {
      this.withdrawn.delete(balancer);
    } else {
      this.withdrawn.add(balancer);
    }
  }

  stop(): void {
    this.sockets.forEach((socket) => socket.close());
    this.flows.forEach((flow) => flow.socket?.close());
  }

  private readonly listeners = new Map<string, UdpSocket>();

  private receive(service: FabricService, caller: Endpoint, payload: Buffer): void {
    const key = `${service.name}/${caller}`;
    const flow = this.flows.get(key) ?? this.openFlow(key, service, caller);
    if (flow.socket) {
      this.spray(service, flow.socket, payload);
    } else if (flow.waiting.length < WAITING_MAXIMUM) {
      flow.waiting.push(payload);
    }
  }

  private openFlow(key: string, service: FabricService, caller: Endpoint): FabricFlow {
    const flow: FabricFlow = { socket: undefined, waiting: [] };
    this.flows.set(key, flow);
    const listener = this.listeners.get(service.name)!;
    void UdpSocket.bind(endpointAddress(service.listen), 0, (payload) =>
      listener.send(caller, payload),
    ).then((bound) => {
      if (bound.ok) {
        flow.socket = bound.val;
        flow.waiting.forEach((payload) => this.spray(service, bound.val, payload));
        flow.waiting = [];
      } else {
        this.flows.delete(key);
      }
    });
    return flow;
  }

  private spray(service: FabricService, socket: UdpSocket, payload: Buffer): void {
    const live = [...service.balancers].filter(([name]) => !this.withdrawn.has(name));
    const chosen = live[Math.floor(this.random() * live.length)];
    if (chosen) {
      socket.send(chosen[1], payload);
    }
  }
}

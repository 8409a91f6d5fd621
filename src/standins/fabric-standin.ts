/**
 * Stand-in for the network fabric: sends each datagram of a caller to a random balancer.
 * Each flow has one socket towards the balancers, so that all of them see the same source
 * address, which is the flow's key.
 */
import { request } from 'undici';
import type { Endpoint } from '../environment';
import { getEndpointAddress } from '../core/endpoint';
import { UdpSocket } from '../runtime/udp-socket';

const MAXIMUM_WAITING_DATAGRAMS = 64;
const HEALTH_CHECK_INTERVAL_MS = 250;
const HEALTH_CHECK_TIMEOUT_MS = 1_000;

/** Address of a service and of the balancers that receive for it. */
export interface FabricService {
  readonly name: string;
  readonly listen: Endpoint;
  /** Address that receives the service's datagrams, by balancer name. */
  readonly balancers: ReadonlyMap<string, Endpoint>;
}

interface FabricFlow {
  socket: UdpSocket | undefined;
  waiting: Buffer[];
}

/** Distributes the datagrams of all services. */
export class FabricStandin {
  private readonly withdrawn = new Set<string>();
  private readonly sockets: UdpSocket[] = [];
  private readonly listeners = new Map<string, UdpSocket>();
  private readonly flows = new Map<string, FabricFlow>();
  private healthTimer: NodeJS.Timeout | undefined;

  /** @param healthUrls URL that answers 200 while the balancer takes traffic, by balancer name */
  constructor(
    private readonly services: readonly FabricService[],
    private readonly healthUrls: ReadonlyMap<string, string> = new Map(),
    private readonly random: () => number = Math.random,
  ) {}

  /** Binds the services' addresses; throws if one cannot be bound. */
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
    if (this.healthUrls.size > 0) {
      this.healthTimer = setInterval(() => void this.checkHealth(), HEALTH_CHECK_INTERVAL_MS);
      await this.checkHealth();
    }
  }

  /** Puts a balancer into the distribution or takes it out. */
  setLive(balancer: string, live: boolean): void {
    if (live) {
      this.withdrawn.delete(balancer);
    } else {
      this.withdrawn.add(balancer);
    }
  }

  stop(): void {
    clearInterval(this.healthTimer);
    this.sockets.forEach((socket) => socket.close());
    this.flows.forEach((flow) => flow.socket?.close());
  }

  private async checkHealth(): Promise<void> {
    const checks = [...this.healthUrls].map(async ([name, url]) => {
      this.setLive(name, await isHealthy(url));
    });
    await Promise.all(checks);
  }

  private receive(service: FabricService, caller: Endpoint, payload: Buffer): void {
    const key = `${service.name}/${caller}`;
    const flow = this.flows.get(key) ?? this.openFlow(key, service, caller);
    if (flow.socket) {
      this.sendToRandomBalancer(service, flow.socket, payload);
    } else if (flow.waiting.length < MAXIMUM_WAITING_DATAGRAMS) {
      flow.waiting.push(payload);
    }
  }

  private openFlow(key: string, service: FabricService, caller: Endpoint): FabricFlow {
    const flow: FabricFlow = { socket: undefined, waiting: [] };
    this.flows.set(key, flow);
    const listener = this.listeners.get(service.name)!;
    void UdpSocket.bind(getEndpointAddress(service.listen), 0, (payload) =>
      listener.send(caller, payload),
    ).then((bound) => {
      if (bound.ok) {
        flow.socket = bound.val;
        flow.waiting.forEach((payload) => this.sendToRandomBalancer(service, bound.val, payload));
        flow.waiting = [];
      } else {
        this.flows.delete(key);
      }
    });
    return flow;
  }

  private sendToRandomBalancer(service: FabricService, socket: UdpSocket, payload: Buffer): void {
    const live = [...service.balancers].filter(([name]) => !this.withdrawn.has(name));
    const chosen = live[Math.floor(this.random() * live.length)];
    if (chosen) {
      socket.send(chosen[1], payload);
    }
  }
}

async function isHealthy(url: string): Promise<boolean> {
  try {
    const response = await request(url, { signal: AbortSignal.timeout(HEALTH_CHECK_TIMEOUT_MS) });
    await response.body.dump();
    return response.statusCode === 200;
  } catch {
    return false;
  }
}

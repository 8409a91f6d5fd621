/** One balancer in the simulation. */
import { BalancerNode, type RoutingFactory } from '../balancer/balancer-node';
import { packEndpoint } from '../core/endpoint';
import type { Endpoint } from '../environment';
import type { FrameCodec } from '../wire/frame-codec';
import type { SimulatedNetwork } from './simulated-network';
import type { SimulatedProcess } from './simulated-process';
import type { SimulatedStore } from './simulated-store';

const FRAME_PORT = 7_000;
const FIRST_SERVICE_PORT = 5_683;
const LEARNT_FLOWS = 10_000;

/** What all balancers of a simulation share. */
export interface BalancerSurroundings {
  readonly network: SimulatedNetwork;
  readonly codec: FrameCodec;
  readonly store: SimulatedStore;
  readonly routing: RoutingFactory | undefined;
  readonly serviceNames: readonly string[];
  seedEndpoints(): Endpoint[];
  createProcess(name: string, zone: string, machine: string): SimulatedProcess;
  nextIncarnation(): number;
}

/** A balancer and its process. */
export class SimulatedBalancer {
  readonly endpoint: Endpoint;
  node!: BalancerNode;
  process!: SimulatedProcess;
  startedAt = 0;
  /** A planned stop is under way. */
  stopping = false;

  constructor(
    readonly name: string,
    readonly zone: string,
    readonly address: string,
    private readonly surroundings: BalancerSurroundings,
  ) {
    this.endpoint = packEndpoint(address, FRAME_PORT);
  }

  get isRunning(): boolean {
    return this.process.isRunning;
  }

  /** Where this balancer receives a service's datagrams. */
  serviceEndpoint(service: string): Endpoint {
    const index = this.surroundings.serviceNames.indexOf(service);
    return packEndpoint(this.address, FIRST_SERVICE_PORT + index);
  }

  /** Starts a fresh balancer with nothing in it. */
  start(): void {
    this.process?.kill();
    const { network, codec, store, routing, serviceNames } = this.surroundings;
    const process = this.surroundings.createProcess(this.name, this.zone, this.address);
    const node = new BalancerNode(
      {
        name: this.name,
        zone: this.zone,
        endpoint: this.endpoint,
        peers: this.surroundings.seedEndpoints(),
        incarnation: this.surroundings.nextIncarnation(),
        learntFlows: LEARNT_FLOWS,
      },
      {
        environment: process,
        codec,
        store: store.portFor(process),
        ...(routing ? { routing } : {}),
        transport: { send: (to, frame) => network.send(process, this.endpoint, to, frame) },
        callers: {
          send: (service, caller, payload) =>
            network.send(process, this.serviceEndpoint(service), caller, payload),
        },
      },
    );
    network.bind(this.endpoint, process, (frame, from) => node.receiveFrame(frame, from));
    for (const service of serviceNames) {
      network.bind(this.serviceEndpoint(service), process, (payload, caller) =>
        node.receiveDatagram(service, caller, payload),
      );
    }
    this.node = node;
    this.process = process;
    this.startedAt = process.now();
    this.stopping = false;
    node.start();
  }
}

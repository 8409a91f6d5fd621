/** A balancer in the simulation. */
import { BalancerNode, type RoutingFactory } from '../balancer/balancer-node';
import { packEndpoint } from '../core/endpoint';
import type { Endpoint } from '../environment';
import type { FrameCodec } from '../wire/frame-codec';
import type { SimulatedNetwork } from './simulated-network';
import type { SimulatedProcess } from './simulated-process';
import type { SimulatedStore } from './simulated-store';

const FRAME_PORT = 7_000;
const FIRST_SERVICE_PORT = 5_683;
const MAXIMUM_LEARNT_FLOWS = 10_000;

/** Dependencies shared by all balancers of a simulation. */
export interface SimulatedBalancerDependencies {
  readonly network: SimulatedNetwork;
  readonly codec: FrameCodec;
  readonly store: SimulatedStore;
  readonly routing: RoutingFactory | undefined;
  readonly serviceNames: readonly string[];
  listSeedEndpoints(): Endpoint[];
  createProcess(name: string, zone: string, machine: string): SimulatedProcess;
  createIncarnation(): number;
}

/** A balancer node with its simulated process. */
export class SimulatedBalancer {
  readonly endpoint: Endpoint;
  node!: BalancerNode;
  process!: SimulatedProcess;
  startedAt = 0;
  /** A planned stop is in progress. */
  isStopping = false;

  constructor(
    readonly name: string,
    readonly zone: string,
    readonly address: string,
    private readonly dependencies: SimulatedBalancerDependencies,
  ) {
    this.endpoint = packEndpoint(address, FRAME_PORT);
  }

  get isRunning(): boolean {
    return this.process.isRunning;
  }

  /** Endpoint at which this balancer receives a service's datagrams. */
  getServiceEndpoint(service: string): Endpoint {
    const index = this.dependencies.serviceNames.indexOf(service);
    return packEndpoint(this.address, FIRST_SERVICE_PORT + index);
  }

  /** Starts a new balancer without state; kills the previous process. */
  start(): void {
    this.process?.kill();
    const { network, codec, store, routing, serviceNames } = this.dependencies;
    const process = this.dependencies.createProcess(this.name, this.zone, this.address);
    const node = new BalancerNode(
      {
        name: this.name,
        zone: this.zone,
        endpoint: this.endpoint,
        peers: this.dependencies.listSeedEndpoints(),
        incarnation: this.dependencies.createIncarnation(),
        learntFlows: MAXIMUM_LEARNT_FLOWS,
      },
      {
        environment: process,
        codec,
        store: store.createPort(process),
        ...(routing ? { routing } : {}),
        transport: { send: (to, frame) => network.send(process, this.endpoint, to, frame) },
        callers: {
          send: (service, caller, payload) =>
            network.send(process, this.getServiceEndpoint(service), caller, payload),
        },
      },
    );
    network.bind(this.endpoint, process, (frame, from) => node.receiveFrame(frame, from));
    for (const service of serviceNames) {
      network.bind(this.getServiceEndpoint(service), process, (payload, caller) =>
        node.receiveDatagram(service, caller, payload),
      );
    }
    this.node = node;
    this.process = process;
    this.startedAt = process.now();
    this.isStopping = false;
    node.start();
  }
}

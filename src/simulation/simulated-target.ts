/** A target in the simulation: a machine that runs an agent and a back end. */
import { AgentNode } from '../agent/agent-node';
import { decodeSnapshot, encodeSnapshot } from '../agent/agent-snapshot';
import type { AgentNodeSettings, PlacementPolicy } from '../agent/agent-context';
import type { Safeguards } from '../agent/safeguards';
import type { Endpoint } from '../environment';
import { packEndpoint } from '../core/endpoint';
import { BackendStandin } from '../standins/backend-standin';
import type { RunRecord } from '../standins/run-record';
import type { DeployedService } from '../standins/deployments';
import type { FrameCodec } from '../wire/frame-codec';
import type { SimulatedNetwork } from './simulated-network';
import type { SimulatedProcess } from './simulated-process';

const FRAME_PORT = 7_000;
const BACKEND_PORT = 5_700;
const AGENT_BACKEND_PORT = 6_000;
const FIRST_FLOW_PORT = 20_000;
const FLOW_PORT_COUNT = 40_000;
const FEED_INTERVAL_MS = 1_000;
const REQUEST_DEADLINE_MS = 5_000;
/** Time from the predecessor's end until the successor resumes. */
const HANDOVER_TIME_MS = 30;

/** Dependencies shared by all targets of a simulation. */
export interface SimulatedTargetDependencies {
  readonly network: SimulatedNetwork;
  readonly codec: FrameCodec;
  readonly record: RunRecord;
  readonly safeguards: Safeguards;
  readonly place: PlacementPolicy | undefined;
  readonly hostsAnyFlow: boolean;
  readonly flowIdle: number;
  listBalancerEndpoints(): Endpoint[];
  /** Creates a simulated process on a machine. */
  createProcess(name: string, zone: string, machine: string): SimulatedProcess;
  /** Returns a number that increases with every start. */
  createIncarnation(): number;
  /** Called for every datagram that reaches a back end. */
  onBackendDatagram(target: SimulatedTarget, datagram: Buffer): void;
}

/** A target with its agent and back-end processes. */
export class SimulatedTarget {
  readonly endpoint: Endpoint;
  agent!: AgentNode;
  agentProcess!: SimulatedProcess;
  backend!: BackendStandin;
  backendProcess!: SimulatedProcess;
  /** Time of the last unplanned fault that affected this target; -Infinity for none. */
  lastFaultAt = -Infinity;
  private readonly backendEndpoint: Endpoint;
  private readonly agentBackendEndpoint: Endpoint;
  private readonly flowEndpoints = new Map<Endpoint, Endpoint>();
  private nextFlowPort = 0;

  /** @param address the machine's IPv4 address, which is also its name */
  constructor(
    readonly service: DeployedService,
    readonly name: string,
    readonly zone: string,
    readonly address: string,
    private readonly dependencies: SimulatedTargetDependencies,
  ) {
    this.endpoint = packEndpoint(address, FRAME_PORT);
    this.backendEndpoint = packEndpoint(address, BACKEND_PORT);
    this.agentBackendEndpoint = packEndpoint(address, AGENT_BACKEND_PORT);
  }

  /** "service/target". */
  get label(): string {
    return `${this.service.name}/${this.name}`;
  }

  get isRunning(): boolean {
    return this.agentProcess.isRunning && this.backendProcess.isRunning;
  }

  /** Starts a new back end; requests and flows of the previous one are lost. */
  startBackend(): void {
    this.backendProcess?.kill();
    this.backend?.stop();
    const process = this.createProcess('backend');
    const { network, record } = this.dependencies;
    const { name: service, serviceTime, tileBytes } = this.service;
    const backend = new BackendStandin(
      {
        service,
        target: this.name,
        run: this.dependencies.createIncarnation(),
        serviceTime,
        feedInterval: FEED_INTERVAL_MS,
        tileBytes,
      },
      process,
      record,
      (to, datagram) => network.send(process, this.backendEndpoint, to, datagram),
    );
    network.bind(this.backendEndpoint, process, (datagram, from) => {
      this.dependencies.onBackendDatagram(this, datagram);
      if (this.service.protocol === 'coap') {
        backend.receive(datagram, from);
      } else {
        backend.receiveDatagram(datagram, from);
      }
    });
    this.backend = backend;
    this.backendProcess = process;
  }

  /** Starts a new agent without state. */
  startAgent(): void {
    this.agentProcess?.kill();
    this.createAgent(this.dependencies.createIncarnation());
    this.agent.start();
  }

  /** Planned restart: a successor takes over all state; datagrams are queued until it resumes. */
  handOver(): void {
    const predecessor = this.agentProcess;
    const snapshot = decodeSnapshot(encodeSnapshot(this.agent.handOver()));
    predecessor.kill();
    this.createAgent(snapshot.incarnation);
    const successor = this.agentProcess;
    successor.freeze();
    successor.resumeAfter(HANDOVER_TIME_MS, () => {
      this.agent.takeOver(snapshot);
      this.agent.start();
    });
  }

  private createAgent(incarnation: number): void {
    const process = this.createProcess('agent');
    const { network, codec, safeguards, place } = this.dependencies;
    const agent = new AgentNode(this.createSettings(incarnation), {
      environment: process,
      codec,
      safeguards,
      hostsAnyFlow: this.dependencies.hostsAnyFlow,
      ...(place ? { place } : {}),
      transport: { send: (to, frame) => network.send(process, this.endpoint, to, frame) },
      backend: {
        sendMessage: (message) =>
          network.send(process, this.agentBackendEndpoint, this.backendEndpoint, message),
        sendDatagram: (caller, payload) => this.sendFlowDatagram(process, agent, caller, payload),
        closeFlow: (caller) => this.flowEndpoints.delete(caller),
      },
    });
    network.bind(this.endpoint, process, (frame, from) => agent.receiveFrame(frame, from));
    network.bind(this.agentBackendEndpoint, process, (datagram) =>
      agent.receiveBackendMessage(datagram),
    );
    this.agent = agent;
    this.agentProcess = process;
  }

  private sendFlowDatagram(
    process: SimulatedProcess,
    agent: AgentNode,
    caller: Endpoint,
    payload: Buffer,
  ): void {
    const { network } = this.dependencies;
    let endpoint = this.flowEndpoints.get(caller);
    if (endpoint === undefined) {
      const port = FIRST_FLOW_PORT + (this.nextFlowPort++ % FLOW_PORT_COUNT);
      endpoint = packEndpoint(this.address, port);
      this.flowEndpoints.set(caller, endpoint);
    }
    network.bind(endpoint, process, (datagram) => agent.receiveBackendDatagram(caller, datagram));
    network.send(process, endpoint, this.backendEndpoint, payload);
  }

  private createSettings(incarnation: number): AgentNodeSettings {
    return {
      service: this.service.name,
      protocol: this.service.protocol,
      target: this.name,
      endpoint: this.endpoint,
      balancers: this.dependencies.listBalancerEndpoints(),
      incarnation,
      flowIdle: this.dependencies.flowIdle,
      requestDeadline: REQUEST_DEADLINE_MS,
      loadPath: this.service.protocol === 'coap' ? 'load' : '',
    };
  }

  private createProcess(kind: string): SimulatedProcess {
    return this.dependencies.createProcess(`${kind} ${this.label}`, this.zone, this.address);
  }
}

/**
 * Simulates balancers, agents, targets, routers, clients and the store of the packet
 * interface in virtual time, with the real node classes. Invariants are checked on what
 * clients and targets observe, while faults are injected.
 */
import { packEndpoint } from '../../core/endpoint';
import { computeRendezvousScore } from '../../core/hashing';
import type { Endpoint } from '../../environment';
import type { ResultCallback } from '../../packets/collection-port';
import type { FlowKey } from '../../packets/flow-packet';
import { PacketAgent } from '../../packets/packet-agent';
import { PacketBalancer } from '../../packets/packet-balancer';
import { PacketFrameCodec } from '../../packets/packet-frames';
import { decodeSnapshot, encodeSnapshot, type PeerSnapshot } from '../../packets/peer-snapshot';
import { createFailure } from '../../errors/hallhold-error';
import { ResultCodes } from '../../errors/result-codes';
import type { ServiceProfile } from '../../packets/routing-table';
import { SeededRandom } from '../seeded-random';
import { CALLER_ZONE, SimulatedNetwork } from '../simulated-network';
import { SimulatedProcess, type EventSink } from '../simulated-process';
import { VirtualClock } from '../virtual-clock';
import { ModelClient } from './model-client';
import { modelPacketFormat } from './model-packet-format';
import { ModelStore } from './model-store';
import { ModelTarget } from './model-target';
import {
  PacketInvariantChecker,
  type FlowHolder,
  type InvariantViolations,
} from './packet-invariant-checker';

const FRAME_PORT = 7_000;
const PACKET_PORT = 7_001;
const OUTBOUND_PORT = 7_002;
const CLIENT_PORT = 40_000;
const PROBE_INTERVAL_MS = 500;
const UNREADY_PROBE_COUNT = 2;
const HEARTBEAT_INTERVAL_MS = 1_100;
const SNAPSHOT_TIME_MS = 3;
const FLOW_LIFETIME_MS = 60_000;
const APPLY_TIME_MS = 6_000;
const TRANSFER_COST = 400;
const SERVICE_TIME_MS = 20;
const SLOTS = 5;
/** At most the cold rate of the routing table plus the slack; no limit without a rate. */
const COLD_LIMIT = { overshoot: 1, slack: 2 };
const COLD_TIME_MS = 2_000;
const SEQUENCE_RANGE = 2 ** 31;
/** Key of the frames between simulated nodes. */
export const SIMULATION_KEY = { id: 1, secret: Buffer.from('simulation-cluster-key') };

/** A balancer of the simulation. */
export interface PacketSimulationBalancer {
  readonly name: string;
  readonly zone: string;
  readonly capacity: number;
  /** Megabits per second. */
  readonly linkSpeed: number;
  /** Takes effect at the next start. */
  locality: boolean;
  readonly address: Endpoint;
  node: PacketBalancer;
  process: SimulatedProcess;
  misses: number;
}

/** An agent of the simulation with its target. */
export interface PacketSimulationAgent {
  readonly name: string;
  readonly zone: string;
  readonly address: Endpoint;
  readonly service: string;
  node: PacketAgent;
  process: SimulatedProcess;
  target: ModelTarget;
  heartbeats: boolean;
  /** Times at which opening packets reached its targets. */
  readonly openings: number[];
}

/** A deployment in virtual time. */
export class PacketSimulation {
  readonly clock = new VirtualClock();
  readonly random: SeededRandom;
  readonly network: SimulatedNetwork;
  readonly store = new ModelStore(this.clock);
  readonly balancers: PacketSimulationBalancer[] = [];
  readonly agents: PacketSimulationAgent[] = [];
  readonly clients: ModelClient[] = [];
  readonly checker = new PacketInvariantChecker(this.clock);
  /** Seeds passed to starting processes; the first two balancers by default. */
  seeds: Endpoint[] | undefined;
  /** Whether balancers and agents started from now on use the early start. */
  earlyStart = true;
  /** Cold-start time in milliseconds of targets started from now on. */
  coldTime = COLD_TIME_MS;
  /** Whether processes started from now on repair losses between balancer and agent. */
  repairHops = true;
  /** Whether agents started from now on retransmit lost answers. */
  repairAnswers = true;
  private readonly codec = new PacketFrameCodec([SIMULATION_KEY]);
  private nextAddress = 1;
  private nextClient = 1;
  private nextIncarnation = 1;

  constructor(
    seed: number,
    private readonly events: EventSink = () => undefined,
  ) {
    this.random = new SeededRandom(seed);
    const delays = { zoneDelay: 1.4, callerDelay: 1 };
    this.network = new SimulatedNetwork(this.clock, this.random, delays, () => undefined);
    this.probeBalancers();
  }

  /** Writes a routing table to the store; `routes` maps destinations to service names. */
  configure(
    version: number,
    routes: ReadonlyMap<Endpoint, readonly string[]>,
    profiles: readonly ServiceProfile[] = this.createProfiles(routes),
  ): void {
    this.checker.recordConfiguration(routes);
    this.store.writeRouting({
      version,
      idleTimeout: FLOW_LIFETIME_MS,
      profiles,
      routes: [...routes].map(([destination, services]) => ({
        name: `route-${destination}`,
        destination,
        services: services.map((service) => ({ service, weight: 1 })),
      })),
    });
  }

  private createProfiles(routes: ReadonlyMap<Endpoint, readonly string[]>): ServiceProfile[] {
    const services = new Set([...routes.values()].flat());
    return [...services].map((service) => ({
      service,
      latencyGoal: 0,
      coldTime: this.coldTime,
      coldRate: 0,
    }));
  }

  runFor(milliseconds: number): void {
    this.clock.runUntil(this.clock.now + milliseconds);
  }

  /**
   * @param capacity number of processors that it may use
   * @param linkSpeed capacity of its link in megabits per second
   */
  addBalancer(zone: string, capacity = 1, linkSpeed = 1_000): PacketSimulationBalancer {
    const address = this.createAddress(FRAME_PORT);
    const name = `balancer-${this.balancers.length}`;
    const misses = UNREADY_PROBE_COUNT;
    const balancer = {
      name,
      zone,
      address,
      capacity,
      linkSpeed,
      locality: true,
      misses,
    } as PacketSimulationBalancer;
    this.balancers.push(balancer);
    this.startBalancer(balancer);
    return balancer;
  }

  addAgent(service: string, zone: string): PacketSimulationAgent {
    const address = this.createAddress(FRAME_PORT);
    const name = `agent-${this.agents.length}`;
    const agent = {
      name,
      zone,
      address,
      service,
      heartbeats: true,
      openings: [],
    } as unknown as PacketSimulationAgent;
    this.agents.push(agent);
    this.startAgent(agent);
    this.startTarget(agent);
    return agent;
  }

  /** Starts a balancer's process without state. */
  startBalancer(balancer: PacketSimulationBalancer): void {
    balancer.process?.kill();
    const { name, zone, address } = balancer;
    const process = this.createProcess(name, zone);
    const node = new PacketBalancer(
      {
        zone,
        address,
        packetAddress: replacePort(address, PACKET_PORT),
        capacity: balancer.capacity,
        linkSpeed: balancer.linkSpeed,
        seeds: this.listSeeds(),
        flowLifetime: FLOW_LIFETIME_MS,
        applyTime: APPLY_TIME_MS,
        repairHops: this.repairHops,
        locality: balancer.locality,
        transferCost: TRANSFER_COST,
        earlyStart: this.earlyStart,
      },
      {
        environment: process,
        codec: this.codec,
        transport: { send: (to, frame) => this.network.send(process, address, to, frame) },
        format: modelPacketFormat,
        routingTables: this.store.createRoutingPort(process),
        registry: this.store.createRegistryPort(process),
        evacuatedZones: this.store.createEvacuationsPort(process),
        storeProbe: this.store.createProbePort(process),
        snapshots: { fetch: (peer, answer) => this.fetchSnapshot(process, peer, answer) },
        sendToClient: (client, packet) => this.network.send(process, address, client, packet),
        relay: (to, packet) => this.network.send(process, address, to, packet),
      },
    );
    balancer.process = process;
    balancer.node = node;
    this.network.bind(address, process, (frame, from) =>
      node.handleFrame(Buffer.from(frame), from),
    );
    this.network.bind(replacePort(address, PACKET_PORT), process, (bytes) =>
      node.handleClientDatagram(Buffer.from(bytes)),
    );
    node.start();
  }

  /** Starts an agent's process without state; its target keeps running. */
  startAgent(agent: PacketSimulationAgent): void {
    agent.process?.kill();
    const { name, zone, address, service } = agent;
    const process = this.createProcess(name, zone);
    const outbound = replacePort(address, OUTBOUND_PORT);
    const startedAt = this.clock.now;
    const node = new PacketAgent(
      {
        zone,
        address,
        service,
        seeds: this.listSeeds(),
        heartbeatInterval: HEARTBEAT_INTERVAL_MS,
        coldLimit: COLD_LIMIT,
        earlyStart: this.earlyStart,
        flowLifetime: FLOW_LIFETIME_MS,
        repairHops: this.repairHops,
        repairAnswers: this.repairAnswers,
        priorityQueue: true,
        lowerPriorityShare: 10,
      },
      {
        environment: process,
        codec: this.codec,
        transport: { send: (to, frame) => this.network.send(process, address, to, frame) },
        format: modelPacketFormat,
        registry: this.store.createRegistryPort(process),
        startedAt,
        born: startedAt,
        targetProbe: { checkVacant: (answer) => answer(!(agent.target?.alive ?? false)) },
        sendToClient: (client, packet) => this.network.send(process, outbound, client, packet),
        sendToTarget: (packet) => this.deliverToTarget(agent, Buffer.from(packet)),
      },
    );
    agent.process = process;
    agent.node = node;
    this.network.bind(address, process, (frame, from) =>
      node.handleFrame(Buffer.from(frame), from),
    );
    node.start();
  }

  /** Power failure of all machines for a time in milliseconds; all processes lose their state. */
  restartAll(milliseconds: number): void {
    [...this.balancers, ...this.agents].forEach(({ process }) => process.kill());
    this.agents.forEach(({ target }) => (target.alive = false));
    this.runFor(milliseconds);
    this.balancers.forEach((balancer) => this.startBalancer(balancer));
    this.agents.forEach((agent) => {
      this.startAgent(agent);
      this.startTarget(agent);
    });
  }

  /**
   * Starts a new incarnation of an agent's target; the flows of the previous one are lost.
   * @param id identifier that the target reports: a new one by default
   */
  startTarget(
    agent: PacketSimulationAgent,
    service = agent.service,
    id = `target-${this.nextIncarnation}`,
  ): ModelTarget {
    if (agent.target) {
      agent.target.alive = false;
    }
    const incarnation = `incarnation-${this.nextIncarnation++}`;
    const output = (packet: Buffer): void =>
      agent.process.run(() => agent.node.handleTargetDatagram(packet));
    const firstSequence = Math.floor(this.random.next() * SEQUENCE_RANGE);
    const target = new ModelTarget(
      { incarnation, id, startTime: Math.round(this.clock.now) },
      service,
      firstSequence,
      SERVICE_TIME_MS,
      this.clock,
      output,
      {
        onFlowOpened: (by, packet) => this.handleFlowOpened(by, agent, packet.client),
        onRequestStarted: (by, request) =>
          this.checker.checkRequest(by, request, this.findClient(request)),
      },
    );
    target.coldUntil = this.clock.now + this.coldTime;
    agent.target = target;
    this.runHeartbeats(agent, target, 1);
    return target;
  }

  /** The target announces that it drains; a running agent acknowledges at once. */
  drain(agent: PacketSimulationAgent): void {
    agent.target.draining = true;
    this.sendHeartbeat(agent, agent.target, 1_000_000);
    if (agent.process.isRunning) {
      this.checker.recordDrainAcknowledged(agent.target);
    }
  }

  /**
   * The target announces its shutdown and serves on; a running agent acknowledges once the registry
   * has recorded it, or soon after.
   */
  deregister(agent: PacketSimulationAgent): void {
    const { target } = agent;
    target.hasDeregistered = true;
    this.sendDeregistration(agent, target);
  }

  /** Delivers the shutdown announcement of a target, which may be an earlier one, to an agent. */
  sendDeregistration(agent: PacketSimulationAgent, target: ModelTarget): void {
    const { id, startTime } = target.identity;
    agent.process.run(() =>
      agent.node.handleTargetLeaving(id, startTime, () => {
        target.acknowledgedAt ??= this.clock.now;
        this.checker.recordDrainAcknowledged(target);
      }),
    );
  }

  /** Delivers a heartbeat that a target sent before it deregistered. */
  sendLateHeartbeat(agent: PacketSimulationAgent): void {
    this.sendHeartbeat(agent, agent.target, 2);
  }

  /** Stops an agent as planned, and starts it again after a time in milliseconds. */
  restartAgent(agent: PacketSimulationAgent, pause: number): void {
    const { node, process } = agent;
    node.beginStop(() => process.kill());
    this.clock.schedule(pause, () => this.startAgent(agent));
  }

  /** Violations found in this run. */
  get violations(): InvariantViolations {
    return this.checker.violations;
  }

  /** Opens a client's flow through the routers. */
  openFlow(destination: Endpoint, requests: number, pause: number): ModelClient {
    const client = packEndpoint('10.200.0.1', CLIENT_PORT + this.nextClient++);
    const process = this.createProcess(`client-${client}`, CALLER_ZONE);
    const flow = new ModelClient(
      { client, destination, requests, pause },
      this.clock,
      (packet) => this.sendThroughRouter(process, client, packet),
      {
        onReset: (one) => this.checker.checkReset(one, this.findHolder(one) !== undefined),
        onAnswer: (expected, answered) => this.checker.checkAnswer(expected, answered),
      },
    );
    this.network.bind(client, process, (bytes) => flow.receive(Buffer.from(bytes)));
    this.clients.push(flow);
    flow.start();
    return flow;
  }

  /** The agent whose target holds a client's flow. */
  findHolder(client: ModelClient): PacketSimulationAgent | undefined {
    return this.agents.find(({ target }) => target.holds(createFlowKey(client)));
  }

  /** Sends to a balancer chosen by hash among those that answered the readiness probes. */
  private sendThroughRouter(process: SimulatedProcess, client: Endpoint, packet: Buffer): void {
    const inUse = this.balancers.filter(({ misses }) => misses < UNREADY_PROBE_COUNT);
    const pool = inUse.length > 0 ? inUse : this.balancers;
    const key = modelPacketFormat.decodeFromClient(packet)!.flow;
    let best: PacketSimulationBalancer | undefined;
    for (const one of pool) {
      const better =
        !best || computeRendezvousScore(key, one.name) > computeRendezvousScore(key, best.name);
      best = better ? one : best;
    }
    if (best) {
      this.network.send(process, client, replacePort(best.address, PACKET_PORT), packet);
    }
  }

  private probeBalancers(): void {
    for (const balancer of this.balancers) {
      const ready = balancer.process.isRunning && balancer.node.isReady;
      balancer.misses = ready ? 0 : balancer.misses + 1;
    }
    this.clock.schedule(PROBE_INTERVAL_MS, () => this.probeBalancers());
  }

  private runHeartbeats(agent: PacketSimulationAgent, target: ModelTarget, sequence: number): void {
    if (!target.alive || target.hasDeregistered || agent.target !== target) {
      return;
    }
    if (agent.heartbeats) {
      this.sendHeartbeat(agent, target, sequence);
    }
    this.clock.schedule(HEARTBEAT_INTERVAL_MS, () =>
      this.runHeartbeats(agent, target, sequence + 1),
    );
  }

  private sendHeartbeat(agent: PacketSimulationAgent, target: ModelTarget, sequence: number): void {
    const { service, draining } = target;
    const { id: incarnation, startTime } = target.identity;
    const coldLeft = target.computeColdLeft(this.clock.now);
    const heartbeat = {
      incarnation,
      born: startTime,
      service,
      draining,
      slots: SLOTS,
      coldLeft,
      sequence,
    };
    agent.process.run(() => agent.node.handleHeartbeat(heartbeat));
  }

  private deliverToTarget(agent: PacketSimulationAgent, bytes: Buffer): void {
    const packet = modelPacketFormat.decodeFromClient(bytes);
    if (packet?.opens && agent.target) {
      agent.openings.push(this.clock.now);
      this.checker.checkOpening(agent.target, agent.name);
    } else if (packet && agent.target) {
      this.checker.checkPacket(agent.target, packet.flow, this.findFlowHolder(packet.flow));
    }
    agent.target?.receive(bytes);
  }

  private findFlowHolder(flow: FlowKey): FlowHolder | undefined {
    const holder = this.agents.find(({ target }) => target.holds(flow));
    const processes = this.balancers.map(({ name }) => name);
    return holder && { target: holder.target, processes: [holder.name, ...processes] };
  }

  private handleFlowOpened(
    target: ModelTarget,
    agent: PacketSimulationAgent,
    from: Endpoint,
  ): void {
    const client = this.clients.find(({ plan }) => plan.client === from);
    if (client) {
      const processes = [agent.name, ...this.balancers.map(({ name }) => name)];
      const { destination } = client.plan;
      this.checker.checkOpenedFlow(destination, target.service, client.startedAt, processes);
    }
  }

  private findClient(request: string): ModelClient | undefined {
    return this.clients.find(({ plan }) => request.startsWith(`${plan.client}/`));
  }

  private fetchSnapshot(
    process: SimulatedProcess,
    peer: Endpoint,
    answer: ResultCallback<PeerSnapshot>,
  ): void {
    const balancer = this.balancers.find(({ address }) => address === peer);
    const reachable = balancer?.process.isRunning && !this.network.isCut(process, balancer.process);
    this.clock.schedule(SNAPSHOT_TIME_MS, () =>
      process.run(() =>
        answer(
          reachable
            ? decodeSnapshot(encodeSnapshot(balancer.node.snapshot))
            : createFailure(ResultCodes.peerUnreachable, 'the peer does not run or is cut off'),
        ),
      ),
    );
  }

  private listSeeds(): Endpoint[] {
    return this.seeds ?? this.balancers.slice(0, 2).map(({ address }) => address);
  }

  private createProcess(name: string, zone: string): SimulatedProcess {
    return new SimulatedProcess(name, zone, name, this.clock, this.random, this.events);
  }

  private createAddress(port: number): Endpoint {
    return packEndpoint(`10.1.0.${this.nextAddress++}`, port);
  }
}

const PORT_RANGE = 65_536;

function replacePort(address: Endpoint, port: number): Endpoint {
  return Math.floor(address / PORT_RANGE) * PORT_RANGE + port;
}

function createFlowKey(client: ModelClient): FlowKey {
  const bytes = Buffer.alloc(12);
  bytes.writeUIntBE(client.plan.client, 0, 6);
  bytes.writeUIntBE(client.plan.destination, 6, 6);
  return bytes.toString('latin1');
}

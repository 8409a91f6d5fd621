/**
 * Cluster of the balance benchmark: the production balancer and agent classes exchange encoded
 * frames over the virtual network; back ends and callers are stubbed.
 */
import type { PlacementPolicy } from '../agent/agent-context';
import { AgentNode } from '../agent/agent-node';
import { packCallers } from '../agent/flow-entries';
import { BalancerNode, type RoutingFactory } from '../balancer/balancer-node';
import { packEndpoint } from '../core/endpoint';
import type { ServiceTable, TableRow } from '../core/table';
import type { Endpoint } from '../environment';
import { SeededRandom } from '../simulation/seeded-random';
import { SimulatedNetwork } from '../simulation/simulated-network';
import { SimulatedProcess } from '../simulation/simulated-process';
import { VirtualClock } from '../simulation/virtual-clock';
import { FrameCodec } from '../wire/frame-codec';
import { SILENT_STORE } from './silent-store';
import { MemberState, MessageType, type MemberRecord } from '../wire/messages';

const REGION_COUNT = 3;
const ZONE_COUNT = 8;
const ZONE_DELAY_MS = 5;
const FRAME_PORT = 7_000;
const LEARNT_FLOWS = 50_000;
/** No flow times out: flows end only by `endFlow`. */
const FLOW_IDLE_MS = 1e9;
const SEED_PEER_COUNT = 5;
const KEY = { id: 1, secret: Buffer.from('balance-cluster-secret') };

/** A node with its address and zone. */
interface BenchNode {
  readonly name: string;
  readonly endpoint: Endpoint;
  readonly zone: string;
  process: SimulatedProcess;
}

export interface BenchBalancer extends BenchNode {
  node: BalancerNode;
}

export interface BenchAgent extends BenchNode {
  readonly service: string;
  readonly target: string;
  node: AgentNode;
}

/** Size and policies of a cluster. */
export interface BenchShape {
  readonly balancers: number;
  readonly targets: number;
  readonly services: number;
  /** Share of a service's target by its zero-based number. */
  readonly shareOf?: (number: number) => number;
  /** Replaces hallhold's routing and placement by a baseline. */
  readonly routing?: RoutingFactory;
  readonly place?: PlacementPolicy;
  readonly hostsAnyFlow?: boolean;
}

/** A cluster in virtual time. */
export class BalanceCluster {
  readonly clock = new VirtualClock();
  readonly random: SeededRandom;
  readonly network: SimulatedNetwork;
  readonly balancers: BenchBalancer[] = [];
  readonly agents: BenchAgent[] = [];
  readonly tables: ServiceTable[] = [];
  /** The agent at which a caller's datagram was last delivered. */
  readonly deliveredAt = new Map<Endpoint, BenchAgent>();
  private readonly codec = new FrameCodec([KEY]);
  private revision = 1;
  private incarnation = 1;

  constructor(
    private readonly shape: BenchShape,
    seed: number,
  ) {
    this.random = new SeededRandom(seed);
    const delays = { zoneDelay: ZONE_DELAY_MS, callerDelay: 1 };
    this.network = new SimulatedNetwork(this.clock, this.random, delays, () => undefined);
  }

  /** Creates and starts all nodes with converged membership and tables. */
  start(): void {
    this.createTables();
    this.createBalancers();
    this.balancers.forEach((balancer) => this.startBalancer(balancer));
    this.agents.forEach((agent) => this.startAgent(agent));
  }

  runFor(seconds: number): void {
    this.clock.runUntil(this.clock.now + seconds * 1_000);
  }

  /** Applies a changed table at one random running balancer, as its store reader would. */
  changeTable(
    change: (row: TableRow, index: number) => TableRow = (row, index) =>
      index === 0 ? { ...row, share: 2 } : row,
  ): ServiceTable {
    const old = this.random.pick(this.tables);
    const fromRevision = this.revision;
    this.revision++;
    const rows = old.rows.map(change);
    const table = { ...old, rows, revision: this.revision, writeId: `w${this.revision}` };
    this.tables[this.tables.indexOf(old)] = table;
    const reader = this.random.pick(this.balancers.filter((one) => one.process.isRunning));
    const delta = { fromRevision, throughRevision: this.revision, tables: [table] };
    reader.node.distribution.applyAndPush(delta, undefined);
    return table;
  }

  /** Sends a caller's datagram through a random running balancer. */
  sendDatagram(service: string, caller: Endpoint): void {
    const ready = this.balancers.filter(({ process, node }) => process.isRunning && node.isReady);
    const balancer = this.random.pick(ready);
    balancer.node.receiveDatagram(service, caller, Buffer.from('datagram'));
  }

  /** Ends a caller's flow at the agent that hosts it. */
  endFlow(caller: Endpoint): void {
    const host = this.deliveredAt.get(caller);
    if (host) {
      const { service, target } = host;
      const callers = packCallers([caller]);
      const type = MessageType.flowEviction;
      const frame = this.codec.encode({ type, service, target, callers });
      host.node.receiveFrame(frame, host.endpoint);
      this.deliveredAt.delete(caller);
    }
  }

  /** Returns the region number of a zone. */
  getRegion(zone: string): number {
    return Number(zone.slice('zone-'.length)) % REGION_COUNT;
  }

  get zones(): string[] {
    return Array.from({ length: ZONE_COUNT }, (_, index) => `zone-${index}`);
  }

  /** Spreads each service's targets over the zones of one region. */
  private createTables(): void {
    const { targets, services } = this.shape;
    for (let index = 0; index < targets; index++) {
      const service = `service-${index % services}`;
      const number = Math.floor(index / services);
      const zones = this.zones.filter(
        (zone) => this.getRegion(zone) === (index % services) % REGION_COUNT,
      );
      const zone = zones[number % zones.length]!;
      const endpoint = packEndpoint(
        `10.${100 + (index >> 16)}.${(index >> 8) & 255}.${index & 255}`,
        FRAME_PORT,
      );
      const target = `target-${number}`;
      const name = `${service}/${target}`;
      this.agents.push({ name, endpoint, zone, service, target } as BenchAgent);
    }
    for (let index = 0; index < services; index++) {
      this.tables.push(this.createFirstTable(`service-${index}`));
    }
  }

  private createFirstTable(service: string): ServiceTable {
    this.revision++;
    const rows = this.agents
      .filter((agent) => agent.service === service)
      .map(({ target, endpoint }) => ({
        target,
        address: endpoint,
        share: this.shape.shareOf?.(parseTargetNumber(target)) ?? 1,
        slots: 5,
        connections: 10_000,
      }));
    return { service, revision: this.revision, writeId: 'first', rows };
  }

  private createBalancers(): void {
    for (let index = 0; index < this.shape.balancers; index++) {
      const name = `balancer-${index}`;
      const zone = `zone-${index % ZONE_COUNT}`;
      const endpoint = packEndpoint(`10.1.${index >> 8}.${index & 255}`, FRAME_PORT);
      this.balancers.push({ name, endpoint, zone } as BenchBalancer);
    }
  }

  /** Starts a balancer with converged membership and tables. */
  private startBalancer(balancer: BenchBalancer): void {
    const process = this.createProcess(balancer);
    balancer.process = process;
    balancer.node = new BalancerNode(
      {
        name: balancer.name,
        zone: balancer.zone,
        endpoint: balancer.endpoint,
        peers: this.balancers.slice(0, SEED_PEER_COUNT).map((seed) => seed.endpoint),
        incarnation: this.incarnation++,
        learntFlows: LEARNT_FLOWS,
      },
      {
        environment: process,
        codec: this.codec,
        store: SILENT_STORE,
        transport: {
          send: (to, frame) => this.network.send(process, balancer.endpoint, to, frame),
        },
        callers: { send: () => undefined },
        ...(this.shape.routing ? { routing: this.shape.routing } : {}),
      },
    );
    this.network.bind(balancer.endpoint, process, (frame, from) =>
      balancer.node.receiveFrame(frame, from),
    );
    this.applyInitialState(balancer.node);
    balancer.node.start();
  }

  private applyInitialState(node: BalancerNode): void {
    const members: MemberRecord[] = this.balancers.map(({ name, endpoint, zone }, index) => ({
      name,
      endpoint,
      zone,
      incarnation: index + 1,
      state: MemberState.alive,
    }));
    node.membership.addMembers(members);
    const delta = { fromRevision: 0, throughRevision: this.revision, tables: this.tables };
    node.distribution.applyWithoutPush(delta);
  }

  private startAgent(agent: BenchAgent): void {
    const process = this.createProcess(agent);
    agent.process = process;
    agent.node = new AgentNode(
      {
        service: agent.service,
        protocol: 'datagram',
        target: agent.target,
        endpoint: agent.endpoint,
        balancers: Array.from(
          { length: SEED_PEER_COUNT },
          () => this.random.pick(this.balancers).endpoint,
        ),
        incarnation: this.incarnation++,
        flowIdle: FLOW_IDLE_MS,
        requestDeadline: 10_000,
        loadPath: '',
      },
      {
        environment: process,
        codec: this.codec,
        hostsAnyFlow: this.shape.hostsAnyFlow ?? false,
        ...(this.shape.place ? { place: this.shape.place } : {}),
        transport: {
          send: (to, frame) => this.network.send(process, agent.endpoint, to, frame),
        },
        backend: {
          sendMessage: () => undefined,
          sendDatagram: (caller) => void this.deliveredAt.set(caller, agent),
          closeFlow: () => undefined,
        },
      },
    );
    this.network.bind(agent.endpoint, process, (frame, from) =>
      agent.node.receiveFrame(frame, from),
    );
    agent.node.start();
  }

  private createProcess(node: BenchNode): SimulatedProcess {
    const { name, zone } = node;
    return new SimulatedProcess(name, zone, name, this.clock, this.random, () => undefined);
  }
}

function parseTargetNumber(target: string): number {
  return Number(target.slice('target-'.length));
}

/**
 * A complete deployment in one process on loopback, with real sockets:
 * platform, balancers, agents, back ends, fabric and callers.
 */
import { AgentProcess } from '../runtime/agent-process';
import { BalancerProcess } from '../runtime/balancer-process';
import { RealEnvironment } from '../runtime/real-environment';
import { UdpSocket } from '../runtime/udp-socket';
import { packEndpoint } from '../core/endpoint';
import type { TableRow } from '../core/table';
import { EventLog } from '../logging/event-log';
import type { EventLevel } from '../logging/events';
import { agentSchema, balancerSchema } from '../settings/settings-schema';
import { BackendStandin } from './backend-standin';
import { CallerFleet } from './caller-fleet';
import { CallerStatistics } from './caller-statistics';
import { createTargetName, type DeployedService, type Deployment } from './deployments';
import { FabricStandin } from './fabric-standin';
import { PlatformServer } from './platform-server';
import { RunRecord } from './run-record';

const FRAME_PORT = 7_000;
const ADMIN_PORT = 7_080;
const BACKEND_PORT = 5_700;
const FIRST_SERVICE_PORT = 5_683;
const MACHINE_LIST_DELAY_MS = 1_000;
const READY_TIMEOUT_MS = 15_000;
const POLL_INTERVAL_MS = 50;
const FEED_INTERVAL_MS = 500;
const DEMO_KEY = { id: 1, secret: 'loopback-demonstration-key' };

/** Agent and back end of one target. */
interface EmbeddedTarget {
  readonly service: DeployedService;
  readonly name: string;
  readonly agent: AgentProcess;
  readonly backend: BackendStandin;
  readonly backendSocket: UdpSocket;
}

/** Options of an embedded deployment. */
export interface EmbeddedOptions {
  readonly logLevel: EventLevel;
}

/** Starts, changes and stops a deployment. */
export class EmbeddedDeployment {
  readonly statistics = new CallerStatistics();
  readonly record = new RunRecord();
  readonly platform: PlatformServer;
  private readonly balancers = new Map<string, BalancerProcess>();
  private readonly targets: EmbeddedTarget[] = [];
  private readonly fleets: CallerFleet[] = [];
  private readonly environment: RealEnvironment;
  private readonly fabric: FabricStandin;
  private storeUrl = '';

  constructor(
    private readonly deployment: Deployment,
    private readonly options: EmbeddedOptions,
  ) {
    this.environment = new RealEnvironment(new EventLog('standins', 'error'));
    const listen = packEndpoint(createLoopbackAddress(0, 1), 0);
    this.platform = new PlatformServer({ listen, machineLag: MACHINE_LIST_DELAY_MS });
    this.fabric = new FabricStandin(
      deployment.services.map((service, index) => ({
        name: service.name,
        listen: packEndpoint(createLoopbackAddress(0, 2), FIRST_SERVICE_PORT + index),
        balancers: new Map(
          this.listBalancerNames().map((name, balancerIndex) => [
            name,
            packEndpoint(createLoopbackAddress(1, balancerIndex + 1), FIRST_SERVICE_PORT + index),
          ]),
        ),
      })),
    );
  }

  /** Starts all processes and waits until they are ready; throws on a time-out. */
  async start(): Promise<void> {
    this.storeUrl = await this.platform.start();
    await this.fabric.start();
    await Promise.all(this.listBalancerNames().map((_, index) => this.startBalancer(index)));
    await this.startTargets();
    await this.putInitialTables();
    await this.waitUntil('all processes are ready', () => this.areAllReady());
  }

  /** Starts the callers of every service. */
  async startCallers(): Promise<void> {
    for (const [index, service] of this.deployment.services.entries()) {
      await this.startServiceCallers(service, FIRST_SERVICE_PORT + index);
    }
  }

  /** Submits new rows of a service's table to a balancer; rejects with its error. */
  async editTable(
    service: string,
    change: (rows: readonly TableRow[]) => TableRow[],
  ): Promise<void> {
    const balancer = this.getFirstBalancer();
    const table = balancer.node.distribution.cache.get(service);
    const baseRows = table?.rows ?? [];
    const edit = {
      service,
      baseRows,
      rows: change(baseRows),
      baseRevision: table?.revision ?? 0,
      writeId: `embedded-${service}-${performance.now()}`,
    };
    await new Promise<void>((resolve, reject) => {
      balancer.node.acceptance.submit(edit, (result) =>
        result.ok ? resolve() : reject(result.val),
      );
    });
  }

  /** Planned stop of a balancer: takes it out of the fabric first. */
  async stopBalancer(name: string): Promise<void> {
    const balancer = this.balancers.get(name)!;
    this.fabric.setLive(name, false);
    this.balancers.delete(name);
    await balancer.stop();
  }

  /** Names of the running balancers. */
  listRunningBalancers(): string[] {
    return [...this.balancers.keys()];
  }

  /** Largest over mean of hosted flows per share, by service; 1 if even or without flows. */
  computeImbalance(): Record<string, number> {
    return Object.fromEntries(
      this.deployment.services.map(({ name }) => [name, this.computeServiceImbalance(name)]),
    );
  }

  /** Number of flows hosted by all agents. */
  countHostedFlows(): number {
    return this.targets.reduce((sum, target) => sum + target.agent.node.statistics.flows, 0);
  }

  /** Stops the callers, then all other parts. */
  async stop(): Promise<void> {
    this.fleets.forEach((fleet) => fleet.stop());
    this.fabric.stop();
    await Promise.all(this.targets.map((target) => target.agent.terminate()));
    for (const { backend, backendSocket } of this.targets) {
      backend.stop();
      backendSocket.close();
    }
    await Promise.all([...this.balancers.values()].map((balancer) => balancer.terminate()));
    await this.platform.stop();
    this.environment.close();
  }

  private listBalancerNames(): string[] {
    return this.deployment.zones.flatMap((_, zone) =>
      Array.from(
        { length: this.deployment.balancersPerZone },
        (_unused, index) => `balancer-${zone * this.deployment.balancersPerZone + index + 1}`,
      ),
    );
  }

  private getFirstBalancer(): BalancerProcess {
    return [...this.balancers.values()][0]!;
  }

  private async startBalancer(index: number): Promise<void> {
    const address = createLoopbackAddress(1, index + 1);
    const name = this.listBalancerNames()[index]!;
    const zone = this.deployment.zones[Math.floor(index / this.deployment.balancersPerZone)]!;
    const settings = balancerSchema.parse({
      role: 'balancer',
      name,
      zone,
      listen: `${address}:${FRAME_PORT}`,
      admin: `${address}:${ADMIN_PORT}`,
      peers: this.listBalancerNames().map(
        (_, peer) => `${createLoopbackAddress(1, peer + 1)}:${FRAME_PORT}`,
      ),
      store: this.storeUrl,
      keys: [DEMO_KEY],
      quietSeconds: 0.5,
      services: this.deployment.services.map((service, serviceIndex) => ({
        name: service.name,
        protocol: service.protocol,
        listen: `${address}:${FIRST_SERVICE_PORT + serviceIndex}`,
      })),
      log: { level: this.options.logLevel },
    });
    this.balancers.set(name, await BalancerProcess.start(settings));
  }

  private async startTargets(): Promise<void> {
    for (const [serviceIndex, service] of this.deployment.services.entries()) {
      const numbers = Array.from({ length: service.targets }, (_, index) => index + 1);
      const started = numbers.map((number) => this.startTarget(service, serviceIndex, number));
      this.targets.push(...(await Promise.all(started)));
    }
  }

  private async startTarget(
    service: DeployedService,
    serviceIndex: number,
    number: number,
  ): Promise<EmbeddedTarget> {
    const address = createLoopbackAddress(2 + serviceIndex, number);
    const name = createTargetName(number);
    const backend = new BackendStandin(
      {
        service: service.name,
        target: name,
        run: 1,
        serviceTime: service.serviceTime,
        feedInterval: FEED_INTERVAL_MS,
        tileBytes: service.tileBytes,
      },
      this.environment,
      this.record,
      (to, datagram) => backendSocket.send(to, datagram),
    );
    const bound = await UdpSocket.bind(address, BACKEND_PORT, (datagram, from) =>
      backend.receive(datagram, from),
    );
    const backendSocket = bound.unwrap();
    const agent = await AgentProcess.start(this.createAgentSettings(service, name, address));
    return { service, name, agent, backend, backendSocket };
  }

  private createAgentSettings(
    service: DeployedService,
    target: string,
    address: string,
  ): ReturnType<typeof agentSchema.parse> {
    return agentSchema.parse({
      role: 'agent',
      service: service.name,
      target,
      protocol: service.protocol,
      listen: `${address}:${FRAME_PORT}`,
      admin: `${address}:${ADMIN_PORT}`,
      backend: `${address}:${BACKEND_PORT}`,
      balancers: this.listBalancerNames().map(
        (_, index) => `${createLoopbackAddress(1, index + 1)}:${FRAME_PORT}`,
      ),
      keys: [DEMO_KEY],
      loadPath: 'load',
      log: { level: this.options.logLevel },
    });
  }

  private async putInitialTables(): Promise<void> {
    await this.waitUntil('a balancer has joined', () => this.getFirstBalancer().node.isReady);
    for (const [serviceIndex, service] of this.deployment.services.entries()) {
      const rows = Array.from({ length: service.targets }, (_, index) => ({
        target: createTargetName(index + 1),
        address: packEndpoint(createLoopbackAddress(2 + serviceIndex, index + 1), FRAME_PORT),
        share: 1,
        slots: service.slots,
        connections: service.connections,
      }));
      await this.editTable(service.name, () => rows);
    }
  }

  private areAllReady(): boolean {
    const services = this.deployment.services.map((service) => service.name);
    const balancersReady = [...this.balancers.values()].every(
      ({ node }) =>
        node.isReady && services.every((service) => node.distribution.cache.get(service)),
    );
    const areBucketsOwned = services.every((service) => {
      const group = this.targets.filter((target) => target.service.name === service);
      const buckets = group.map((target) => target.agent.node.statistics.bucketsOwned);
      return buckets.reduce((sum, count) => sum + count, 0) === 256;
    });
    return balancersReady && areBucketsOwned;
  }

  private async startServiceCallers(service: DeployedService, port: number): Promise<void> {
    const address = packEndpoint(createLoopbackAddress(0, 2), port);
    const { statistics, record } = this;
    const shared = { statistics, record };
    const fleet = new CallerFleet(this.environment, address, service.name, service.name, shared);
    this.fleets.push(fleet);
    await fleet.start({ ...service.callers, tileBytes: service.tileBytes });
  }

  private computeServiceImbalance(service: string): number {
    const rows = this.getFirstBalancer().node.distribution.cache.get(service)?.rows ?? [];
    const loads = rows
      .filter((row) => row.share > 0)
      .map((row) => {
        const target = this.targets.find(
          (candidate) => candidate.service.name === service && candidate.name === row.target,
        );
        return { flows: target?.agent.node.statistics.flows ?? 0, share: row.share };
      });
    const flows = loads.reduce((sum, load) => sum + load.flows, 0);
    const shares = loads.reduce((sum, load) => sum + load.share, 0);
    const largest = Math.max(...loads.map((load) => load.flows / load.share));
    return flows === 0 ? 1 : largest / (flows / shares);
  }

  private async waitUntil(description: string, condition: () => boolean): Promise<void> {
    const limit = performance.now() + READY_TIMEOUT_MS;
    while (!condition()) {
      if (performance.now() > limit) {
        throw new Error(`timed out after ${READY_TIMEOUT_MS} ms waiting until ${description}`);
      }
      await new Promise((resolve) => setTimeout(resolve, POLL_INTERVAL_MS));
    }
  }
}

/** Address in 127.0.0.0/8 with two octets of the process id, to keep processes apart. */
function createLoopbackAddress(group: number, host: number): string {
  const high = 1 + ((process.pid >> 8) % 120);
  const low = process.pid & 255;
  return `127.${high}.${low}.${group * 20 + host}`;
}

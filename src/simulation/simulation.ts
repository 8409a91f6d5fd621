/**
 * Simulates a deployment in virtual time with the real node classes: store, balancers,
 * targets, fabric and callers. Faults are injected; a monitor checks the invariants.
 */
import { createHash } from 'node:crypto';
import { chooseTarget, type PlacementCandidate } from '../core/placement';
import { packEndpoint } from '../core/endpoint';
import type { TableRow } from '../core/table';
import type { Endpoint } from '../environment';
import type { PlacementPolicy } from '../agent/agent-context';
import { Safeguards, type SafeguardName } from '../agent/safeguards';
import { CallerStatistics } from '../standins/caller-statistics';
import type { Caller, CallerContext } from '../standins/caller';
import { DatagramCaller } from '../standins/datagram-caller';
import { FeedCaller } from '../standins/feed-caller';
import { ReportCaller } from '../standins/report-caller';
import { TransferCaller } from '../standins/transfer-caller';
import { createTargetName, type Deployment, type DeployedService } from '../standins/deployments';
import { RunRecord } from '../standins/run-record';
import { FrameCodec } from '../wire/frame-codec';
import { hostsAnyFlow, createRoutingFactory, type Design } from './baselines';
import { SeededRandom } from './seeded-random';
import { SimulatedBalancer } from './simulated-balancer';
import { CALLER_ZONE, SimulatedNetwork } from './simulated-network';
import { SimulatedProcess } from './simulated-process';
import { SimulatedStore } from './simulated-store';
import { SimulatedTarget, type SimulatedTargetDependencies } from './simulated-target';
import { VirtualClock } from './virtual-clock';
import { SimulationMonitor } from './simulation-monitor';

const CALLER_PORT = 40_000;
const MACHINE_LIST_LAG_MS = 3_000;
/** The fabric still sends to a dead balancer for this long. */
const FABRIC_LAG_MS = 1_500;
const FEED_TIMEOUT_MS = 20_000;
const REPORT_INTERVAL_MS = 2_000;
const TRANSFER_INTERVAL_MS = 3_000;
const DATAGRAM_INTERVAL_MS = 500;
const FLOW_IDLE_TIMEOUT_MS = 30_000;
const ARRIVALS_PER_SECOND = 3;
const MEAN_SHORT_FLOW_LENGTH_MS = 10_000;
/** Fraction of new callers that reuse the address of a caller that has ended. */
const REUSED_ADDRESS_FRACTION = 0.2;
/** Pareto shape of flow lengths; below 2 the variance is infinite, so a few are very long. */
const FLOW_LENGTH_SHAPE = 1.5;
const FIRST_INCARNATION = 1_000;
/** Key of all simulated nodes; exported for tests that forge frames. */
export const SIMULATION_KEY = { id: 1, secret: Buffer.from('simulation-cluster-key') };

/** Options of a simulation. */
export interface SimulationOptions {
  readonly deployment: Deployment;
  readonly seed: number;
  readonly design: Design;
  readonly without: readonly SafeguardName[];
  /** Receives one line per event; no trace if absent. */
  readonly trace?: (line: string) => void;
}

/** A simulated deployment. */
export class Simulation {
  readonly clock = new VirtualClock();
  readonly random: SeededRandom;
  readonly network: SimulatedNetwork;
  readonly store: SimulatedStore;
  readonly statistics: CallerStatistics;
  readonly record = new RunRecord((line) => this.writeTrace(line));
  readonly balancers: SimulatedBalancer[] = [];
  readonly targets: SimulatedTarget[] = [];
  readonly monitor: SimulationMonitor;
  private readonly codec = new FrameCodec([SIMULATION_KEY]);
  private readonly digest = createHash('sha256');
  private readonly callers = new Set<Caller>();
  private readonly callerProcess: SimulatedProcess;
  private readonly targetDependencies: SimulatedTargetDependencies;
  /** Names of the balancers among which the fabric distributes datagrams. */
  private readonly activeBalancers = new Set<string>();
  private lastIncarnation = FIRST_INCARNATION;
  private callerCount = 0;
  private isFinished = false;
  /** Endpoints of callers that have ended, free for reuse. */
  private readonly freeEndpoints: Endpoint[] = [];

  constructor(readonly options: SimulationOptions) {
    const { deployment, seed } = options;
    this.random = new SeededRandom(seed);
    this.network = new SimulatedNetwork(this.clock, this.random, deployment, (from, to, payload) =>
      this.addToDigest(from, to, payload),
    );
    this.store = new SimulatedStore(this.clock, this.random, MACHINE_LIST_LAG_MS);
    this.monitor = new SimulationMonitor(this);
    this.statistics = new CallerStatistics(this.monitor);
    this.targetDependencies = this.createTargetDependencies();
    this.callerProcess = this.createProcess(CALLER_ZONE, CALLER_ZONE, CALLER_ZONE);
  }

  /** Starts balancers and targets, writes the initial tables, runs until flows are admitted. */
  start(): void {
    this.createBalancers();
    this.createTargets();
    this.targets.forEach((target) => target.startBackend());
    this.balancers.forEach((balancer) => this.startBalancer(balancer));
    this.clock.runUntil(1_000);
    this.options.deployment.services.forEach((service) => this.writeInitialTable(service));
    this.targets.forEach((target) => target.startAgent());
    this.clock.runUntil(8_000);
    this.monitor.start();
  }

  /** Starts the callers of every service. */
  startCallers(): void {
    for (const service of this.options.deployment.services) {
      const { feeds, reporters, transfers, datagrams } = service.callers;
      if (feeds > 0) {
        this.startArrivals(service, ARRIVALS_PER_SECOND, MEAN_SHORT_FLOW_LENGTH_MS);
      }
      this.startServiceCallers(service, feeds, (context, index) => {
        return new FeedCaller(context, `feed/${service.name}-${index}`, FEED_TIMEOUT_MS);
      });
      this.startServiceCallers(service, reporters, (context, index) => {
        return new ReportCaller(context, `${service.name}-${index}`, REPORT_INTERVAL_MS);
      });
      this.startServiceCallers(service, transfers, (context, index) => {
        const name = `${service.name}-${index}`;
        return new TransferCaller(context, name, TRANSFER_INTERVAL_MS, service.tileBytes);
      });
      this.startServiceCallers(service, datagrams, (context, index) => {
        return new DatagramCaller(context, `${service.name}-${index}`, DATAGRAM_INTERVAL_MS);
      });
    }
  }

  /**
   * Opens feeds with exponential inter-arrival times and Pareto lengths until the end.
   * @param perSecond new flows a second
   * @param meanLength mean length of a flow in milliseconds
   */
  startArrivals(service: DeployedService, perSecond: number, meanLength: number): void {
    const wait = this.random.exponential(1_000 / perSecond);
    this.clock.schedule(wait, () => {
      if (!this.isFinished) {
        this.openShortFlow(service, meanLength);
        this.startArrivals(service, perSecond, meanLength);
      }
    });
  }

  /** Adds a caller of a service, on a new endpoint by default. */
  addCaller(
    service: string,
    create: (context: CallerContext) => Caller,
    endpoint = this.createCallerEndpoint(),
  ): Caller {
    const caller = create({
      environment: this.callerProcess,
      statistics: this.statistics,
      record: this.record,
      service,
      send: (datagram) => this.sendThroughFabric(service, endpoint, datagram),
    });
    this.network.bind(endpoint, this.callerProcess, (datagram) => caller.receive(datagram));
    this.callers.add(caller);
    return caller;
  }

  /** Advances virtual time to `time`, in milliseconds; stops nothing. */
  runUntil(time: number): void {
    this.clock.runUntil(time);
  }

  /** Stops the callers and returns the digest of all deliveries. */
  finish(): string {
    this.isFinished = true;
    this.callers.forEach((caller) => caller.stop());
    return this.digest.digest('hex');
  }

  /** Starts a balancer; the fabric sends to it once it is ready. */
  startBalancer(balancer: SimulatedBalancer): void {
    balancer.start();
    this.activateWhenReady(balancer);
  }

  /** Withdraws a balancer from the fabric: at once when planned, else after the fabric's lag. */
  withdraw(balancer: SimulatedBalancer, planned: boolean): void {
    this.clock.schedule(planned ? 0 : FABRIC_LAG_MS, () => {
      if (planned || !balancer.isRunning) {
        this.activeBalancers.delete(balancer.name);
      }
    });
  }

  /** Returns a resumed balancer to the fabric. */
  readmit(balancer: SimulatedBalancer): void {
    this.activateWhenReady(balancer);
  }

  /** Sends a caller's datagram through a random balancer. */
  sendThroughFabric(service: string, caller: Endpoint, datagram: Buffer): void {
    const active = this.balancers.filter((balancer) => this.activeBalancers.has(balancer.name));
    if (active.length > 0) {
      const balancer = this.random.pick(active);
      const to = balancer.getServiceEndpoint(service);
      this.network.send(this.callerProcess, caller, to, datagram);
    }
  }

  /** Submits an operator's edit of a service's rows to a balancer. */
  editTable(
    service: string,
    change: (rows: readonly TableRow[]) => TableRow[],
    acceptor: SimulatedBalancer,
    writeId: string,
  ): void {
    const table = acceptor.node.distribution.cache.get(service);
    const baseRows = table?.rows ?? [];
    const baseRevision = table?.revision ?? 0;
    const rows = change(baseRows);
    const submitted = { service, rows, baseRows, baseRevision, writeId };
    const undo = this.monitor.recordTableSubmitted(service, rows);
    acceptor.node.acceptance.submit(submitted, (result) => {
      if (result.ok) {
        this.monitor.recordTableAccepted(service, result.val.revision, rows);
      } else if (result.val.retry === 'never') {
        undo();
      }
    });
  }

  listTargets(service: string): SimulatedTarget[] {
    return this.targets.filter((target) => target.service.name === service);
  }

  listRunningBalancers(): SimulatedBalancer[] {
    return this.balancers.filter((balancer) => balancer.isRunning);
  }

  /** Control bytes sent by the current incarnations of all nodes. */
  countControlBytes(): number {
    const balancers = this.balancers.map((one) => one.node.statistics.controlBytesSent);
    const agents = this.targets.map((one) => one.agent.statistics.controlBytesSent);
    return [...balancers, ...agents].reduce((sum, bytes) => sum + bytes, 0);
  }

  createProcess(name: string, zone: string, machine: string): SimulatedProcess {
    return new SimulatedProcess(
      name,
      zone,
      machine,
      this.clock,
      this.random,
      (process, event, fields) =>
        this.writeTrace(`${process} ${event.name} ${JSON.stringify(fields)}`),
    );
  }

  /** Writes a line with the virtual time to the trace, if enabled. */
  writeTrace(line: string): void {
    this.options.trace?.(`${this.clock.now.toFixed(3)} ${line}`);
  }

  private createBalancers(): void {
    const { deployment, design } = this.options;
    const dependencies = {
      network: this.network,
      codec: this.codec,
      store: this.store,
      routing: createRoutingFactory(design),
      serviceNames: deployment.services.map((service) => service.name),
      listSeedEndpoints: () => this.balancers.map((balancer) => balancer.endpoint),
      createProcess: this.createProcess.bind(this),
      createIncarnation: () => this.createIncarnation(),
    };
    for (const [zoneIndex, zone] of deployment.zones.entries()) {
      for (let index = 0; index < deployment.balancersPerZone; index++) {
        const name = `balancer-${this.balancers.length + 1}`;
        const address = `10.1.${zoneIndex}.${index + 1}`;
        this.balancers.push(new SimulatedBalancer(name, zone, address, dependencies));
      }
    }
  }

  /** Adds a target on a machine without starting it. */
  createTarget(
    service: DeployedService,
    name: string,
    zone: string,
    address: string,
  ): SimulatedTarget {
    const target = new SimulatedTarget(service, name, zone, address, this.targetDependencies);
    this.targets.push(target);
    return target;
  }

  private createTargetDependencies(): SimulatedTargetDependencies {
    const { design, without } = this.options;
    return {
      network: this.network,
      codec: this.codec,
      record: this.record,
      safeguards: new Safeguards(new Set(without)),
      place: design === 'oracle' ? this.createOracle() : undefined,
      hostsAnyFlow: hostsAnyFlow(design),
      flowIdle: FLOW_IDLE_TIMEOUT_MS,
      listBalancerEndpoints: () => this.balancers.map((balancer) => balancer.endpoint),
      createProcess: this.createProcess.bind(this),
      createIncarnation: () => this.createIncarnation(),
      onBackendDatagram: (target, datagram) => this.monitor.recordBackendDatagram(target, datagram),
    };
  }

  private createTargets(): void {
    const { deployment } = this.options;
    deployment.services.forEach((service, serviceIndex) => {
      for (let number = 1; number <= service.targets; number++) {
        const zone = deployment.zones[(number - 1) % deployment.zones.length]!;
        const address = `10.2.${serviceIndex}.${number}`;
        this.createTarget(service, createTargetName(number), zone, address);
      }
    });
  }

  /** Placement by flows per share with exact, current counts: the upper bound. */
  private createOracle(): PlacementPolicy {
    return (candidates, _owners, tieBreak) => {
      const exact = candidates.map((candidate) => this.replaceWithExactCount(candidate));
      return chooseTarget(exact, 1, tieBreak);
    };
  }

  private replaceWithExactCount(candidate: PlacementCandidate): PlacementCandidate {
    const target = this.targets.find(
      (one) => one.name === candidate.target && one.endpoint === candidate.address,
    );
    const reportedFlows = target?.agent.statistics.flows ?? candidate.reportedFlows;
    return { ...candidate, reportedFlows, placedSince: 0, reportedLoad: 0, warmth: 1 };
  }

  private writeInitialTable(service: DeployedService): void {
    const rows = this.listTargets(service.name).map((target) => ({
      target: target.name,
      address: target.endpoint,
      share: 1,
      slots: service.slots,
      connections: service.connections,
    }));
    this.editTable(service.name, () => rows, this.balancers[0]!, `first-${service.name}`);
  }

  private activateWhenReady(balancer: SimulatedBalancer): void {
    const { process } = balancer;
    const check = (): void => {
      if (balancer.node.isReady && !balancer.isStopping) {
        this.activeBalancers.add(balancer.name);
      } else {
        process.startTimer(100, check);
      }
    };
    process.startTimer(100, check);
  }

  private startServiceCallers(
    service: DeployedService,
    count: number,
    create: (context: CallerContext, index: number) => Caller,
  ): void {
    for (let index = 0; index < count; index++) {
      const caller = this.addCaller(service.name, (context) => create(context, index));
      this.clock.schedule(this.random.between(0, 2_000), () => caller.start());
    }
  }

  private openShortFlow(service: DeployedService, meanLength: number): void {
    const reuse = this.freeEndpoints.length > 0 && this.random.next() < REUSED_ADDRESS_FRACTION;
    const endpoint = reuse ? this.freeEndpoints.shift()! : this.createCallerEndpoint();
    const path = `feed/${service.name}-passing-${this.callerCount}`;
    const caller = this.addCaller(
      service.name,
      (context) => new FeedCaller(context, path, FEED_TIMEOUT_MS),
      endpoint,
    );
    caller.start();
    const scale = (meanLength * (FLOW_LENGTH_SHAPE - 1)) / FLOW_LENGTH_SHAPE;
    const length = scale / (1 - this.random.next()) ** (1 / FLOW_LENGTH_SHAPE);
    this.clock.schedule(length, () => {
      caller.stop();
      this.callers.delete(caller);
      this.freeEndpoints.push(endpoint);
    });
  }

  private createCallerEndpoint(): Endpoint {
    this.callerCount++;
    const high = this.callerCount >> 8;
    return packEndpoint(`10.9.${high}.${this.callerCount & 255}`, CALLER_PORT);
  }

  private createIncarnation(): number {
    this.lastIncarnation++;
    return this.lastIncarnation;
  }

  private addToDigest(from: Endpoint, to: Endpoint, payload: Buffer): void {
    this.digest.update(`${this.clock.now} ${from} ${to} ${payload.length}\n`);
  }
}

/**
 * Compares the data path with a bare UDP relay of as many hops: packets per second, added
 * latency, new flows per second, bytes per known flow.
 *
 * Callers and back end run on a worker thread; both paths run on this thread.
 */
import { join } from 'node:path';
import { Worker } from 'node:worker_threads';
import { AgentNode } from '../agent/agent-node';
import type { BackendPort } from '../agent/agent-context';
import { BalancerNode } from '../balancer/balancer-node';
import { packEndpoint } from '../core/endpoint';
import type { Endpoint, Environment, TimerHandle } from '../environment';
import { BackendSockets } from '../runtime/backend-sockets';
import { UdpSocket } from '../runtime/udp-socket';
import { FrameCodec } from '../wire/frame-codec';
import { SILENT_STORE } from './silent-store';
import { measureBytesInUse } from './collect-garbage';
import type { LoadOptions, LoadResult } from './datapath-load';
import { UdpRelay } from './udp-relay';

const ADDRESS = '127.0.0.1';
const SERVICE = 'bench';
const TARGET = 'target-1';
const WINDOW = 64;
const MEASURE_TIME_MS = 2_000;
const ROUNDS = 3;
const FLOWS_HELD = 300_000;
const NEW_FLOW_BATCH = 200;
const NEW_FLOW_SECONDS = 3;
const FLOW_IDLE_MS = 3_600_000;
const SETTLE_TIME_MS = 1_500;
const KEY = { id: 1, secret: Buffer.from('bench-cluster-secret') };
const MICROSECONDS_PER_SECOND = 1e6;

/** Report of the benchmark, printed as the JSON line. */
export interface DatapathReport {
  readonly relay: PathResult;
  readonly hallhold: PathResult;
  /** Packets per second of hallhold divided by those of the relay. */
  readonly throughputRatio: number;
  /** Microseconds that hallhold adds to the relay's round trip, with one datagram in flight. */
  readonly addedMicroseconds: { readonly p50: number; readonly p99: number };
  readonly newFlowsPerSecond: number;
  readonly flowsHeld: number;
  readonly bytesPerFlow: { readonly balancer: number; readonly agent: number };
}

/** Result of one path: medians over the rounds, and the sum of lost datagrams. */
export interface PathResult {
  /** Datagrams per second through the path, both directions. */
  readonly packetsPerSecond: number;
  /** Round trip with one datagram in flight, in microseconds. */
  readonly p50: number;
  readonly p99: number;
  readonly lost: number;
}

/** Environment that discards log lines. */
class BenchEnvironment implements Environment {
  private readonly timers = new Set<NodeJS.Timeout>();

  now(): number {
    return performance.now();
  }

  startTimer(delayMilliseconds: number, action: () => void): TimerHandle {
    const timer = setTimeout(() => {
      this.timers.delete(timer);
      action();
    }, delayMilliseconds);
    this.timers.add(timer);
    return { cancel: () => clearTimeout(timer) };
  }

  random(): number {
    return Math.random();
  }

  report(): void {
    // Benchmarks write no log.
  }

  close(): void {
    this.timers.forEach((timer) => clearTimeout(timer));
  }
}

/** Balancer and agent on real sockets in this thread. */
class HallholdPath {
  private readonly environment = new BenchEnvironment();
  balancer!: BalancerNode;
  agent!: AgentNode;
  callerSocket!: UdpSocket;
  private balancerFrames!: UdpSocket;
  private agentFrames!: UdpSocket;

  /** @param onAnswer when given, receives answers to callers in place of the caller socket */
  async start(backend: BackendPort, onAnswer?: (caller: Endpoint) => void): Promise<void> {
    const bind = async (handler: (payload: Buffer, from: Endpoint) => void): Promise<UdpSocket> =>
      (await UdpSocket.bind(ADDRESS, 0, handler)).unwrap();
    this.balancerFrames = await bind((frame, from) => this.balancer.receiveFrame(frame, from));
    this.agentFrames = await bind((frame, from) => this.agent.receiveFrame(frame, from));
    this.callerSocket = await bind((payload, caller) =>
      this.balancer.receiveDatagram(SERVICE, caller, payload),
    );
    this.createNodes(backend, onAnswer);
    this.balancer.start();
    this.agent.start();
    this.applyTable();
    await new Promise((resolve) => setTimeout(resolve, SETTLE_TIME_MS));
  }

  stop(): void {
    this.environment.close();
    [this.balancerFrames, this.agentFrames, this.callerSocket].forEach((socket) => socket.close());
  }

  private createNodes(backend: BackendPort, onAnswer?: (caller: Endpoint) => void): void {
    const { environment } = this;
    const codec = new FrameCodec([KEY]);
    this.balancer = new BalancerNode(
      {
        name: 'balancer-1',
        zone: 'zone-a',
        endpoint: this.balancerFrames.endpoint,
        peers: [],
        incarnation: 1,
        learntFlows: 2 * FLOWS_HELD,
      },
      {
        environment,
        codec,
        store: SILENT_STORE,
        transport: { send: (to, frame) => this.balancerFrames.send(to, frame) },
        callers: {
          send: (_service, caller, payload) =>
            onAnswer ? onAnswer(caller) : this.callerSocket.send(caller, payload),
        },
      },
    );
    this.agent = new AgentNode(
      {
        service: SERVICE,
        protocol: 'datagram',
        target: TARGET,
        endpoint: this.agentFrames.endpoint,
        balancers: [this.balancerFrames.endpoint],
        incarnation: 1,
        flowIdle: FLOW_IDLE_MS,
        requestDeadline: 10_000,
        loadPath: '',
      },
      {
        environment,
        codec,
        backend,
        transport: { send: (to, frame) => this.agentFrames.send(to, frame) },
      },
    );
  }

  private applyTable(): void {
    const rows = [
      {
        target: TARGET,
        address: this.agentFrames.endpoint,
        share: 1,
        slots: 1,
        connections: 2 * FLOWS_HELD,
      },
    ];
    const tables = [{ service: SERVICE, revision: 1, writeId: 'bench', rows }];
    this.balancer.distribution.applyAndPush(
      { fromRevision: 0, throughRevision: 1, tables },
      undefined,
    );
  }
}

/** Creates an in-memory back end that echoes each datagram on its flow. */
function createEchoBackend(getAgent: () => AgentNode): BackendPort {
  return {
    sendMessage: () => undefined,
    sendDatagram: (caller, payload) => getAgent().receiveBackendDatagram(caller, payload),
    closeFlow: () => undefined,
  };
}

/** Handle of the load generator's thread. */
class LoadThread {
  private constructor(
    private readonly worker: Worker,
    readonly backend: Endpoint,
  ) {}

  static async start(): Promise<LoadThread> {
    const worker = new Worker(join(__dirname, 'datapath-load.js'), {
      workerData: { address: ADDRESS },
    });
    const started = await new Promise<{ backend: Endpoint }>((resolve) =>
      worker.once('message', resolve),
    );
    return new LoadThread(worker, started.backend);
  }

  load(to: Endpoint, window: number): Promise<LoadResult> {
    const options: LoadOptions = {
      to,
      address: ADDRESS,
      callers: window,
      window,
      milliseconds: MEASURE_TIME_MS,
    };
    this.worker.postMessage(options);
    return new Promise((resolve) => this.worker.once('message', resolve));
  }

  async stop(): Promise<void> {
    await this.worker.terminate();
  }
}

/** Runs the benchmark. */
export async function benchDatapath(
  reportProgress: (line: string) => void,
): Promise<DatapathReport> {
  const { relay, hallhold } = await comparePaths(reportProgress);
  reportProgress('new flows per second');
  const newFlowsPerSecond = await measureNewFlowRate();
  reportProgress(`memory of ${FLOWS_HELD} flows`);
  const bytesPerFlow = await measureBytesPerFlow();
  return {
    relay,
    hallhold,
    throughputRatio: hallhold.packetsPerSecond / relay.packetsPerSecond,
    addedMicroseconds: { p50: hallhold.p50 - relay.p50, p99: hallhold.p99 - relay.p99 },
    newFlowsPerSecond,
    flowsHeld: FLOWS_HELD,
    bytesPerFlow,
  };
}

/** Alternates rounds of both paths, so that a change of the machine's load affects both. */
async function comparePaths(
  reportProgress: (line: string) => void,
): Promise<{ relay: PathResult; hallhold: PathResult }> {
  const thread = await LoadThread.start();
  const relay = new UdpRelay(ADDRESS);
  await relay.start(thread.backend);
  const path = new HallholdPath();
  const sockets = new BackendSockets(thread.backend);
  await path.start(sockets);
  await sockets.open(path.agent);
  const relayRounds: PathResult[] = [];
  const hallholdRounds: PathResult[] = [];
  for (let round = 1; round <= ROUNDS; round++) {
    reportProgress(`round ${round} of ${ROUNDS}: relay, hallhold`);
    relayRounds.push(await measurePath(thread, relay.endpoint));
    hallholdRounds.push(await measurePath(thread, path.callerSocket.endpoint));
  }
  relay.stop();
  path.stop();
  sockets.close();
  await thread.stop();
  return { relay: computeMedians(relayRounds), hallhold: computeMedians(hallholdRounds) };
}

async function measurePath(thread: LoadThread, to: Endpoint): Promise<PathResult> {
  const single = await thread.load(to, 1);
  const many = await thread.load(to, WINDOW);
  return {
    packetsPerSecond: (2 * many.roundTrips) / many.seconds,
    p50: single.p50,
    p99: single.p99,
    lost: many.lost,
  };
}

function computeMedians(rounds: readonly PathResult[]): PathResult {
  const median = (read: (figures: PathResult) => number): number => {
    const sorted = rounds.map(read).sort((a, b) => a - b);
    return sorted[Math.floor(sorted.length / 2)]!;
  };
  return {
    packetsPerSecond: median((figures) => figures.packetsPerSecond),
    p50: median((figures) => figures.p50),
    p99: median((figures) => figures.p99),
    lost: rounds.reduce((sum, figures) => sum + figures.lost, 0),
  };
}

/** Sends every datagram from a new caller; counts the flows that are answered. */
async function measureNewFlowRate(): Promise<number> {
  const run = await openFlows((elapsed) => elapsed < NEW_FLOW_SECONDS * 1_000);
  run.path.stop();
  return (run.opened * MICROSECONDS_PER_SECOND) / (run.milliseconds * 1_000);
}

interface FlowRun {
  readonly path: HallholdPath;
  readonly opened: number;
  readonly milliseconds: number;
}

async function openFlows(
  shouldContinue: (elapsed: number, opened: number) => boolean,
): Promise<FlowRun> {
  let answered = 0;
  const path = new HallholdPath();
  await path.start(
    createEchoBackend(() => path.agent),
    () => answered++,
  );
  const payload = Buffer.from('first datagram');
  const startedAt = performance.now();
  let sent = 0;
  while (shouldContinue(performance.now() - startedAt, answered)) {
    for (; sent < answered + NEW_FLOW_BATCH; sent++) {
      const caller = packEndpoint('10.0.0.0', 0) + sent + 1;
      path.balancer.receiveDatagram(SERVICE, caller, payload);
    }
    await new Promise((resolve) => setImmediate(resolve));
  }
  return { path, opened: answered, milliseconds: performance.now() - startedAt };
}

/** Opens many flows, then drops the balancer, to attribute the memory to balancer and agent. */
async function measureBytesPerFlow(): Promise<{ balancer: number; agent: number }> {
  const empty = measureBytesInUse();
  const run = await openFlows((_elapsed, opened) => opened < FLOWS_HELD);
  run.path.stop();
  const both = measureBytesInUse();
  const known = run.path.balancer.statistics.knownFlows;
  const hosted = run.path.agent.statistics.flows;
  run.path.balancer = undefined as unknown as BalancerNode;
  const agentOnly = measureBytesInUse();
  return { balancer: (both - agentOnly) / known, agent: (agentOnly - empty) / hosted };
}

/** The processes of the packet interface: packet nodes with real sockets and timers. */
import type { Endpoint } from '../environment';
import type { AgentRegistryPort, CollectionPort, StoreProbePort } from '../packets/collection-port';
import type { PacketFormat } from '../packets/flow-packet';
import { IngressScheduler } from '../packets/ingress-scheduler';
import { PacketAgent } from '../packets/packet-agent';
import { PacketBalancer } from '../packets/packet-balancer';
import { PacketFrameCodec } from '../packets/packet-frames';
import type { PacketSettings } from '../packets/packet-settings';
import type { RoutingTable } from '../packets/routing-table';
import type { EvacuatedZone } from '../packets/zone-evacuations';
import type { ClusterKey } from '../wire/frame-codec';
import { HallholdError, getErrorMessage } from '../errors/hallhold-error';
import { ResultCodes } from '../errors/result-codes';
import { Events } from '../logging/events';
import type { MetricValues } from './metrics';
import { RealEnvironment, type EventReporter } from './real-environment';
import { HttpSnapshots, serveSnapshots } from './snapshot-exchange';
import { TcpTargetProbe } from './target-probe';
import { UdpSocket, type DatagramHandler } from './udp-socket';

/** Time without packets from clients after which a stopping balancer exits. */
const QUIET_TIME_MS = 700;
/** Minimum time to exit: routers stop sending to it only after several failed readiness probes. */
const MINIMUM_STOP_TIME_MS = 1_200;
const STOP_POLL_INTERVAL_MS = 100;
/** Time before a stopping agent exits, in which it repeats its announcement. */
const FLUSH_TIME_MS = 20;

/** Ports that the adapter provides to a packet process. */
export interface PacketProcessPorts {
  readonly format: PacketFormat;
  readonly registry: AgentRegistryPort;
  readonly routingTables: CollectionPort<RoutingTable>;
  readonly evacuatedZones: CollectionPort<EvacuatedZone>;
  readonly storeProbe: StoreProbePort;
  /** The endpoint at which a client receives datagrams. */
  getClientEndpoint(client: Endpoint, port: number): Endpoint;
}

/** Receives the time in milliseconds that handling one packet took. */
export type PacketObserver = (milliseconds: number) => void;

/** The interface of both kinds of packet process to the adapter. */
export interface PacketProcess {
  /** Begins a planned stop; `done` is called when the process may exit. */
  beginStop(done: () => void): void;
  /** Applies changed settings; only the seeds can change in a running process. */
  reload(settings: PacketSettings): void;
  /** Values for the metrics page. */
  readonly figures: MetricValues;
  /** Called with the handling time of each packet; set by the metrics page. */
  packetObserver: PacketObserver | undefined;
}

async function bindSocket(
  endpoint: Endpoint,
  log: EventReporter,
  handler: DatagramHandler,
): Promise<UdpSocket> {
  const bound = await UdpSocket.bindEndpoint(endpoint, handler);
  if (bound.err) {
    throw bound.val;
  }
  bound.val.onSendError = (reason) => log.report(Events.sendFailed, { reason });
  return bound.val;
}

/** The value of a setting that the role requires; error 1002 when it is missing. */
export function requireSetting<T>(value: T | undefined, key: string): T {
  if (value === undefined) {
    const detail = `${key}: is missing`;
    throw new HallholdError(ResultCodes.settingsInvalid, 'settings lack a key', [detail]);
  }
  return value;
}

/** A balancer process. */
export class PacketBalancerProcess implements PacketProcess {
  packetObserver: PacketObserver | undefined;
  private lastPacketAt = 0;
  private readonly ingress: IngressScheduler;

  private constructor(
    readonly node: PacketBalancer,
    private readonly environment: RealEnvironment,
    private readonly settings: PacketSettings,
    format: PacketFormat,
  ) {
    this.ingress = new IngressScheduler({
      now: () => environment.now(),
      decode: (bytes) => format.decodeFromClient(bytes),
      handle: (bytes) => this.handleClientDatagram(bytes),
      isStarting: () => node.isStarting,
      runAfterReads: (action) => void setImmediate(action),
    });
  }

  /** Binds all sockets and starts; throws a {@link HallholdError} when an address is in use. */
  static async start(
    settings: PacketSettings,
    keys: readonly ClusterKey[],
    ports: PacketProcessPorts,
    log: EventReporter,
  ): Promise<PacketBalancerProcess> {
    const environment = new RealEnvironment(log);
    const started: { process?: PacketBalancerProcess } = {};
    const packetAddress = requireSetting(settings.packetAddress, 'packetAddress');
    const clientSocket = await bindSocket(packetAddress, log, (bytes) =>
      started.process?.ingress.receive(bytes),
    );
    const frameSocket = await bindSocket(settings.listenAddress, log, (bytes, from) =>
      started.process?.node.handleFrame(bytes, from),
    );
    const node = new PacketBalancer(
      { ...settings, packetAddress },
      {
        environment,
        codec: new PacketFrameCodec(keys),
        transport: frameSocket,
        format: ports.format,
        routingTables: ports.routingTables,
        registry: ports.registry,
        evacuatedZones: settings.evacuateTime === undefined ? undefined : ports.evacuatedZones,
        storeProbe: ports.storeProbe,
        snapshots: new HttpSnapshots(),
        sendToClient: (client, packet) =>
          clientSocket.send(ports.getClientEndpoint(client, settings.clientPort), packet),
        relay: (to, packet) => clientSocket.send(to, packet),
      },
    );
    const running = new PacketBalancerProcess(node, environment, settings, ports.format);
    started.process = running;
    serveSnapshots(settings.listenAddress, () => node.snapshot, throwListenError);
    node.start();
    return running;
  }

  /** Forwards packets until routers no longer send any, or `stopTime` has passed. */
  beginStop(done: () => void): void {
    const startedAt = this.environment.now();
    const deadline = startedAt + this.settings.stopTime;
    this.node.beginStop();
    const poll = (): void => {
      const now = this.environment.now();
      const isQuiet = now - Math.max(this.lastPacketAt, startedAt) > QUIET_TIME_MS;
      if (now >= deadline || (isQuiet && now - startedAt > MINIMUM_STOP_TIME_MS)) {
        this.node.stop();
        done();
        return;
      }
      this.environment.startTimer(STOP_POLL_INTERVAL_MS, poll);
    };
    poll();
  }

  reload(settings: PacketSettings): void {
    this.node.replaceSeeds(settings.seeds);
  }

  get figures(): MetricValues {
    return {
      ...this.node.figures,
      ...this.node.router.counters,
      packetsQueuedAtIngress: this.ingress.waiting,
      packetsDroppedAtIngress: this.ingress.dropped,
    };
  }

  private handleClientDatagram(bytes: Buffer): void {
    this.lastPacketAt = this.environment.now();
    this.node.handleClientDatagram(bytes);
    this.packetObserver?.(this.environment.now() - this.lastPacketAt);
  }
}

/** An agent process. */
export class PacketAgentProcess implements PacketProcess {
  packetObserver: PacketObserver | undefined;

  private constructor(
    readonly node: PacketAgent,
    private readonly environment: RealEnvironment,
  ) {}

  /** Binds all sockets and starts; throws a {@link HallholdError} when an address is in use. */
  static async start(
    settings: PacketSettings,
    keys: readonly ClusterKey[],
    ports: PacketProcessPorts,
    log: EventReporter,
  ): Promise<PacketAgentProcess> {
    const environment = new RealEnvironment(log);
    const started: { process?: PacketAgentProcess } = {};
    const target = requireSetting(settings.targetAddress, 'targetAddress');
    const outbound = requireSetting(settings.targetOutbound, 'targetOutbound');
    const service = requireSetting(settings.service, 'service');
    const targetSocket = await bindSocket(outbound, log, (bytes) =>
      started.process?.handleTargetDatagram(bytes),
    );
    const frameSocket = await bindSocket(settings.listenAddress, log, (bytes, from) =>
      started.process?.node.handleFrame(bytes, from),
    );
    const node = new PacketAgent(
      { ...settings, service },
      {
        environment,
        startedAt: environment.startedAt,
        born: performance.timeOrigin,
        codec: new PacketFrameCodec(keys),
        transport: frameSocket,
        format: ports.format,
        registry: ports.registry,
        targetProbe: new TcpTargetProbe(target),
        sendToClient: (client, packet) =>
          targetSocket.send(ports.getClientEndpoint(client, settings.clientPort), packet),
        sendToTarget: (packet) => targetSocket.send(target, packet),
      },
    );
    const running = new PacketAgentProcess(node, environment);
    started.process = running;
    node.start();
    return running;
  }

  reload(settings: PacketSettings): void {
    this.node.replaceSeeds(settings.seeds);
  }

  get figures(): MetricValues {
    return { ...this.node.figures, ...this.node.counters };
  }

  beginStop(done: () => void): void {
    this.node.beginStop(() => {
      this.environment.startTimer(FLUSH_TIME_MS, () => {
        this.node.stop();
        done();
      });
    });
  }

  private handleTargetDatagram(bytes: Buffer): void {
    const before = this.environment.now();
    this.node.handleTargetDatagram(bytes);
    this.packetObserver?.(this.environment.now() - before);
  }
}

/** Throws error 1402; called when the snapshot server cannot listen. */
function throwListenError(error: Error): void {
  throw new HallholdError(ResultCodes.addressInUse, getErrorMessage(error));
}

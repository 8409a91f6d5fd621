/** Agent process: connects the agent node to its sockets and its admin server. */
import { AgentNode } from '../agent/agent-node';
import type { AgentNodeSettings } from '../agent/agent-context';
import { parseEndpoint } from '../core/endpoint';
import type { Endpoint } from '../environment';
import type { HallholdError } from '../errors/hallhold-error';
import { EventLog } from '../logging/event-log';
import { Events } from '../logging/events';
import { startAdminServer, type AdminServer } from '../operator/admin-server';
import type { AgentSettings } from '../settings/settings-schema';
import { FrameCodec } from '../wire/frame-codec';
import {
  HandoverServer,
  takeOver,
  type HandoverState,
  type ForwardedDatagram,
  type Predecessor,
  type Successor,
} from './agent-handover';
import { BackendSockets } from './backend-sockets';
import { Metrics } from './metrics';
import { createClusterKeys, createIncarnation } from './process-identity';
import { RealEnvironment } from './real-environment';
import { UdpSocket } from './udp-socket';

const BUSY_CHECK_INTERVAL_MS = 100;
const MS_PER_SECOND = 1_000;

/** One running agent. */
export class AgentProcess implements Predecessor, Successor {
  private readonly metrics = new Metrics();
  private readonly log: EventLog;
  private readonly environment: RealEnvironment;
  private readonly backend: BackendSockets;
  private readonly codec: FrameCodec;
  private currentNode: AgentNode | undefined;
  private frames: UdpSocket | undefined;
  private admin: AdminServer | undefined;
  private handover: HandoverServer | undefined;
  /** Set while a successor takes over: received datagrams are forwarded to it. */
  private forwardToSuccessor: ((datagram: ForwardedDatagram) => void) | undefined;
  /** Set on a successor from binding the addresses until it is activated. */
  private pendingState: HandoverState | undefined;
  /** Datagrams received in that time. */
  private earlyDatagrams: ForwardedDatagram[] = [];
  private resolveHandedOver!: () => void;
  /** Resolves when a successor has taken over. */
  readonly handedOver = new Promise<void>((resolve) => (this.resolveHandedOver = resolve));

  private constructor(private readonly settings: AgentSettings) {
    const source = `${settings.service}/${settings.target}`;
    this.log = new EventLog(source, settings.log.level, (event) => this.metrics.count(event));
    this.environment = new RealEnvironment(this.log);
    this.codec = new FrameCodec(createClusterKeys(settings.keys));
    this.backend = new BackendSockets(parseEndpoint(settings.backend).unwrap());
  }

  /** Starts without previous state. Throws a HallholdError when an address is in use. */
  static async start(settings: AgentSettings): Promise<AgentProcess> {
    const process = new AgentProcess(settings);
    await process.bind(process.createNode(createIncarnation()), undefined);
    await process.openAdmin();
    process.node.start();
    process.log.report(Events.processStarted, { role: 'agent' });
    return process;
  }

  /** Takes over the state of this target's running agent. Throws error 1403 when there is none. */
  static async startAsSuccessor(settings: AgentSettings): Promise<AgentProcess> {
    const process = new AgentProcess(settings);
    await takeOver(parseEndpoint(settings.handover ?? '').unwrap(), process);
    await process.openAdmin();
    process.log.report(Events.processTookOver, { flows: process.node.statistics.flows });
    return process;
  }

  get node(): AgentNode {
    return this.currentNode!;
  }

  /** Planned stop: accepts no new work and waits at most `stopAfterSeconds` for flows to end. */
  async stop(): Promise<void> {
    this.log.report(Events.processStopping, {});
    this.node.beginStop();
    const deadline = performance.now() + this.settings.stopAfterSeconds * MS_PER_SECOND;
    while (this.node.isBusy && performance.now() < deadline) {
      await new Promise((resolve) => setTimeout(resolve, BUSY_CHECK_INTERVAL_MS));
    }
    await this.stopImmediately();
    this.log.report(Events.processStopped, {});
  }

  /** Reports that reloaded settings are invalid; the current keys stay in use. */
  refuseSettings(error: HallholdError): void {
    this.log.report(Events.settingsRefused, { reason: error.describe() });
  }

  /** Replaces the cluster keys. */
  replaceKeys(settings: AgentSettings): void {
    this.codec.replaceKeys(createClusterKeys(settings.keys));
    this.log.report(Events.keysReplaced, { keys: settings.keys.map((key) => key.id).join(' ') });
  }

  /** Stops at once; only announces to peers that it stopped. */
  async stopImmediately(): Promise<void> {
    this.node.stop();
    await new Promise((resolve) => setImmediate(resolve));
    await this.terminate();
  }

  /** Ends at once, without an announcement to peers. */
  async terminate(): Promise<void> {
    this.environment.close();
    this.handover?.stop();
    this.frames?.close();
    this.backend.close();
    await this.admin?.close();
  }

  // Implements Predecessor

  beginHandover(forward: (datagram: ForwardedDatagram) => void): HandoverState {
    this.forwardToSuccessor = forward;
    return { snapshot: this.node.handOver(), sockets: this.backend.exportState() };
  }

  async completeHandover(): Promise<void> {
    this.log.report(Events.processHandedOver, {});
    this.environment.close();
    await this.admin?.close();
    this.frames?.close();
    this.backend.close();
    this.resolveHandedOver();
  }

  resume(): void {
    this.forwardToSuccessor = undefined;
    this.node.start();
  }

  // Implements Successor

  async prepare(state: HandoverState): Promise<void> {
    const node = this.createNode(state.snapshot.incarnation);
    await this.bind(node, state);
    this.pendingState = state;
  }

  activate(): void {
    this.node.takeOver(this.pendingState!.snapshot);
    this.node.start();
    this.pendingState = undefined;
    const datagrams = this.earlyDatagrams;
    this.earlyDatagrams = [];
    datagrams.forEach((datagram) => this.receive(datagram));
  }

  receive(datagram: ForwardedDatagram): void {
    if (this.pendingState) {
      this.earlyDatagrams.push(datagram);
    } else if (this.forwardToSuccessor) {
      this.forwardToSuccessor(datagram);
    } else {
      this.dispatch(datagram);
    }
  }

  private dispatch({ kind, endpoint, payload }: ForwardedDatagram): void {
    switch (kind) {
      case 'frame':
        this.node.receiveFrame(payload, endpoint);
        break;
      case 'backend':
        this.node.receiveBackendMessage(payload);
        break;
      case 'flow':
        this.node.receiveBackendDatagram(endpoint, payload);
        break;
    }
  }

  private createNode(incarnation: number): AgentNode {
    const settings = createNodeSettings(this.settings, incarnation);
    return new AgentNode(settings, {
      environment: this.environment,
      backend: this.backend,
      codec: this.codec,
      transport: { send: (to, frame) => this.frames?.send(to, frame) },
    });
  }

  private async bind(node: AgentNode, state: HandoverState | undefined): Promise<void> {
    this.currentNode = node;
    this.pendingState = state;
    const listen = parseEndpoint(this.settings.listen).unwrap();
    const handle = (payload: Buffer, endpoint: Endpoint): void =>
      this.receive({ kind: 'frame', endpoint, payload });
    const frames = await UdpSocket.bindEndpoint(listen, handle, true);
    if (frames.err) {
      throw frames.val;
    }
    this.frames = frames.val;
    const receiver = {
      receiveBackendMessage: (payload: Buffer) =>
        this.receive({ kind: 'backend', endpoint: 0, payload }),
      receiveBackendDatagram: (endpoint: Endpoint, payload: Buffer) =>
        this.receive({ kind: 'flow', endpoint, payload }),
    };
    await this.backend.open(receiver, state?.sockets);
  }

  private async openAdmin(): Promise<void> {
    this.metrics.expose('agent', () => ({ ...this.node.statistics }));
    this.admin = await startAdminServer({
      listen: parseEndpoint(this.settings.admin).unwrap(),
      metrics: this.metrics,
      isReady: () => this.node.statistics.tableRevision > 0,
      status: () => ({
        role: 'agent',
        service: this.settings.service,
        target: this.settings.target,
        statistics: this.node.statistics,
      }),
    });
    if (this.settings.handover !== undefined) {
      this.handover = new HandoverServer(this);
      await this.handover.start(parseEndpoint(this.settings.handover).unwrap());
    }
  }
}

function createNodeSettings(settings: AgentSettings, incarnation: number): AgentNodeSettings {
  return {
    service: settings.service,
    protocol: settings.protocol,
    target: settings.target,
    endpoint: parseEndpoint(settings.advertise ?? settings.listen).unwrap(),
    balancers: settings.balancers.map((balancer) => parseEndpoint(balancer).unwrap()),
    incarnation,
    flowIdle: settings.flowIdleSeconds * MS_PER_SECOND,
    requestDeadline: settings.requestDeadlineSeconds * MS_PER_SECOND,
    loadPath: settings.loadPath,
  };
}

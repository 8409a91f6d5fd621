/** Balancer process: connects the balancer node to its sockets and its admin server. */
import { BalancerNode } from '../balancer/balancer-node';
import { parseEndpoint } from '../core/endpoint';
import type { HallholdError } from '../errors/hallhold-error';
import { EventLog } from '../logging/event-log';
import { Events } from '../logging/events';
import { startAdminServer, type AdminServer } from '../operator/admin-server';
import { HttpStore } from '../table-store/http-store';
import type { BalancerSettings } from '../settings/settings-schema';
import { AgentState } from '../wire/messages';
import { FrameCodec } from '../wire/frame-codec';
import { createClusterKeys, createIncarnation } from './process-identity';
import { Metrics } from './metrics';
import { RealEnvironment } from './real-environment';
import { UdpSocket } from './udp-socket';

const QUIET_CHECK_INTERVAL_MS = 100;
const MAXIMUM_STOP_TIME_MS = 30_000;

/** One running balancer. */
export class BalancerProcess {
  private readonly serviceSockets = new Map<string, UdpSocket>();
  private stopping = false;

  private constructor(
    private readonly settings: BalancerSettings,
    private readonly log: EventLog,
    private readonly environment: RealEnvironment,
    private readonly store: HttpStore,
    readonly node: BalancerNode,
    private readonly frames: UdpSocket,
    private readonly codec: FrameCodec,
    private admin: AdminServer | undefined,
  ) {}

  /** Binds all sockets and starts. Throws a HallholdError when an address is in use. */
  static async start(settings: BalancerSettings): Promise<BalancerProcess> {
    const metrics = new Metrics();
    const log = new EventLog(settings.name, settings.log.level, (event) => metrics.count(event));
    const environment = new RealEnvironment(log);
    const store = new HttpStore(settings.store);
    const codec = new FrameCodec(createClusterKeys(settings.keys));
    const listen = parseEndpoint(settings.listen).unwrap();
    const frames = await UdpSocket.bindEndpoint(listen, (frame, from) =>
      process.node.receiveFrame(frame, from),
    );
    if (frames.err) {
      throw frames.val;
    }
    const node = new BalancerNode(createNodeSettings(settings), {
      environment,
      codec,
      store,
      transport: { send: (to, frame) => frames.val.send(to, frame) },
      callers: {
        send: (service, caller, payload) =>
          process.serviceSockets.get(service)?.send(caller, payload),
      },
    });
    const process = new BalancerProcess(
      settings,
      log,
      environment,
      store,
      node,
      frames.val,
      codec,
      undefined,
    );
    await process.openSockets(metrics);
    return process;
  }

  /** Whether this balancer accepts traffic. */
  get isReady(): boolean {
    return !this.stopping && this.node.isReady;
  }

  /** Planned stop: fails /readyz, forwards until `quietSeconds` pass without traffic, then ends. */
  async stop(): Promise<void> {
    this.log.report(Events.processStopping, {});
    this.stopping = true;
    this.node.beginStop();
    const quietTimeMs = this.settings.quietSeconds * 1_000;
    const deadline = performance.now() + MAXIMUM_STOP_TIME_MS;
    const startedAt = performance.now();
    const isQuiet = (): boolean =>
      this.node.idleTimeMs >= quietTimeMs && performance.now() - startedAt >= quietTimeMs;
    while (!isQuiet() && performance.now() < deadline) {
      await new Promise((resolve) => setTimeout(resolve, QUIET_CHECK_INTERVAL_MS));
    }
    await this.terminate();
    this.log.report(Events.processStopped, {});
  }

  /** Reports that reloaded settings are invalid; the current keys stay in use. */
  refuseSettings(error: HallholdError): void {
    this.log.report(Events.settingsRefused, { reason: error.describe() });
  }

  /** Replaces the cluster keys. */
  replaceKeys(settings: BalancerSettings): void {
    this.codec.replaceKeys(createClusterKeys(settings.keys));
    this.log.report(Events.keysReplaced, { keys: settings.keys.map((key) => key.id).join(' ') });
  }

  /** Ends at once, without an announcement to peers. */
  async terminate(): Promise<void> {
    this.node.stop();
    this.environment.close();
    this.frames.close();
    this.serviceSockets.forEach((socket) => socket.close());
    await this.admin?.close();
    await this.store.close();
  }

  private async openSockets(metrics: Metrics): Promise<void> {
    for (const { name, listen } of this.settings.services) {
      const endpoint = parseEndpoint(listen).unwrap();
      const socket = await UdpSocket.bindEndpoint(endpoint, (payload, caller) =>
        this.node.receiveDatagram(name, caller, payload),
      );
      if (socket.err) {
        throw socket.val;
      }
      this.serviceSockets.set(name, socket.val);
    }
    metrics.expose('balancer', () => ({ ...this.node.statistics }));
    this.admin = await startAdminServer({
      listen: parseEndpoint(this.settings.admin).unwrap(),
      metrics,
      isReady: () => this.isReady,
      balancer: this.node,
      status: () => ({
        role: 'balancer',
        name: this.settings.name,
        zone: this.settings.zone,
        ready: this.isReady,
        statistics: this.node.statistics,
        members: this.node.listMembers(),
        targets: this.node.listUnavailableTargets().map(({ service, target, state }) => ({
          service,
          target,
          state: state === AgentState.draining ? 'draining' : 'stopped',
        })),
      }),
    });
    this.node.start();
    this.log.report(Events.processStarted, { role: 'balancer' });
  }
}

function createNodeSettings(settings: BalancerSettings): BalancerNode['settings'] {
  return {
    name: settings.name,
    zone: settings.zone,
    endpoint: parseEndpoint(settings.advertise ?? settings.listen).unwrap(),
    peers: settings.peers.map((peer) => parseEndpoint(peer).unwrap()),
    incarnation: createIncarnation(),
    learntFlows: settings.learntFlows,
  };
}

/** An agent as a process: its sockets, its node, its admin server. */
import { AgentNode } from '../agent/agent-node';
import type { AgentNodeSettings } from '../agent/agent-context';
import { parseEndpoint } from '../core/endpoint';
import { EventLog } from '../logging/event-log';
import { Events } from '../logging/events';
import { startAdminServer, type AdminServer } from '../operator/admin-server';
import type { AgentSettings } from '../settings/settings-schema';
import { FrameCodec } from '../wire/frame-codec';
import { BackendSockets } from './backend-sockets';
import { Metrics } from './metrics';
import { clusterKeys, startIncarnation } from './process-identity';
import { RealEnvironment } from './real-environment';
import { UdpSocket } from './udp-socket';

const BUSY_CHECK_INTERVAL = 100;
const MILLISECONDS = 1_000;

/** One running agent. */
export class AgentProcess {
  private constructor(
    private readonly settings: AgentSettings,
    private readonly log: EventLog,
    private readonly environment: RealEnvironment,
    readonly node: AgentNode,
    private readonly frames: UdpSocket,
    private readonly backend: BackendSockets,
    private admin: AdminServer | undefined,
  ) {}

  /** Binds everything and starts. Throws a HallholdError when an address is taken. */
  static async start(settings: AgentSettings): Promise<AgentProcess> {
    const metrics = new Metrics();
    const source = `${settings.service}/${settings.target}`;
    const log = new EventLog(source, settings.log.level, (event) => metrics.count(event));
    const environment = new RealEnvironment(log);
    const backend = new BackendSockets(parseEndpoint(settings.backend).unwrap());
    const listen = parseEndpoint(settings.listen).unwrap();
    const frames = await UdpSocket.bindEndpoint(listen, (frame, from) =>
      node.receiveFrame(frame, from),
    );
    if (frames.err) {
      throw frames.val;
    }
    const checked = nodeSettings(settings);
    const node = new AgentNode(checked, {
      environment,
      backend,
      codec: new FrameCodec(checked.keys),
      transport: { send: (to, frame) => frames.val.send(to, frame) },
    });
    await backend.open(node);
    const process = new AgentProcess(
      settings,
      log,
      environment,
      node,
      frames.val,
      backend,
      undefined,
    );
    await process.open(metrics);
    return process;
  }

  /** Planned stop: no new work, wait for flows to end, at most `stopAfterSeconds`. */
  async stop(): Promise<void> {
    this.log.report(Events.processStopping, {});
    this.node.beginStop();
    const limit = performance.now() + this.settings.stopAfterSeconds * MILLISECONDS;
    while (this.node.busy && performance.now() < limit) {
      await new Promise((resolve) => setTimeout(resolve, BUSY_CHECK_INTERVAL));
    }
    await this.kill();
    this.log.report(Events.processStopped, {});
  }

  /** Ends at once; peers are told only that it stopped. */
  async kill(): Promise<void> {
    this.node.stop();
    await new Promise((resolve) => setImmediate(resolve));
    await this.vanish();
  }

  /** Ends at once, without a word to anyone. */
  async vanish(): Promise<void> {
    this.environment.close();
    this.frames.close();
    this.backend.close();
    await this.admin?.close();
  }

  private async open(metrics: Metrics): Promise<void> {
    metrics.expose('agent', () => ({ ...this.node.statistics }));
    this.admin = await startAdminServer({
      listen: parseEndpoint(this.settings.admin).unwrap(),
      metrics,
      isReady: () => this.node.statistics.tableRevision > 0,
      status: () => ({
        role: 'agent',
        service: this.settings.service,
        target: this.settings.target,
        statistics: this.node.statistics,
      }),
    });
    this.node.start();
    this.log.report(Events.processStarted, { role: 'agent' });
  }
}

function nodeSettings(settings: AgentSettings): AgentNodeSettings {
  return {
    service: settings.service,
    protocol: settings.protocol,
    target: settings.target,
    endpoint: parseEndpoint(settings.advertise ?? settings.listen).unwrap(),
    balancers: settings.balancers.map((balancer) => parseEndpoint(balancer).unwrap()),
    incarnation: startIncarnation(),
    flowIdle: settings.flowIdleSeconds * MILLISECONDS,
    requestDeadline: settings.requestDeadlineSeconds * MILLISECONDS,
    loadPath: settings.loadPath,
    keys: clusterKeys(settings.keys),
  };
}

/**
 * Handles clients' packets while a balancer starts: they are buffered until it can serve, then
 * opening packets are released as agents report, and after a moment everything else.
 */
import type { Endpoint, Environment, TimerHandle } from '../../environment';
import { Events } from '../../logging/events';
import type { AgentDirectory, AgentEntry } from '../agent-directory';
import { FAST_RETRY_INTERVAL_MS } from '../agent-subscriptions';
import type { FlowPacket, PacketFormat } from '../flow-packet';
import { getServiceNames, type Route, type RoutingTable } from '../routing-table';
import type { StartupRelay } from './startup-relay';
import { StartupBacklog, type GroupFinder, type OpeningGroup } from './startup-backlog';

/**
 * Time from the first moment at which this balancer can serve to the end of its startup. Every
 * known agent is asked for a report each {@link FAST_RETRY_INTERVAL_MS} and replies at once: one
 * that has missed two requests is down, or starts too late to wait for.
 */
const AGENT_REPORT_WAIT_MS = 1.5 * FAST_RETRY_INTERVAL_MS;
/**
 * Time after startup for which packets of relayed flows take the same path: most flows carry one
 * request and are over by then, and the others are searched for once.
 */
const RELAYED_FLOW_TIME_MS = 2_000;
/**
 * Time after its start from which a balancer routes with what it has, ready or not, and accepts
 * that there are no agents.
 */
export const MAXIMUM_BACKLOG_TIME_MS = 3_000;

/** Dependencies of {@link StartupGate}. */
export interface StartupGateDependencies {
  readonly environment: Environment;
  readonly format: PacketFormat;
  readonly directory: AgentDirectory;
  /** Whether opening packets are released as agents report; all at once otherwise. */
  readonly isPaced: boolean;
  /** Whether any flow can be routed or relayed now. */
  canServe(): boolean;
  /** Whether packets are relayed to other balancers, so that no agent needs to report. */
  isRelaying(): boolean;
  getTable(): RoutingTable | undefined;
  findRoute(packet: FlowPacket): Route | undefined;
  /** Selects the balancers that take packets meanwhile; undefined where none does. */
  readonly relay: StartupRelay | undefined;
  /** Number of known balancers, this one included. */
  getClusterSize(): number;
  /** Forwards a packet to the address where another balancer takes clients' packets. */
  forward(to: Endpoint, bytes: Buffer): void;
  /** Routes a packet, or relays it as a balancer with little CPU always does. */
  route(bytes: Buffer): void;
}

/** Startup gate of one balancer process. */
export class StartupGate {
  private readonly backlog = new StartupBacklog();
  private readonly startedAt: number;
  private servingSince: number | undefined;
  private timer: TimerHandle | undefined;
  private bufferedPackets = 0;
  private relayedPackets = 0;
  private hasEnded = false;

  constructor(private readonly dependencies: StartupGateDependencies) {
    this.startedAt = dependencies.environment.now();
  }

  /** Whether packets are no longer buffered. */
  get isOver(): boolean {
    return this.hasEnded;
  }

  /** Number of packets buffered. */
  get kept(): number {
    return this.bufferedPackets;
  }

  /** Number of packets forwarded to other balancers. */
  get relayedOn(): number {
    return this.relayedPackets;
  }

  /** Number of buffered packets that were dropped. */
  get dropped(): number {
    return this.backlog.dropped;
  }

  /**
   * Forwards or buffers a client's datagram; false when it is to be routed at once, as packets of
   * open flows are once any flow can be served.
   */
  handlePacket(bytes: Buffer): boolean {
    const { environment, format, relay } = this.dependencies;
    if (this.hasEnded && !relay?.hasRelayedFlows) {
      return false;
    }
    const packet = format.decodeFromClient(bytes);
    if (!packet) {
      return false;
    }
    const now = environment.now();
    return this.relayPacket(packet, now) || this.bufferPacket(packet, now);
  }

  /** Buffers a packet that no other balancer takes; false when it is to be routed here at once. */
  private bufferPacket(packet: FlowPacket, now: number): boolean {
    const isOfOpenFlow = this.servingSince !== undefined && !packet.opens;
    if (this.hasEnded || isOfOpenFlow) {
      return false;
    }
    this.bufferedPackets++;
    this.backlog.add(packet, now);
    this.processBacklog();
    return true;
  }

  /** Releases what can be served now; to be called whenever more is known. */
  processBacklog(): void {
    if (this.hasEnded) {
      return;
    }
    const { canServe, environment, route } = this.dependencies;
    const now = environment.now();
    this.relayWaiting(now);
    if (!canServe()) {
      if (now - this.startedAt > MAXIMUM_BACKLOG_TIME_MS) {
        this.end(now);
      }
      return;
    }
    if (this.servingSince === undefined) {
      this.servingSince = now;
      this.timer = environment.startTimer(AGENT_REPORT_WAIT_MS, () => this.processBacklog());
    }
    if (this.isReadyToEnd(now)) {
      this.end(now);
      return;
    }
    const openings = this.backlog.takeOpenings(now, this.createGroupFinder(now));
    openings.forEach(({ bytes }) => route(bytes));
  }

  /** Cancels the timer. */
  stop(): void {
    this.timer?.cancel();
  }

  /** Forwards a packet if another balancer takes its flow meanwhile. */
  private relayPacket({ flow, bytes }: FlowPacket, now: number): boolean {
    const { forward, getClusterSize, relay } = this.dependencies;
    const to = this.hasEnded
      ? relay?.findDestination(flow, now)
      : relay?.chooseDestination(flow, getClusterSize(), now);
    if (to === undefined) {
      return false;
    }
    this.relayedPackets++;
    forward(to, bytes);
    return true;
  }

  private relayWaiting(now: number): void {
    const { getClusterSize, relay } = this.dependencies;
    if (!relay?.canRelay(getClusterSize(), now)) {
      return;
    }
    const waiting = this.backlog.takeAll(now, this.createGroupFinder(now));
    waiting.forEach((packet) => this.relayPacket(packet, now));
  }

  private end(now: number): void {
    this.hasEnded = true;
    this.timer?.cancel();
    const { directory, environment, relay, route } = this.dependencies;
    this.timer = environment.startTimer(RELAYED_FLOW_TIME_MS, () => relay?.clear());
    const waiting = this.backlog.takeAll(now, this.createGroupFinder(now));
    waiting.forEach(({ bytes }) => route(bytes));
    environment.report(Events.startupEnded, {
      kept: this.bufferedPackets,
      relayed: this.relayedPackets,
      dropped: this.backlog.dropped,
      last: waiting.length,
      milliseconds: Math.round(now - this.startedAt),
      paced: Math.round(now - (this.servingSince ?? now)),
      heard: Math.round(
        computeHeardShare([...directory.getAll()], directory, now) * directory.size,
      ),
      known: directory.size,
    });
  }

  private isReadyToEnd(now: number): boolean {
    const { directory, isPaced, isRelaying } = this.dependencies;
    const hasTimedOut = now - this.servingSince! >= AGENT_REPORT_WAIT_MS;
    return (
      !isPaced ||
      hasTimedOut ||
      isRelaying() ||
      computeHeardShare([...directory.getAll()], directory, now) === 1
    );
  }

  /** Creates a group finder for the state at this moment. */
  private createGroupFinder(now: number): GroupFinder {
    const groups = new Map<readonly string[], OpeningGroup>();
    return (packet) => {
      const route = this.dependencies.findRoute(packet);
      if (!route) {
        return undefined;
      }
      const services = getServiceNames(route);
      const group = groups.get(services) ?? this.createGroup(services, now);
      groups.set(services, group);
      return group;
    };
  }

  private createGroup(services: readonly string[], now: number): OpeningGroup {
    const { directory, getTable } = this.dependencies;
    const goals = (getTable()?.profiles ?? [])
      .filter(({ service, latencyGoal }) => services.includes(service) && latencyGoal > 0)
      .map(({ latencyGoal }) => latencyGoal);
    return {
      name: services.join(','),
      share: computeHeardShare(directory.findByServices(services), directory, now),
      latencyGoal: goals.length > 0 ? Math.min(...goals) : 0,
    };
  }
}

/** Fraction of some agents that report; 1 when there are none. */
function computeHeardShare(
  agents: readonly AgentEntry[],
  directory: AgentDirectory,
  now: number,
): number {
  const heard = agents.filter((agent) => directory.isHeard(agent, now)).length;
  return agents.length > 0 ? heard / agents.length : 1;
}

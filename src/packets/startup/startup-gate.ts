/**
 * What a balancer that has just started does with clients' packets: they wait until it can serve,
 * then opening packets go out as its agents are heard, and after a moment everything else.
 */
import type { Endpoint, Environment, TimerHandle } from '../../environment';
import { Events } from '../../logging/events';
import type { AgentDirectory, AgentEntry } from '../agent-directory';
import { KNOCK_INTERVAL } from '../agent-subscriptions';
import type { FlowPacket, PacketFormat } from '../flow-packet';
import { servicesOf, type Route, type RoutingTable } from '../routing-table';
import type { StartupRelay } from './startup-relay';
import { StartupBacklog, type GroupFinder, type OpeningGroup } from './startup-backlog';

/**
 * Milliseconds from the first moment at which this balancer can serve to the end of its start. Every
 * agent known is asked for a report each {@link KNOCK_INTERVAL} and answers at once: one that has
 * missed two of these questions is down, or starts so late that nothing should wait for it.
 */
const HEARING_TIME = 1.5 * KNOCK_INTERVAL;
/**
 * Milliseconds after the start for which packets of flows that were handed on go the same way: most
 * flows carry one request and are over by then, and those that go on are searched for once.
 */
const RELAYED_FLOW_TIME = 2_000;
/**
 * Milliseconds after its start from which on a balancer routes with what it has, ready or not,
 * and believes that there are no agents.
 */
export const LONGEST_BACKLOG = 3_000;

/** What the gate works with. */
export interface StartupGateDependencies {
  readonly environment: Environment;
  readonly format: PacketFormat;
  readonly directory: AgentDirectory;
  /** Whether opening packets go out as agents are heard; all at once otherwise. */
  readonly isPaced: boolean;
  /** Whether any flow can be routed or relayed now. */
  canServe(): boolean;
  /** Whether packets are relayed to other balancers, so that no agent need be heard. */
  isRelaying(): boolean;
  table(): RoutingTable | undefined;
  routeOf(packet: FlowPacket): Route | undefined;
  /** Knows who takes packets meanwhile; undefined where nobody does. */
  readonly relay: StartupRelay | undefined;
  /** Balancers known, this one included. */
  clusterSize(): number;
  /** Hands a packet on to where another balancer takes clients' packets. */
  handOn(to: Endpoint, bytes: Buffer): void;
  /** Routes a packet, or relays it as a weak balancer does at all times. */
  route(bytes: Buffer): void;
}

/** The gate of one balancer, for one life of it. */
export class StartupGate {
  private readonly backlog = new StartupBacklog();
  private readonly startedAt: number;
  private servesSince: number | undefined;
  private timer: TimerHandle | undefined;
  private keptPackets = 0;
  private relayedPackets = 0;
  private isOver = false;

  constructor(private readonly dependencies: StartupGateDependencies) {
    this.startedAt = dependencies.environment.now();
  }

  /** Packets that have waited here. */
  get kept(): number {
    return this.keptPackets;
  }

  /** Packets that were handed on to other balancers. */
  get relayedOn(): number {
    return this.relayedPackets;
  }

  /** Packets that have waited here in vain. */
  get dropped(): number {
    return this.backlog.dropped;
  }

  /**
   * Keeps a client's datagram until it is its turn; false when it is to be routed at once, as packets
   * of open flows are from the moment on at which any flow can be served.
   */
  keep(bytes: Buffer): boolean {
    const { environment, format, relay } = this.dependencies;
    if (this.isOver && !relay?.hasFlows) {
      return false;
    }
    const packet = format.decodeFromClient(bytes);
    if (!packet) {
      return false;
    }
    const now = environment.now();
    return this.relayed(packet, now) || this.keepPacket(packet, now);
  }

  /** Keeps a packet that nobody else takes; false when it is to be routed here at once. */
  private keepPacket(packet: FlowPacket, now: number): boolean {
    const isOfOpenFlow = this.servesSince !== undefined && !packet.opens;
    if (this.isOver || isOfOpenFlow) {
      return false;
    }
    this.keptPackets++;
    this.backlog.add(packet, now);
    this.run();
    return true;
  }

  /** Lets through what can go now; to be called whenever more is known. */
  run(): void {
    if (this.isOver) {
      return;
    }
    const { canServe, environment, route } = this.dependencies;
    const now = environment.now();
    this.relayWaiting(now);
    if (!canServe()) {
      if (now - this.startedAt > LONGEST_BACKLOG) {
        this.end(now);
      }
      return;
    }
    if (this.servesSince === undefined) {
      this.servesSince = now;
      this.timer = environment.startTimer(HEARING_TIME, () => this.run());
    }
    if (this.hasHeardEnough(now)) {
      this.end(now);
      return;
    }
    const openings = this.backlog.takeOpenings(now, this.createGroupFinder(now));
    openings.forEach(({ bytes }) => route(bytes));
  }

  /** Ends the timer. */
  stop(): void {
    this.timer?.cancel();
  }

  /** Hands a packet on if another balancer takes its flow meanwhile. */
  private relayed({ flow, bytes }: FlowPacket, now: number): boolean {
    const { clusterSize, handOn, relay } = this.dependencies;
    const to = this.isOver ? relay?.find(flow, now) : relay?.choose(flow, clusterSize(), now);
    if (to === undefined) {
      return false;
    }
    this.relayedPackets++;
    handOn(to, bytes);
    return true;
  }

  private relayWaiting(now: number): void {
    const { clusterSize, relay } = this.dependencies;
    if (!relay?.isPossible(clusterSize(), now)) {
      return;
    }
    const waiting = this.backlog.takeAll(now, this.createGroupFinder(now));
    waiting.forEach((packet) => this.relayed(packet, now));
  }

  private end(now: number): void {
    this.isOver = true;
    this.timer?.cancel();
    const { directory, environment, relay, route } = this.dependencies;
    this.timer = environment.startTimer(RELAYED_FLOW_TIME, () => relay?.clear());
    const waiting = this.backlog.takeAll(now, this.createGroupFinder(now));
    waiting.forEach(({ bytes }) => route(bytes));
    environment.report(Events.startupEnded, {
      kept: this.keptPackets,
      relayed: this.relayedPackets,
      dropped: this.backlog.dropped,
      last: waiting.length,
      milliseconds: Math.round(now - this.startedAt),
      paced: Math.round(now - (this.servesSince ?? now)),
      heard: Math.round(shareHeard([...directory.all()], directory, now) * directory.size),
      known: directory.size,
    });
  }

  private hasHeardEnough(now: number): boolean {
    const { directory, isPaced, isRelaying } = this.dependencies;
    const isLate = now - this.servesSince! >= HEARING_TIME;
    return (
      !isPaced || isLate || isRelaying() || shareHeard([...directory.all()], directory, now) === 1
    );
  }

  /** Finds groups by what is known at this moment. */
  private createGroupFinder(now: number): GroupFinder {
    const groups = new Map<readonly string[], OpeningGroup>();
    return (packet) => {
      const route = this.dependencies.routeOf(packet);
      if (!route) {
        return undefined;
      }
      const services = servicesOf(route);
      const group = groups.get(services) ?? this.createGroup(services, now);
      groups.set(services, group);
      return group;
    };
  }

  private createGroup(services: readonly string[], now: number): OpeningGroup {
    const { directory, table } = this.dependencies;
    const goals = (table()?.profiles ?? [])
      .filter(({ service, latencyGoal }) => services.includes(service) && latencyGoal > 0)
      .map(({ latencyGoal }) => latencyGoal);
    return {
      name: services.join(','),
      share: shareHeard(directory.ofServices(services), directory, now),
      latencyGoal: goals.length > 0 ? Math.min(...goals) : 0,
    };
  }
}

/** Part of some agents that are heard; 1 when there are none. */
function shareHeard(agents: readonly AgentEntry[], directory: AgentDirectory, now: number): number {
  const heard = agents.filter((agent) => directory.isHeard(agent, now)).length;
  return agents.length > 0 ? heard / agents.length : 1;
}

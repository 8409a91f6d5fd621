/**
 * Judges what clients and targets of the packet interface see, as it happens. It knows
 * nothing of how they run: the simulation and the soak of real processes share it.
 */
import type { Endpoint } from '../../environment';
import type { FlowKey } from '../../packets/flow-packet';

const MINIMUM_STRAY_PACKETS = 3;
const MINIMUM_STRAY_TIME_MS = 2_000;
const FAULT_GRACE_MS = 4_000;
/** Milliseconds after its acknowledgement in which a configuration must be in force. */
const APPLY_TIME_MS = 3_000;
/** Milliseconds after an acknowledged drain in which openings may still arrive. */
const DRAIN_TIME_MS = 3_000;

/** Promises that a run has seen broken. */
export interface InvariantViolations {
  /** A client's open flow was reset while its target held it. */
  flowsReset: string[];
  /** For two seconds only other targets got the packets of a flow whose target held it. */
  strayed: string[];
  /** A request ran more than once. */
  doubled: string[];
  /** A request ran at a service that its route does not name. */
  misrouted: string[];
  /** A client got an answer that belongs to another request. */
  mixed: string[];
  /** A target got an opening packet long after its drain was acknowledged. */
  drained: string[];
  /** A flow was opened as only a configuration allows that was replaced long before. */
  outdated: string[];
}

/** What the judge asks of the time. */
export interface CheckerClock {
  /** Milliseconds, steady. */
  readonly now: number;
}

/** One start of a target, as the judge sees it. */
export interface ObservedTarget {
  readonly incarnation: string;
  readonly service: string;
}

/** A client with its flow, as the judge sees it. */
export interface ObservedClient {
  readonly state: string;
  readonly plan: { readonly client: Endpoint; readonly destination: Endpoint };
}

/** The target that holds a flow, and the processes that its packets pass. */
export interface FlowHolder {
  readonly target: ObservedTarget;
  /** Names of the agent and of every balancer. */
  readonly processes: readonly string[];
}

/** Services by destination. */
export type ObservedRoutes = ReadonlyMap<Endpoint, readonly string[]>;

interface ObservedConfiguration {
  readonly since: number;
  readonly routes: ObservedRoutes;
}

/** The judge of one world. */
export class PacketInvariantChecker {
  readonly violations: InvariantViolations = {
    flowsReset: [],
    strayed: [],
    doubled: [],
    misrouted: [],
    mixed: [],
    drained: [],
    outdated: [],
  };
  private readonly servicesOf = new Map<Endpoint, Set<string>>();
  private readonly configurations: ObservedConfiguration[] = [];
  private readonly lastFaultAt = new Map<string, number>();
  private readonly lastRestartAt = new Map<string, number>();
  private readonly strays = new Map<FlowKey, number[]>();
  private readonly drainingSince = new Map<string, number>();
  /** Incarnation at which each request ran. */
  private readonly ranAt = new Map<string, string>();

  constructor(private readonly clock: CheckerClock) {}

  /** A configuration was acknowledged; its routes replace those before. */
  recordConfiguration(routes: ObservedRoutes): void {
    this.configurations.push({ since: this.clock.now, routes });
    routes.forEach((services, destination) => {
      const known = this.servicesOf.get(destination) ?? new Set<string>();
      services.forEach((service) => known.add(service));
      this.servicesOf.set(destination, known);
    });
  }

  /** An unplanned fault begins or ends at a process. */
  recordFault(name: string): void {
    this.lastFaultAt.set(name, this.clock.now);
  }

  /** A process is restarted as planned: that excuses late openings, but no harm to a flow. */
  recordRestart(name: string): void {
    this.lastRestartAt.set(name, this.clock.now);
  }

  /** A target's announcement that it drains was acknowledged. */
  recordDrainAcknowledged(target: ObservedTarget): void {
    this.drainingSince.set(target.incarnation, this.clock.now);
  }

  /** An opening packet reaches a target through its agent. */
  checkOpening(target: ObservedTarget, agent: string): void {
    const since = this.drainingSince.get(target.incarnation) ?? Infinity;
    const late = this.clock.now - since;
    const isUndisturbed = !this.hasRecentFault([agent]) && !this.hasRecentRestart(agent);
    if (late > DRAIN_TIME_MS && isUndisturbed) {
      this.violations.drained.push(`${target.incarnation} after ${Math.round(late)} ms`);
    }
  }

  /** A packet of an open flow reaches a target. */
  checkPacket(target: ObservedTarget, flow: FlowKey, holder: FlowHolder | undefined): void {
    if (
      !holder ||
      holder.target.incarnation === target.incarnation ||
      this.hasRecentFault(holder.processes)
    ) {
      this.strays.delete(flow);
      return;
    }
    const times = [...(this.strays.get(flow) ?? []), this.clock.now];
    this.strays.set(flow, times);
    const elapsed = this.clock.now - times[0]!;
    if (times.length >= MINIMUM_STRAY_PACKETS && elapsed >= MINIMUM_STRAY_TIME_MS) {
      this.violations.strayed.push(`${times.length} packets in ${Math.round(elapsed)} ms`);
      this.strays.delete(flow);
    }
  }

  /** A target begins to run a client's request. */
  checkRequest(target: ObservedTarget, request: string, client: ObservedClient | undefined): void {
    const before = this.ranAt.get(request);
    if (before !== undefined) {
      this.violations.doubled.push(`${request} at ${before} and ${target.incarnation}`);
    }
    this.ranAt.set(request, target.incarnation);
    const allowed = client ? this.servicesOf.get(client.plan.destination) : undefined;
    if (!allowed?.has(target.service)) {
      this.violations.misrouted.push(`${request} at ${target.service}`);
    }
  }

  /**
   * A flow whose opening packet was first sent at a time has opened.
   * @param processes the agent and every balancer that may have passed the packet
   */
  checkOpenedFlow(
    destination: Endpoint,
    service: string,
    sentAt: number,
    processes: readonly string[],
  ): void {
    const allowed = this.listActiveSince(sentAt - APPLY_TIME_MS).some(({ routes }) =>
      routes.get(destination)?.includes(service),
    );
    if (!allowed && !this.hasRecentFault(processes)) {
      this.violations.outdated.push(`${destination} opened at ${service}, ${Math.round(sentAt)}`);
    }
  }

  /** A client got an answer to a request of its own, or of somebody else. */
  checkAnswer(request: string, answered: string): void {
    if (request !== answered) {
      this.violations.mixed.push(`${request} was answered with ${answered}`);
    }
  }

  /** A client is told that its flow is dead. */
  checkReset(client: ObservedClient, isHeld: boolean, processes: readonly string[] = []): void {
    const { destination } = client.plan;
    const wasDropped = this.listActiveSince(this.clock.now - APPLY_TIME_MS).some(
      ({ routes }) => !routes.has(destination),
    );
    if (client.state === 'open' && isHeld && !wasDropped && !this.hasRecentFault(processes)) {
      this.violations.flowsReset.push(`${client.plan.client} at ${Math.round(this.clock.now)}`);
    }
  }

  /** The configurations that were in force at some time since then. */
  private listActiveSince(time: number): readonly ObservedConfiguration[] {
    const firstLater = this.configurations.findIndex(({ since }) => since > time);
    return firstLater < 0
      ? this.configurations.slice(-1)
      : this.configurations.slice(Math.max(0, firstLater - 1));
  }

  private hasRecentRestart(name: string): boolean {
    const recent = this.clock.now - FAULT_GRACE_MS;
    return (this.lastRestartAt.get(name) ?? -Infinity) > recent;
  }

  /** Unplanned faults excuse strays and resets for a while; planned work does not. */
  private hasRecentFault(processes: readonly string[]): boolean {
    const recent = this.clock.now - FAULT_GRACE_MS;
    return processes.some((name) => (this.lastFaultAt.get(name) ?? -Infinity) > recent);
  }
}

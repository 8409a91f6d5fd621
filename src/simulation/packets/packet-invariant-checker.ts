/**
 * Checks invariants on what clients and targets of the packet interface observe, as it
 * happens. Independent of how they run: shared by the simulation and the soak of processes.
 */
import type { Endpoint } from '../../environment';
import type { FlowKey } from '../../packets/flow-packet';

const MINIMUM_STRAY_PACKETS = 3;
const MINIMUM_STRAY_TIME_MS = 2_000;
const FAULT_GRACE_MS = 4_000;
/** A configuration must be active within this time after its acknowledgement. */
const APPLY_TIME_MS = 3_000;
/** Opening packets may still arrive for this long after an acknowledged drain. */
const DRAIN_TIME_MS = 3_000;

/** Violations found in a run, by invariant. */
export interface InvariantViolations {
  /** A client's open flow was reset while its target held it. */
  flowsReset: string[];
  /** For two seconds, packets of a flow reached only targets other than its holder. */
  strayed: string[];
  /** A request ran more than once. */
  doubled: string[];
  /** A request ran at a service that is not in its route. */
  misrouted: string[];
  /** A client received the answer to another request. */
  mixed: string[];
  /** A target received an opening packet too long after its drain was acknowledged. */
  drained: string[];
  /** A flow was opened by a route of a configuration replaced too long ago. */
  outdated: string[];
}

/** Clock of the checker. */
export interface CheckerClock {
  /** Monotonic time in milliseconds. */
  readonly now: number;
}

/** One incarnation of a target, as observed by the checker. */
export interface ObservedTarget {
  readonly incarnation: string;
  readonly service: string;
}

/** A client with its flow, as observed by the checker. */
export interface ObservedClient {
  readonly state: string;
  readonly plan: { readonly client: Endpoint; readonly destination: Endpoint };
}

/** The target that holds a flow, and the processes on the path of its packets. */
export interface FlowHolder {
  readonly target: ObservedTarget;
  /** Names of the agent and of every balancer. */
  readonly processes: readonly string[];
}

/** Service names by destination. */
export type ObservedRoutes = ReadonlyMap<Endpoint, readonly string[]>;

interface ObservedConfiguration {
  readonly since: number;
  readonly routes: ObservedRoutes;
}

/** Invariant checker of one run. */
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

  /** Records an acknowledged configuration; its routes replace the previous ones. */
  recordConfiguration(routes: ObservedRoutes): void {
    this.configurations.push({ since: this.clock.now, routes });
    routes.forEach((services, destination) => {
      const known = this.servicesOf.get(destination) ?? new Set<string>();
      services.forEach((service) => known.add(service));
      this.servicesOf.set(destination, known);
    });
  }

  /** Records the start or end of an unplanned fault of a process. */
  recordFault(name: string): void {
    this.lastFaultAt.set(name, this.clock.now);
  }

  /** Records a planned restart: it excuses late openings, but no violation on an open flow. */
  recordRestart(name: string): void {
    this.lastRestartAt.set(name, this.clock.now);
  }

  /** Records that a target's drain was acknowledged. */
  recordDrainAcknowledged(target: ObservedTarget): void {
    this.drainingSince.set(target.incarnation, this.clock.now);
  }

  /** Checks an opening packet that reached a target through its agent. */
  checkOpening(target: ObservedTarget, agent: string): void {
    const since = this.drainingSince.get(target.incarnation) ?? Infinity;
    const late = this.clock.now - since;
    const isUndisturbed = !this.hasRecentFault([agent]) && !this.hasRecentRestart(agent);
    if (late > DRAIN_TIME_MS && isUndisturbed) {
      this.violations.drained.push(`${target.incarnation} after ${Math.round(late)} ms`);
    }
  }

  /** Checks that packets of an open flow reach its holder. */
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

  /** Checks a request that a target starts to run. */
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
   * Checks a flow that has opened; `sentAt` is the time of its first opening packet.
   * @param processes the agent and every balancer that may have forwarded the packet
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

  /** Checks that an answer belongs to the client's request. */
  checkAnswer(request: string, answered: string): void {
    if (request !== answered) {
      this.violations.mixed.push(`${request} was answered with ${answered}`);
    }
  }

  /** Checks a reset that a client received. */
  checkReset(client: ObservedClient, isHeld: boolean, processes: readonly string[] = []): void {
    const { destination } = client.plan;
    const wasDropped = this.listActiveSince(this.clock.now - APPLY_TIME_MS).some(
      ({ routes }) => !routes.has(destination),
    );
    if (client.state === 'open' && isHeld && !wasDropped && !this.hasRecentFault(processes)) {
      this.violations.flowsReset.push(`${client.plan.client} at ${Math.round(this.clock.now)}`);
    }
  }

  /** Lists the configurations that were active at any time since `time`. */
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

  /** Unplanned faults excuse misdirected packets and resets for a while; restarts do not. */
  private hasRecentFault(processes: readonly string[]): boolean {
    const recent = this.clock.now - FAULT_GRACE_MS;
    return processes.some((name) => (this.lastFaultAt.get(name) ?? -Infinity) > recent);
  }
}

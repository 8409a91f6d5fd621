/**
 * Judges what clients and targets of the packet interface see, as it happens. It knows
 * nothing of how they run: the simulation and the soak of real processes share it.
 */
import type { Endpoint } from '../../environment';
import type { FlowKey } from '../../packets/flow-packet';

const STRAYS_ALLOWED = 3;
const STRAY_TIME = 2_000;
const CONTACT_TIME = 4_000;
/** Milliseconds after its acknowledgement in which a configuration must be in force. */
const APPLY_TIME = 3_000;
/** Milliseconds after an acknowledged drain in which openings may still arrive. */
const DRAIN_TIME = 3_000;

/** Promises that a run has seen broken. */
export interface WorldViolations {
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
export interface JudgeClock {
  /** Milliseconds, steady. */
  readonly now: number;
}

/** One start of a target, as the judge sees it. */
export interface JudgedTarget {
  readonly incarnation: string;
  readonly service: string;
}

/** A client with its flow, as the judge sees it. */
export interface JudgedClient {
  readonly state: string;
  readonly plan: { readonly client: Endpoint; readonly destination: Endpoint };
}

/** The target that holds a flow, and the processes that its packets pass. */
export interface FlowHolder {
  readonly target: JudgedTarget;
  /** Names of the agent and of every balancer. */
  readonly processes: readonly string[];
}

/** Services by destination. */
export type JudgedRoutes = ReadonlyMap<Endpoint, readonly string[]>;

interface JudgedConfiguration {
  readonly since: number;
  readonly routes: JudgedRoutes;
}

/** The judge of one world. */
export class WorldJudge {
  readonly violations: WorldViolations = {
    flowsReset: [],
    strayed: [],
    doubled: [],
    misrouted: [],
    mixed: [],
    drained: [],
    outdated: [],
  };
  private readonly servicesOf = new Map<Endpoint, Set<string>>();
  private readonly configurations: JudgedConfiguration[] = [];
  private readonly disturbedAt = new Map<string, number>();
  private readonly restartedAt = new Map<string, number>();
  private readonly strays = new Map<FlowKey, number[]>();
  private readonly drainingSince = new Map<string, number>();
  /** Incarnation at which each request ran. */
  private readonly ran = new Map<string, string>();

  constructor(private readonly clock: JudgeClock) {}

  /** A configuration was acknowledged; its routes replace those before. */
  configured(routes: JudgedRoutes): void {
    this.configurations.push({ since: this.clock.now, routes });
    routes.forEach((services, destination) => {
      const known = this.servicesOf.get(destination) ?? new Set<string>();
      services.forEach((service) => known.add(service));
      this.servicesOf.set(destination, known);
    });
  }

  /** An unplanned fault begins or ends at a process. */
  noteFault(name: string): void {
    this.disturbedAt.set(name, this.clock.now);
  }

  /** A process is restarted as planned: that excuses late openings, but no harm to a flow. */
  noteRestart(name: string): void {
    this.restartedAt.set(name, this.clock.now);
  }

  /** A target's announcement that it drains was acknowledged. */
  drainAcknowledged(target: JudgedTarget): void {
    this.drainingSince.set(target.incarnation, this.clock.now);
  }

  /** An opening packet reaches a target through its agent. */
  openingReached(target: JudgedTarget, agent: string): void {
    const since = this.drainingSince.get(target.incarnation) ?? Infinity;
    const late = this.clock.now - since;
    const inTouch = !this.isOutOfTouch([agent]) && !this.wasRestarted(agent);
    if (late > DRAIN_TIME && inTouch) {
      this.violations.drained.push(`${target.incarnation} after ${Math.round(late)} ms`);
    }
  }

  /** A packet of an open flow reaches a target. */
  packetReached(target: JudgedTarget, flow: FlowKey, holder: FlowHolder | undefined): void {
    if (
      !holder ||
      holder.target.incarnation === target.incarnation ||
      this.isOutOfTouch(holder.processes)
    ) {
      this.strays.delete(flow);
      return;
    }
    const times = [...(this.strays.get(flow) ?? []), this.clock.now];
    this.strays.set(flow, times);
    const lasted = this.clock.now - times[0]!;
    if (times.length >= STRAYS_ALLOWED && lasted >= STRAY_TIME) {
      this.violations.strayed.push(`${times.length} packets in ${Math.round(lasted)} ms`);
      this.strays.delete(flow);
    }
  }

  /** A target begins to run a client's request. */
  requestRan(target: JudgedTarget, request: string, client: JudgedClient | undefined): void {
    const before = this.ran.get(request);
    if (before !== undefined) {
      this.violations.doubled.push(`${request} at ${before} and ${target.incarnation}`);
    }
    this.ran.set(request, target.incarnation);
    const allowed = client ? this.servicesOf.get(client.plan.destination) : undefined;
    if (!allowed?.has(target.service)) {
      this.violations.misrouted.push(`${request} at ${target.service}`);
    }
  }

  /**
   * A flow whose opening packet was first sent at a time has opened.
   * @param processes the agent and every balancer that may have passed the packet
   */
  flowOpened(
    destination: Endpoint,
    service: string,
    sentAt: number,
    processes: readonly string[],
  ): void {
    const allowed = this.inForceSince(sentAt - APPLY_TIME).some(({ routes }) =>
      routes.get(destination)?.includes(service),
    );
    if (!allowed && !this.isOutOfTouch(processes)) {
      this.violations.outdated.push(`${destination} opened at ${service}, ${Math.round(sentAt)}`);
    }
  }

  /** A client got an answer to a request of its own, or of somebody else. */
  answerCame(request: string, answered: string): void {
    if (request !== answered) {
      this.violations.mixed.push(`${request} was answered with ${answered}`);
    }
  }

  /** A client is told that its flow is dead. */
  clientReset(client: JudgedClient, isHeld: boolean, processes: readonly string[] = []): void {
    const { destination } = client.plan;
    const wasDropped = this.inForceSince(this.clock.now - APPLY_TIME).some(
      ({ routes }) => !routes.has(destination),
    );
    if (client.state === 'open' && isHeld && !wasDropped && !this.isOutOfTouch(processes)) {
      this.violations.flowsReset.push(`${client.plan.client} at ${Math.round(this.clock.now)}`);
    }
  }

  /** The configurations that were in force at some time since then. */
  private inForceSince(time: number): readonly JudgedConfiguration[] {
    const firstLater = this.configurations.findIndex(({ since }) => since > time);
    return firstLater < 0
      ? this.configurations.slice(-1)
      : this.configurations.slice(Math.max(0, firstLater - 1));
  }

  private wasRestarted(name: string): boolean {
    const recent = this.clock.now - CONTACT_TIME;
    return (this.restartedAt.get(name) ?? -Infinity) > recent;
  }

  /** Unplanned faults excuse strays and resets for a while; planned work does not. */
  private isOutOfTouch(processes: readonly string[]): boolean {
    const recent = this.clock.now - CONTACT_TIME;
    return processes.some((name) => (this.disturbedAt.get(name) ?? -Infinity) > recent);
  }
}

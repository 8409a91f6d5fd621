/** Judges what clients and targets of a packet world see, as it happens. */
import type { Endpoint } from '../../environment';
import type { FlowKey } from '../../packets/flow-packet';
import type { VirtualClock } from '../virtual-clock';
import type { ModelClient } from './model-client';
import type { ModelTarget } from './model-target';

const STRAYS_ALLOWED = 3;
const STRAY_TIME = 2_000;
const CONTACT_TIME = 4_000;

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
}

/** The target that holds a flow, and the processes that its packets pass. */
export interface FlowHolder {
  readonly target: ModelTarget;
  /** Names of the agent and of every balancer. */
  readonly processes: readonly string[];
}

/** The judge of one world. */
export class WorldJudge {
  readonly violations: WorldViolations = {
    flowsReset: [],
    strayed: [],
    doubled: [],
    misrouted: [],
  };
  private readonly servicesOf = new Map<Endpoint, readonly string[]>();
  private readonly disturbedAt = new Map<string, number>();
  private readonly strays = new Map<FlowKey, number[]>();
  /** Incarnation at which each request ran. */
  private readonly ran = new Map<string, string>();

  constructor(private readonly clock: VirtualClock) {}

  /** A configuration lets requests for a destination run at these services. */
  allow(destination: Endpoint, services: readonly string[]): void {
    this.servicesOf.set(destination, services);
  }

  /** An unplanned fault begins or ends at a process. */
  noteFault(name: string): void {
    this.disturbedAt.set(name, this.clock.now);
  }

  /** A packet of an open flow reaches a target. */
  packetReached(target: ModelTarget, flow: FlowKey, holder: FlowHolder | undefined): void {
    if (!holder || holder.target === target || this.isOutOfTouch(holder)) {
      this.strays.delete(flow);
      return;
    }
    const times = [...(this.strays.get(flow) ?? []), this.clock.now];
    this.strays.set(flow, times);
    const lasted = this.clock.now - times[0]!;
    if (times.length >= STRAYS_ALLOWED && lasted >= STRAY_TIME) {
      this.violations.strayed.push(`${times.length} packets in ${lasted} ms`);
      this.strays.delete(flow);
    }
  }

  /** A target begins to run a client's request. */
  requestRan(target: ModelTarget, request: string, client: ModelClient | undefined): void {
    const before = this.ran.get(request);
    if (before !== undefined) {
      this.violations.doubled.push(`${request} at ${before} and ${target.incarnation}`);
    }
    this.ran.set(request, target.incarnation);
    const allowed = client ? this.servicesOf.get(client.plan.destination) : undefined;
    if (!allowed?.includes(target.service)) {
      this.violations.misrouted.push(`${request} at ${target.service}`);
    }
  }

  /** A client is told that its flow is dead. */
  clientReset(client: ModelClient, isHeld: boolean): void {
    if (client.state === 'open' && isHeld) {
      this.violations.flowsReset.push(`${client.plan.client} at ${this.clock.now}`);
    }
  }

  /** Unplanned faults excuse strays for a while; planned work does not. */
  private isOutOfTouch({ processes }: FlowHolder): boolean {
    const recent = this.clock.now - CONTACT_TIME;
    return processes.some((name) => (this.disturbedAt.get(name) ?? -Infinity) > recent);
  }
}

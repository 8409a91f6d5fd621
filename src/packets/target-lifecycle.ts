/**
 * State of an agent's target, derived from the target's heartbeats.
 *
 * A target may restart under the same name: name and start time together identify an incarnation, and
 * the heartbeats of one do not apply to another. Heartbeats may be delayed and reordered. Within
 * one incarnation the sequence number shows which is newer; of two with the same name, the one that
 * started later is newer. Different names have no order, so the agent uses time: a successor cannot
 * have been sending heartbeats while those of the current incarnation arrived. One that claims so is
 * only a candidate until another of its heartbeats arrives while the current incarnation is
 * unresponsive. So is one with an earlier start time, since the system clock may have been set back.
 */
import { TargetState, type TargetStateValue } from './packet-messages';
import {
  createIncarnationKey,
  hasStartedBefore,
  isSameIncarnation,
  type TargetIncarnation,
} from './target-incarnation';

/** Replaced and ended incarnations remembered, each; an ended one never returns. */
const MAXIMUM_REMEMBERED_INCARNATIONS = 64;
/**
 * Minimum time between two heartbeats of a running candidate, as a share of the heartbeat interval:
 * heartbeats that were delayed together arrive together.
 */
const CANDIDATE_SPACING_SHARE = 0.5;

/**
 * Maximum age of a target at its first heartbeat here, as a share of the heartbeat interval: another
 * agent that was running at the target's start would have received that heartbeat.
 */
const FIRST_HEARTBEAT_SHARE = 0.9;
/**
 * Maximum time by which an agent may start after its target and still be its first agent, as when a
 * machine starts both. An earlier agent would have to start, end and be replaced within that time;
 * the replacement of a killed process alone takes 500 to 850 ms.
 */
const MAXIMUM_START_GAP_MS = 300;
/**
 * Maximum heartbeats that a target sends in a starting cluster until one is accepted. A target that
 * has sent more was running before and is cold for another reason than its start.
 */
const MAXIMUM_STARTUP_HEARTBEATS = 10;

/** One heartbeat of a target. */
export interface TargetHeartbeat extends TargetIncarnation {
  readonly service: string;
  readonly slots: number;
  readonly draining: boolean;
  /** Remaining milliseconds for which the target is slow after its start. */
  readonly coldLeft: number;
  /** Increases with each heartbeat of an incarnation, from 1. */
  readonly sequence: number;
}

/** The first heartbeat of an incarnation. */
interface FirstHeartbeat extends TargetHeartbeat {
  /** Time of arrival. */
  readonly at: number;
}

/** What a heartbeat changed. */
export type LifecycleChange = 'none' | 'state' | 'incarnation';

/** Incarnation that may have replaced the current one, or whose heartbeats are only late. */
interface CandidateIncarnation {
  readonly incarnationKey: string;
  readonly service: string;
  readonly sequence: number;
  readonly firstHeardAt: number;
}

/** Lifecycle of one agent's target. */
export class TargetLifecycle {
  private current: TargetHeartbeat | undefined;
  private heardAt = -Infinity;
  /** Start of the current incarnation, by its first heartbeat here. */
  private startedAt = -Infinity;
  private candidate: CandidateIncarnation | undefined;
  /** The latest incarnation that has announced its shutdown, until a later one has started. */
  private deregisteredIncarnation: TargetIncarnation | undefined;
  private coldUntil = 0;
  /** The target may be cold until its next heartbeat reports its age. */
  private isAgeUnknown = true;
  /** Whether this agent was running when the current incarnation started. */
  private wasPresentAtStart = false;
  private firstHeartbeat: FirstHeartbeat | undefined;
  /** Milliseconds for which a target of this service is slow after its start, if known. */
  private coldTime: number | undefined;
  /** Incarnations, by {@link createIncarnationKey}, that were this agent's target before. */
  private readonly replacedIncarnations = new Set<string>();
  private readonly endedIncarnations = new Set<string>();

  /**
   * @param configuredService service in the agent's settings
   * @param heartbeatInterval milliseconds between two heartbeats of a target
   * @param agentStartedAt start time of this incarnation of the agent
   * @param agentBorn the same in Unix milliseconds; start times are not compared when undefined
   */
  constructor(
    private readonly configuredService: string,
    private readonly heartbeatInterval: number,
    private readonly agentStartedAt: number,
    private readonly agentBorn?: number,
  ) {}

  get service(): string {
    return this.current?.service ?? this.configuredService;
  }

  get incarnation(): string | undefined {
    return this.current?.incarnation;
  }

  get born(): number | undefined {
    return this.current?.born;
  }

  get slots(): number {
    return this.current?.slots ?? 0;
  }

  /** The incarnation that has announced its shutdown and may still serve; undefined if none has. */
  get deregistered(): TargetIncarnation | undefined {
    return this.deregisteredIncarnation;
  }

  get state(): TargetStateValue {
    if (this.deregisteredIncarnation) {
      return TargetState.gone;
    }
    if (!this.current) {
      return TargetState.unknown;
    }
    return this.current.draining ? TargetState.draining : TargetState.ready;
  }

  /**
   * Whether a heartbeat of another service arrived after the latest of the current incarnation: until
   * another heartbeat of either arrives, it is unknown which service the target belongs to.
   */
  get isServiceDisputed(): boolean {
    return this.candidate !== undefined && this.candidate.service !== this.service;
  }

  /** Remaining milliseconds for which the target is slow. */
  coldLeft(now: number): number {
    return Math.max(0, Math.round(this.coldUntil - now));
  }

  /**
   * Whether this agent process covers the whole lifetime of the target, so that it has seen all of
   * its flows open. Both the target's age, derived from its remaining cold time, and its start time
   * must show that no other agent ran between the target's start and this agent's. The arrival of a
   * first heartbeat does not show it, since an earlier agent may have forwarded flows before any
   * heartbeat; nor does the age alone, which is that of the heartbeat's sending, as it may be late.
   */
  get isKnownFromStart(): boolean {
    const { coldTime, firstHeartbeat } = this;
    if (this.wasPresentAtStart || coldTime === undefined || firstHeartbeat === undefined) {
      return this.wasPresentAtStart;
    }
    const { at, born, coldLeft, sequence } = firstHeartbeat;
    const age = coldTime - coldLeft;
    const isYoung = age < this.heartbeatInterval * FIRST_HEARTBEAT_SHARE;
    const isFirstAgent = age - (at - this.agentStartedAt) <= MAXIMUM_START_GAP_MS;
    const isStartup = isFirstAgent && this.hasStartedWith(born);
    return isYoung && isStartup && sequence <= MAXIMUM_STARTUP_HEARTBEATS;
  }

  /** Whether this agent has started with a target or before it, by the machine's clock. */
  private hasStartedWith(born: number | undefined): boolean {
    if (this.agentBorn === undefined) {
      return true;
    }
    return born !== undefined && this.agentBorn - born <= MAXIMUM_START_GAP_MS;
  }

  /** Sets the milliseconds for which targets of this service are slow after a start; 0 if unknown. */
  setColdTime(coldTime: number | undefined): void {
    this.coldTime = coldTime === 0 ? undefined : coldTime;
  }

  /** Whether the target is slow, or may be since no heartbeat has reported its age. */
  mayBeCold(now: number): boolean {
    return this.isAgeUnknown || this.coldUntil > now;
  }

  /** Whether the target's current incarnation has started since a time. */
  hasStartedSince(time: number): boolean {
    return this.startedAt >= time;
  }

  /** Treats the target as possibly cold until its next heartbeat. */
  forgetAge(): void {
    this.isAgeUnknown = true;
  }

  /** Applies a heartbeat; an outdated one changes nothing. */
  applyHeartbeat(heartbeat: TargetHeartbeat, now: number): LifecycleChange {
    if (this.endedIncarnations.has(createIncarnationKey(heartbeat))) {
      return 'none';
    }
    if (this.current !== undefined && isSameIncarnation(this.current, heartbeat)) {
      return this.updateCurrent(this.current, heartbeat, now);
    }
    const isSuccessor = this.isSuccessor(heartbeat, now);
    if (isSuccessor || this.isConfirmedCandidate(heartbeat, now)) {
      this.wasPresentAtStart = isSuccessor && this.current !== undefined;
      this.firstHeartbeat = isSuccessor ? { ...heartbeat, at: now } : undefined;
      return this.replaceCurrent(heartbeat, now);
    }
    this.recordCandidate(heartbeat, now);
    return 'none';
  }

  /** Applies the announcement of an incarnation that it shuts down for good. */
  applyDeregistration({ incarnation: name, born }: TargetIncarnation): LifecycleChange {
    const incarnation = { incarnation: name, born };
    const { current } = this;
    const isCurrent = current !== undefined && isSameIncarnation(current, incarnation);
    const key = createIncarnationKey(isCurrent ? current : incarnation);
    addBounded(this.endedIncarnations, key);
    if (this.candidate?.incarnationKey === key) {
      this.candidate = undefined;
    }
    if (current !== undefined && !isCurrent) {
      return 'none';
    }
    const before = this.state;
    this.deregisteredIncarnation = isCurrent
      ? { incarnation: current.incarnation, born: current.born }
      : incarnation;
    return before === TargetState.gone ? 'none' : 'state';
  }

  private updateCurrent(
    current: TargetHeartbeat,
    heartbeat: TargetHeartbeat,
    now: number,
  ): LifecycleChange {
    if (heartbeat.sequence <= current.sequence) {
      return 'none';
    }
    const before = this.state;
    const born = heartbeat.born ?? current.born;
    this.setCurrent({ ...heartbeat, born, draining: heartbeat.draining || current.draining }, now);
    return this.state === before ? 'none' : 'state';
  }

  private replaceCurrent(heartbeat: TargetHeartbeat, now: number): LifecycleChange {
    const before = this.current;
    if (before) {
      addBounded(this.replacedIncarnations, createIncarnationKey(before));
    }
    this.replacedIncarnations.delete(createIncarnationKey(heartbeat));
    this.deregisteredIncarnation = undefined;
    this.startedAt = now - this.computeMinimumRunningTime(heartbeat);
    this.setCurrent(heartbeat, now);
    return before ? 'incarnation' : 'state';
  }

  private setCurrent(heartbeat: TargetHeartbeat, now: number): void {
    this.current = heartbeat;
    this.heardAt = now;
    this.candidate = undefined;
    this.coldUntil = now + heartbeat.coldLeft;
    this.isAgeUnknown = false;
  }

  /**
   * Whether an incarnation can have started after the latest heartbeat of the current one, and so has
   * replaced it. Its sequence number shows how long it has been running. Without a current one, its
   * service must be the one in the settings, which are rewritten at each start.
   */
  private isSuccessor(heartbeat: TargetHeartbeat, now: number): boolean {
    if (this.current === undefined) {
      return heartbeat.service === this.configuredService || this.deregistered !== undefined;
    }
    if (
      this.replacedIncarnations.has(createIncarnationKey(heartbeat)) ||
      hasStartedBefore(heartbeat, this.current)
    ) {
      return false;
    }
    if (heartbeat.incarnation === this.current.incarnation) {
      return true;
    }
    return this.computeMinimumRunningTime(heartbeat) <= now - this.heardAt;
  }

  /** Minimum milliseconds for which an incarnation has been running, by its sequence number. */
  private computeMinimumRunningTime({ sequence }: TargetHeartbeat): number {
    return (sequence - 1) * this.heartbeatInterval;
  }

  /** Whether a candidate has sent heartbeats long enough while the current one was unresponsive. */
  private isConfirmedCandidate(heartbeat: TargetHeartbeat, now: number): boolean {
    const { candidate } = this;
    return (
      candidate?.incarnationKey === createIncarnationKey(heartbeat) &&
      heartbeat.sequence > candidate.sequence &&
      now - candidate.firstHeardAt >= this.heartbeatInterval * CANDIDATE_SPACING_SHARE
    );
  }

  private recordCandidate(heartbeat: TargetHeartbeat, now: number): void {
    const { service, sequence } = heartbeat;
    const incarnationKey = createIncarnationKey(heartbeat);
    const isKnown = this.candidate?.incarnationKey === incarnationKey;
    const firstHeardAt = isKnown ? this.candidate!.firstHeardAt : now;
    this.candidate = { incarnationKey, service, sequence, firstHeardAt };
  }
}

/** Adds a key to a bounded set; beyond the bound the oldest one is evicted. */
function addBounded(keys: Set<string>, key: string): void {
  keys.delete(key);
  keys.add(key);
  if (keys.size > MAXIMUM_REMEMBERED_INCARNATIONS) {
    const [oldest] = keys;
    keys.delete(oldest!);
  }
}

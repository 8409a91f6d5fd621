/**
 * What an agent knows of its target from the target's own heartbeats.
 *
 * A target may start again under the name that it had: name and start together tell one life of it, here
 * called an incarnation, and what one has said counts for no other. Heartbeats may come late and in
 * another order. Within one incarnation the sequence number tells which is newer. Of two with one name,
 * the one that started later is. Between two names nothing does, so the agent goes by time: an
 * incarnation cannot have been sending heartbeats while the present one was heard. One that
 * claims so is only a rival, until it is heard again while the present one keeps silent. So is one that
 * started earlier by its own word, since the time of day may have gone back in between.
 */
import { TargetState, type TargetStateValue } from './packet-messages';

/** Incarnations noted that have said that they leave; they never come back. */
const MAXIMUM_REMEMBERED_INCARNATIONS = 64;
/**
 * Part of the time between two heartbeats that lies between two of a living rival at least:
 * heartbeats that were held up together arrive together.
 */
const CANDIDATE_SPACING_SHARE = 0.5;

/**
 * Part of the time between two heartbeats that a target may have run when its first heartbeat
 * comes here: any other agent that had been there at its start would have taken that one.
 */
const FIRST_HEARTBEAT_SHARE = 0.9;
/**
 * Milliseconds by which an agent may begin after its target and still be the first beside it, as where
 * a machine starts both. An earlier agent would have had to begin, to end and to be replaced in that
 * time; the replacement alone took 500 to 850 in the logs of real processes killed twice in a row.
 */
const MAXIMUM_START_GAP_MS = 300;
/**
 * Calls that a target makes at most until its first heartbeat is taken, in a starting cluster. One
 * that has made more has been running, and is cold for another reason than its start.
 */
const MAXIMUM_STARTUP_HEARTBEATS = 10;

/** Names one life of a target, from its start to its end. */
export interface TargetIncarnation {
  /** What the target calls itself; it may keep that when it starts again. */
  readonly incarnation: string;
  /** Unix time of its start in milliseconds; undefined from a target that does not tell it. */
  readonly born?: number | undefined;
}

/** One heartbeat of a target. */
export interface TargetHeartbeat extends TargetIncarnation {
  readonly service: string;
  readonly slots: number;
  readonly draining: boolean;
  /** Milliseconds for which the target is still slow after its start. */
  readonly coldLeft: number;
  /** Rises with each heartbeat of an incarnation, from 1. */
  readonly sequence: number;
}

/** The first heartbeat of an incarnation. */
interface FirstHeartbeat extends TargetHeartbeat {
  /** Time at which it came. */
  readonly at: number;
}

/** What a heartbeat changed. */
export type LifecycleChange = 'none' | 'state' | 'incarnation';

/** Another incarnation that may have taken over, or may be one whose heartbeats come late. */
interface CandidateIncarnation {
  readonly incarnationKey: string;
  readonly service: string;
  readonly sequence: number;
  readonly firstHeardAt: number;
}

/** The target beside one agent. */
export class TargetLifecycle {
  private current: TargetHeartbeat | undefined;
  private heardAt = -Infinity;
  /** When the present incarnation began, by its first heartbeat here. */
  private startedAt = -Infinity;
  private candidate: CandidateIncarnation | undefined;
  private hasLeft = false;
  private coldUntil = 0;
  /** The target's next heartbeat is to tell whether it is cold; until then it may be. */
  private isAgeUnknown = true;
  /** This agent was there when the present incarnation began. */
  private wasPresentAtStart = false;
  private firstHeartbeat: FirstHeartbeat | undefined;
  /** Milliseconds for which a target of this service is slow after its start; if known. */
  private coldTime: number | undefined;
  /** Incarnations, named by {@link createIncarnationKey}, that this agent has taken for its target before. */
  private readonly replacedIncarnations = new Set<string>();
  private readonly endedIncarnations = new Set<string>();

  /**
   * @param configuredService the service that the agent's settings name
   * @param heartbeatInterval milliseconds between two heartbeats of a target
   * @param agentStartedAt time at which this run of the agent began
   */
  constructor(
    private readonly configuredService: string,
    private readonly heartbeatInterval: number,
    private readonly agentStartedAt: number,
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

  get state(): TargetStateValue {
    if (this.hasLeft) {
      return TargetState.gone;
    }
    if (!this.current) {
      return TargetState.unknown;
    }
    return this.current.draining ? TargetState.draining : TargetState.ready;
  }

  /**
   * Whether an incarnation of another service has been heard since the present one: until either
   * is heard again, nobody knows which service the target belongs to.
   */
  get isServiceDisputed(): boolean {
    return this.candidate !== undefined && this.candidate.service !== this.service;
  }

  /** Milliseconds for which the target is still slow. */
  coldLeft(now: number): number {
    return Math.max(0, Math.round(this.coldUntil - now));
  }

  /**
   * Whether this run of the agent has been there for all of the target's life, so that it has seen
   * each of its flows open. The target's age, by the time for which it is still slow, must show that no
   * other agent was there between its start and this one's: a heartbeat taken here for the first time
   * does not, since an earlier agent may have passed flows before any.
   */
  get isKnownFromStart(): boolean {
    const { coldTime, firstHeartbeat } = this;
    if (this.wasPresentAtStart || coldTime === undefined || firstHeartbeat === undefined) {
      return this.wasPresentAtStart;
    }
    const { at, coldLeft, sequence } = firstHeartbeat;
    const age = coldTime - coldLeft;
    const isYoung = age < this.heartbeatInterval * FIRST_HEARTBEAT_SHARE;
    const isFirstAgent = age - (at - this.agentStartedAt) <= MAXIMUM_START_GAP_MS;
    return isYoung && isFirstAgent && sequence <= MAXIMUM_STARTUP_HEARTBEATS;
  }

  /** Takes the milliseconds for which targets of this service are slow after a start; 0: unknown. */
  setColdTime(coldTime: number | undefined): void {
    this.coldTime = coldTime === 0 ? undefined : coldTime;
  }

  /** Whether the target is slow, or may be: no heartbeat has told its age. */
  mayBeCold(now: number): boolean {
    return this.isAgeUnknown || this.coldUntil > now;
  }

  /** Whether the target's present incarnation has begun after a time. */
  hasStartedSince(time: number): boolean {
    return this.startedAt >= time;
  }

  /** The target may have become cold without a heartbeat that says so yet. */
  forgetAge(): void {
    this.isAgeUnknown = true;
  }

  /** Takes a heartbeat; one that is late changes nothing. */
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

  /** An incarnation has said that it leaves for good. */
  applyLeave(incarnation: TargetIncarnation): LifecycleChange {
    const { current } = this;
    const isPresent = current !== undefined && isSameIncarnation(current, incarnation);
    const name = createIncarnationKey(isPresent ? current : incarnation);
    addBounded(this.endedIncarnations, name);
    if (this.candidate?.incarnationKey === name) {
      this.candidate = undefined;
    }
    if (current !== undefined && !isPresent) {
      return 'none';
    }
    const before = this.state;
    this.hasLeft = true;
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
    this.hasLeft = false;
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
   * Whether an incarnation can have started after the present one was heard last, so that the
   * target has been replaced. Its sequence number tells how long it has been running. With no
   * present one, the service in the settings, which are written at each start, must be its own.
   */
  private isSuccessor(heartbeat: TargetHeartbeat, now: number): boolean {
    if (this.current === undefined) {
      return heartbeat.service === this.configuredService || this.hasLeft;
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

  /** Milliseconds for which an incarnation has been running at least, by its sequence number. */
  private computeMinimumRunningTime({ sequence }: TargetHeartbeat): number {
    return (sequence - 1) * this.heartbeatInterval;
  }

  /** Whether a rival has been heard long enough while the present incarnation was silent. */
  private isConfirmedCandidate(heartbeat: TargetHeartbeat, now: number): boolean {
    const { candidate: candidate } = this;
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
    this.candidate = { incarnationKey: incarnationKey, service, sequence, firstHeardAt };
  }
}

/** A text that differs from life to life of a target. */
function createIncarnationKey({ incarnation, born }: TargetIncarnation): string {
  return born === undefined ? incarnation : `${incarnation} ${born}`;
}

/** Whether two are of one life; a target that tells no start has one life for each name. */
function isSameIncarnation(one: TargetIncarnation, other: TargetIncarnation): boolean {
  const isStartTold = one.born !== undefined && other.born !== undefined;
  return one.incarnation === other.incarnation && (!isStartTold || one.born === other.born);
}

/** Whether a life began before another one, by the word of both. */
function hasStartedBefore(one: TargetIncarnation, other: TargetIncarnation): boolean {
  return one.born !== undefined && other.born !== undefined && one.born < other.born;
}

/** Adds a name; beyond a number the one added longest ago is dropped. */
function addBounded(names: Set<string>, name: string): void {
  names.delete(name);
  names.add(name);
  if (names.size > MAXIMUM_REMEMBERED_INCARNATIONS) {
    const [oldest] = names;
    names.delete(oldest!);
  }
}

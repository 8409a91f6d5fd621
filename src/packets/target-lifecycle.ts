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
const ENDED_KEPT = 64;
/**
 * Part of the time between two heartbeats that lies between two of a living rival at least:
 * heartbeats that were held up together arrive together.
 */
const RIVAL_SPACING = 0.5;

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
const LONGEST_START_GAP = 300;
/**
 * Calls that a target makes at most until its first heartbeat is taken, in a starting cluster. One
 * that has made more has been running, and is cold for another reason than its start.
 */
const CALLS_OF_A_START = 10;

/** Names one life of a target, from its start to its end. */
export interface TargetLife {
  /** What the target calls itself; it may keep that when it starts again. */
  readonly incarnation: string;
  /** Unix time of its start in milliseconds; undefined from a target that does not tell it. */
  readonly born?: number | undefined;
}

/** One heartbeat of a target. */
export interface TargetHeartbeat extends TargetLife {
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
interface Rival {
  readonly life: string;
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
  private rival: Rival | undefined;
  private left = false;
  private coldUntil = 0;
  /** The target's next heartbeat is to tell whether it is cold; until then it may be. */
  private isAgeUnknown = true;
  /** This agent was there when the present incarnation began. */
  private hasSeenStart = false;
  private firstHeartbeat: FirstHeartbeat | undefined;
  /** Milliseconds for which a target of this service is slow after its start; if known. */
  private coldTime: number | undefined;
  /** Incarnations, named by {@link nameLife}, that this agent has taken for its target before. */
  private readonly replaced = new Set<string>();
  private readonly ended = new Set<string>();

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
    if (this.left) {
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
    return this.rival !== undefined && this.rival.service !== this.service;
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
    if (this.hasSeenStart || coldTime === undefined || firstHeartbeat === undefined) {
      return this.hasSeenStart;
    }
    const { at, coldLeft, sequence } = firstHeartbeat;
    const age = coldTime - coldLeft;
    const isYoung = age < this.heartbeatInterval * FIRST_HEARTBEAT_SHARE;
    const isFirstAgent = age - (at - this.agentStartedAt) <= LONGEST_START_GAP;
    return isYoung && isFirstAgent && sequence <= CALLS_OF_A_START;
  }

  /** Takes the milliseconds for which targets of this service are slow after a start; 0: unknown. */
  learnColdTime(coldTime: number | undefined): void {
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
  heartbeat(heartbeat: TargetHeartbeat, now: number): LifecycleChange {
    if (this.ended.has(nameLife(heartbeat))) {
      return 'none';
    }
    if (this.current !== undefined && isSameLife(this.current, heartbeat)) {
      return this.goOn(this.current, heartbeat, now);
    }
    const isSuccessor = this.isSuccessor(heartbeat, now);
    if (isSuccessor || this.isLivingRival(heartbeat, now)) {
      this.hasSeenStart = isSuccessor && this.current !== undefined;
      this.firstHeartbeat = isSuccessor ? { ...heartbeat, at: now } : undefined;
      return this.replace(heartbeat, now);
    }
    this.noteRival(heartbeat, now);
    return 'none';
  }

  /** An incarnation has said that it leaves for good. */
  leave(life: TargetLife): LifecycleChange {
    const { current } = this;
    const isPresent = current !== undefined && isSameLife(current, life);
    const name = nameLife(isPresent ? current : life);
    addBounded(this.ended, name);
    if (this.rival?.life === name) {
      this.rival = undefined;
    }
    if (current !== undefined && !isPresent) {
      return 'none';
    }
    const before = this.state;
    this.left = true;
    return before === TargetState.gone ? 'none' : 'state';
  }

  private goOn(current: TargetHeartbeat, heartbeat: TargetHeartbeat, now: number): LifecycleChange {
    if (heartbeat.sequence <= current.sequence) {
      return 'none';
    }
    const before = this.state;
    const born = heartbeat.born ?? current.born;
    this.take({ ...heartbeat, born, draining: heartbeat.draining || current.draining }, now);
    return this.state === before ? 'none' : 'state';
  }

  private replace(heartbeat: TargetHeartbeat, now: number): LifecycleChange {
    const before = this.current;
    if (before) {
      addBounded(this.replaced, nameLife(before));
    }
    this.replaced.delete(nameLife(heartbeat));
    this.left = false;
    this.startedAt = now - this.runningTime(heartbeat);
    this.take(heartbeat, now);
    return before ? 'incarnation' : 'state';
  }

  private take(heartbeat: TargetHeartbeat, now: number): void {
    this.current = heartbeat;
    this.heardAt = now;
    this.rival = undefined;
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
      return heartbeat.service === this.configuredService || this.left;
    }
    if (this.replaced.has(nameLife(heartbeat)) || isBornBefore(heartbeat, this.current)) {
      return false;
    }
    if (heartbeat.incarnation === this.current.incarnation) {
      return true;
    }
    return this.runningTime(heartbeat) <= now - this.heardAt;
  }

  /** Milliseconds for which an incarnation has been running at least, by its sequence number. */
  private runningTime({ sequence }: TargetHeartbeat): number {
    return (sequence - 1) * this.heartbeatInterval;
  }

  /** Whether a rival has been heard long enough while the present incarnation was silent. */
  private isLivingRival(heartbeat: TargetHeartbeat, now: number): boolean {
    const { rival } = this;
    return (
      rival?.life === nameLife(heartbeat) &&
      heartbeat.sequence > rival.sequence &&
      now - rival.firstHeardAt >= this.heartbeatInterval * RIVAL_SPACING
    );
  }

  private noteRival(heartbeat: TargetHeartbeat, now: number): void {
    const { service, sequence } = heartbeat;
    const life = nameLife(heartbeat);
    const isKnown = this.rival?.life === life;
    const firstHeardAt = isKnown ? this.rival!.firstHeardAt : now;
    this.rival = { life, service, sequence, firstHeardAt };
  }
}

/** A text that differs from life to life of a target. */
function nameLife({ incarnation, born }: TargetLife): string {
  return born === undefined ? incarnation : `${incarnation} ${born}`;
}

/** Whether two are of one life; a target that tells no start has one life for each name. */
function isSameLife(one: TargetLife, other: TargetLife): boolean {
  const isStartTold = one.born !== undefined && other.born !== undefined;
  return one.incarnation === other.incarnation && (!isStartTold || one.born === other.born);
}

/** Whether a life began before another one, by the word of both. */
function isBornBefore(one: TargetLife, other: TargetLife): boolean {
  return one.born !== undefined && other.born !== undefined && one.born < other.born;
}

/** Adds a name; beyond a number the one added longest ago is dropped. */
function addBounded(names: Set<string>, name: string): void {
  names.delete(name);
  names.add(name);
  if (names.size > ENDED_KEPT) {
    const [oldest] = names;
    names.delete(oldest!);
  }
}

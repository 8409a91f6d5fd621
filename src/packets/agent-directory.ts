/**
 * What a balancer knows of the agents: those the registry lists and those it has heard.
 *
 * The directory is complete once it has taken a whole listing of the registry, or the
 * entries of a balancer whose directory is complete. Completeness is what allows a
 * balancer to conclude that no target holds a flow.
 */
import type { Endpoint } from '../environment';
import { computeSilenceTimeout } from './report-interval';
import { ZoneReachability } from './zone-reachability';
import {
  FlowKnowledge,
  TargetState,
  type AgentRecord,
  type ReportMessage,
  type TargetStateValue,
} from './packet-messages';

/**
 * Milliseconds between sending an opening packet and the first request of its flow at the
 * target: a report shows the load of openings that are older than this.
 */
const OPENING_DELAY_MS = 10;

/**
 * Milliseconds for which the word of an agent holds that there is no target beside it, once it is
 * silent: a removal of its entry spreads in less, and a target that came later would be heard.
 */
const NO_TARGET_VALIDITY_MS = 3_000;

/**
 * Milliseconds between sending an opening packet and the first answer on its flow, by which its
 * agent knows that the flow is open, where requests hardly wait.
 */
const FIRST_ANSWER_DELAY_MS = 100;

/**
 * Milliseconds in which every balancer hears of a new agent: changes of the registry gather for
 * one second at those who read them, and are told at once.
 */
const SETTLING_TIME_MS = 2_000;

/**
 * Milliseconds for which an agent is not tried again that has got as many new flows as its cold
 * target bears in a second: with all targets cold, each opening would else visit all of them.
 */
const COLD_LIMIT_BACKOFF_MS = 100;

/**
 * Openings noted of an agent that no report shows yet, the latest; more than a balancer sends one
 * agent between two reports, so that only those of a silent agent, which gather, are dropped.
 */
const MAXIMUM_RECENT_OPENINGS = 1_000;

/** One agent. */
export interface AgentEntry extends AgentRecord {
  /** Revision of its registration; undefined while the registry does not list it. */
  registryRevision: number | undefined;
  /** Time at which its entry was missing after the store had come back from a copy. */
  lapsedAt: number | undefined;
  report: ReportMessage | undefined;
  /** What the target last said of itself, also to an earlier run of the agent. */
  lastTargetState: TargetStateValue | undefined;
  /** The run of the agent before the present one, whose late reports are void. */
  previousRun: number | undefined;
  /** Time of the last report; undefined when none has come. */
  heardAt: number | undefined;
  /** Time at which this balancer learnt of it. */
  readonly knownSince: number;
  /** Time until which it takes no new flows: its target is cold and has got enough. */
  limitedUntil: number;
  /** When this balancer sent it opening packets that no report shows yet; rising. */
  recentOpenings: number[];
  /** When this balancer sent it flows that stay, and that no report shows to be open yet; rising. */
  recentFlows: number[];
}

/** The agents by address. */
export class AgentDirectory {
  private readonly entries = new Map<Endpoint, AgentEntry>();
  private readonly zoneReachability = new ZoneReachability();
  /** Time at which every registered agent was known first. */
  private completeSince = Infinity;
  /** Time since which agents are asked for reports; `Infinity` while they are not. */
  private listeningSince = -Infinity;

  /** Whether every registered agent is known. */
  get isComplete(): boolean {
    return this.completeSince < Infinity;
  }

  getAll(): Iterable<AgentEntry> {
    return this.entries.values();
  }

  get size(): number {
    return this.entries.size;
  }

  find(address: Endpoint): AgentEntry | undefined {
    return this.entries.get(address);
  }

  /** The agents of some services, in no particular order. */
  findByServices(services: readonly string[]): AgentEntry[] {
    return [...this.entries.values()].filter(({ service }) => services.includes(service));
  }

  /** Whether an agent has been heard lately and has not said that it goes away. */
  isHeard(entry: AgentEntry, now: number): boolean {
    if (entry.heardAt === undefined || entry.report?.state === TargetState.agentRestarting) {
      return false;
    }
    return (
      now - entry.heardAt <= computeSilenceTimeout(this.size) && !this.isZoneSilent(entry.zone, now)
    );
  }

  /** Agents are asked for reports from now on, unless they were before. */
  startListening(now: number): void {
    if (this.listeningSince === Infinity) {
      this.listeningSince = now;
    }
  }

  /** Agents are no longer asked for reports: their silence says nothing. */
  stopListening(): void {
    this.listeningSince = Infinity;
  }

  /** Milliseconds for which an agent has said nothing although it was asked for reports. */
  getSilence({ heardAt, knownSince }: AgentEntry, now: number): number {
    return Math.max(0, now - Math.max(heardAt ?? knownSince, this.listeningSince));
  }

  /** Whether an agent is not heard, and has not been asked for reports long enough to be silent. */
  isReportPending(entry: AgentEntry, now: number): boolean {
    const isRestarting = entry.report?.state === TargetState.agentRestarting;
    const isSilent = this.getSilence(entry, now) > computeSilenceTimeout(this.size);
    return !isRestarting && !isSilent && !this.isHeard(entry, now);
  }

  /** Whether all agents of a zone have fallen silent while others are heard. */
  isZoneSilent(zone: string, now: number): boolean {
    return this.zoneReachability.isSilent(zone, this.size, now, this.listeningSince);
  }

  /**
   * Whether an agent has come up since this directory has been complete, so lately that other
   * balancers may not know it. Of those known from the start nothing tells how new they are.
   */
  isSettling(entry: AgentEntry, now: number): boolean {
    return entry.knownSince > this.completeSince && now - entry.knownSince < SETTLING_TIME_MS;
  }

  /**
   * Whether the target of an agent may hold flows, as far as is known here: the agent is registered,
   * or has told of its target or of flows there. One that has come up and heard nothing of its
   * target may be beside none; if a target is there, the agent registers once it hears it.
   */
  mayHoldFlows({ lapsedAt, lastTargetState, registryRevision, report }: AgentEntry): boolean {
    const hasFlows = report !== undefined && report.openFlows > 0;
    const wasListed = registryRevision !== undefined || lapsedAt !== undefined;
    return wasListed || lastTargetState !== undefined || hasFlows;
  }

  /** Whether an agent has said, a moment ago, that there is no target beside it: it holds no flow. */
  hasNoTarget({ heardAt, report }: AgentEntry, now: number): boolean {
    const wasReported = report?.flowKnowledge === FlowKnowledge.noTarget;
    return wasReported && heardAt !== undefined && now - heardAt <= NO_TARGET_VALIDITY_MS;
  }

  /**
   * An agent is sent an opening packet.
   * @param staysOpen whether the flow is expected to carry several requests
   */
  recordOpening(
    { recentOpenings, recentFlows }: AgentEntry,
    staysOpen: boolean,
    now: number,
  ): void {
    appendBounded(recentOpenings, now);
    if (staysOpen) {
      appendBounded(recentFlows, now);
    }
  }

  /** An agent has refused a new flow because its target is cold and has got enough of them. */
  recordColdLimit(address: Endpoint, now: number): void {
    const entry = this.entries.get(address);
    if (entry) {
      entry.limitedUntil = now + COLD_LIMIT_BACKOFF_MS;
    }
  }

  /** Whether any agent has been heard lately. */
  hasHeardAny(now: number): boolean {
    for (const entry of this.entries.values()) {
      if (this.isHeard(entry, now)) {
        return true;
      }
    }
    return false;
  }

  /**
   * Takes an agent from the registry, or a peer when `revision` is undefined. What an agent that
   * is heard says of itself goes before what others say: its entry may be of an earlier target.
   */
  upsert(record: AgentRecord, revision: number | undefined, now: number): AgentEntry {
    const known = this.entries.get(record.address);
    if (known && isSameRecord(known, record)) {
      known.registryRevision = revision ?? known.registryRevision;
      known.lapsedAt = known.registryRevision === undefined ? known.lapsedAt : undefined;
      return known;
    }
    return known && this.isHeard(known, now) ? known : this.add(record, revision, now);
  }

  private add(record: AgentRecord, revision: number | undefined, now: number): AgentEntry {
    const entry: AgentEntry = {
      ...record,
      registryRevision: revision,
      lapsedAt: undefined,
      report: undefined,
      lastTargetState: undefined,
      previousRun: undefined,
      heardAt: undefined,
      knownSince: now,
      limitedUntil: 0,
      recentOpenings: [],
      recentFlows: [],
    };
    this.deleteEntry(record.address);
    this.entries.set(record.address, entry);
    this.zoneReachability.adjustAgentCount(record.zone, 1);
    return entry;
  }

  /**
   * Takes a report; the sender becomes known by it.
   * @returns the agent's entry, or undefined for a report that a later one has overtaken
   */
  recordReport(address: Endpoint, report: ReportMessage, now: number): AgentEntry | undefined {
    const { service, zone } = report;
    const record = { address, service, zone };
    const known = this.entries.get(address);
    const entry = known && isSameRecord(known, record) ? known : this.add(record, undefined, now);
    if (isStaleReport(entry, report)) {
      return undefined;
    }
    if (entry.report && entry.report.run !== report.run) {
      entry.previousRun = entry.report.run;
    }
    const state = resolveState(entry.lastTargetState, report.state);
    entry.lastTargetState = isTargetState(state) ? state : entry.lastTargetState;
    entry.report = { ...report, state };
    entry.heardAt = now;
    this.zoneReachability.recordReport(zone, now);
    entry.recentOpenings = entry.recentOpenings.filter((at) => at > now - OPENING_DELAY_MS);
    entry.recentFlows = entry.recentFlows.filter((at) => at > now - FIRST_ANSWER_DELAY_MS);
    return entry;
  }

  /** The registry no longer lists an agent: it stays only while it is heard. */
  markUnregistered(address: Endpoint, now: number): void {
    const entry = this.entries.get(address);
    if (!entry) {
      return;
    }
    entry.registryRevision = undefined;
    const isGone = entry.report?.state === TargetState.gone;
    if (isGone || !this.isHeard(entry, now)) {
      this.deleteEntry(address);
    }
  }

  /**
   * The store has come back from a copy without an agent's entry, which nobody has removed: the agent
   * stays known, silent or not, so that no flow of its target is taken for dead.
   */
  markLapsed(address: Endpoint, now: number): void {
    const entry = this.entries.get(address);
    if (entry) {
      entry.registryRevision = undefined;
      entry.lapsedAt = now;
    }
  }

  /** Drops an agent that is neither registered nor heard. */
  forget(address: Endpoint): void {
    this.deleteEntry(address);
  }

  markComplete(now: number): void {
    this.completeSince = Math.min(this.completeSince, now);
  }

  private deleteEntry(address: Endpoint): void {
    const entry = this.entries.get(address);
    if (entry) {
      this.entries.delete(address);
      this.zoneReachability.adjustAgentCount(entry.zone, -1);
    }
  }
}

/** Adds a time to a list that is bounded: the earliest one goes. */
function appendBounded(times: number[], now: number): void {
  times.push(now);
  if (times.length > MAXIMUM_RECENT_OPENINGS) {
    times.shift();
  }
}

function isSameRecord(one: AgentRecord, other: AgentRecord): boolean {
  return one.service === other.service && one.zone === other.zone;
}

/**
 * The state to go by after a report. A restarted agent does not know its target's state
 * until the next heartbeat; a target that was leaving before is still taken to leave.
 */
function resolveState(
  known: TargetStateValue | undefined,
  reported: TargetStateValue,
): TargetStateValue {
  const wasLeaving = known === TargetState.draining || known === TargetState.gone;
  return reported === TargetState.unknown && wasLeaving ? known : reported;
}

/** Whether a state is the target's own, not one of its agent. */
function isTargetState(state: TargetStateValue): boolean {
  return state !== TargetState.unknown && state !== TargetState.agentRestarting;
}

function isStaleReport({ report: known, previousRun }: AgentEntry, report: ReportMessage): boolean {
  if (known?.run === report.run) {
    return report.sequence <= known.sequence;
  }
  return report.run === previousRun;
}

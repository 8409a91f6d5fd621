/**
 * A balancer's directory of agents: those in the registry and those that report to it.
 *
 * The directory is complete once it has applied a full listing of the registry, or the
 * entries of a balancer whose directory is complete. Only a complete directory allows a
 * balancer to conclude that no target holds a flow.
 */
import type { Endpoint } from '../environment';
import { computeSilenceTimeout } from './report-interval';
import { isSameDeregistration, type TargetIncarnation } from './target-incarnation';
import { ZoneReachability } from './zone-reachability';
import {
  FlowKnowledge,
  DEREGISTRATION_VERSION,
  TargetState,
  type AgentRecord,
  type ReportMessage,
  type TargetStateValue,
} from './packet-messages';

/**
 * Time from sending an opening packet (SYN) to the first request of its flow at the target: a report
 * includes the load of openings older than this.
 */
const OPENING_DELAY_MS = 10;

/**
 * How long an agent's report that it has no target stays valid after its last report: a removal of
 * its entry propagates faster, and a target started later would cause a new report.
 */
const NO_TARGET_VALIDITY_MS = 3_000;

/**
 * Time from sending an opening packet to the first answer on its flow, by which the agent knows
 * that the flow is open; assumes that requests hardly wait.
 */
const FIRST_ANSWER_DELAY_MS = 100;

/**
 * Time until every balancer knows a new agent: the balancers that read the store batch registry
 * changes for one second and then broadcast them.
 */
const SETTLING_TIME_MS = 2_000;

/**
 * How long an agent gets no new flows after its target has reached its cold-start limit: when all
 * targets are cold, each opening packet would otherwise visit all of them.
 */
const COLD_LIMIT_BACKOFF_MS = 100;

/**
 * Latest openings per agent that no report includes yet. More than a balancer sends to one agent
 * between two reports, so that only openings of an unresponsive agent are dropped.
 */
const MAXIMUM_RECENT_OPENINGS = 1_000;

/** Directory entry of one agent. */
export interface AgentEntry extends AgentRecord {
  /** Deregistered target by the latest registry entry; kept when the entry is lost. */
  deregistered: TargetIncarnation | undefined;
  /** Revision of its registration; undefined while it is not in the registry. */
  registryRevision: number | undefined;
  /** Time at which its entry was found missing after a restore of the store from a backup. */
  lapsedAt: number | undefined;
  report: ReportMessage | undefined;
  /**
   * Last state that the target reported, possibly to an earlier incarnation of the agent, or that
   * the registry implies.
   */
  lastTargetState: TargetStateValue | undefined;
  /** Previous incarnation of the agent, whose late reports are ignored. */
  previousRun: number | undefined;
  /** Time of the last report; undefined before the first. */
  heardAt: number | undefined;
  /** Time at which this balancer added the agent. */
  readonly knownSince: number;
  /** Time until which it gets no new flows as its target has reached its cold-start limit. */
  limitedUntil: number;
  /** Ascending send times of opening packets that no report includes yet. */
  recentOpenings: number[];
  /** Ascending start times of persistent flows that no report counts as open yet. */
  recentFlows: number[];
}

/** Why an agent was removed from the directory. */
export type AgentRemovalReason =
  /** The registry no longer lists it, and it does not report or its target has ended. */
  | 'unregistered'
  /** Its target has ended, and the registry does not list it. */
  | 'target-ended'
  /** The registry does not list it, and it has not reported for long. */
  | 'unresponsive';

/** Called with each agent that is removed from the directory. */
export type AgentRemovalObserver = (entry: AgentEntry, reason: AgentRemovalReason) => void;

/** Agents by address. */
export class AgentDirectory {
  private readonly entries = new Map<Endpoint, AgentEntry>();
  private readonly zoneReachability = new ZoneReachability();
  /** Time since which every registered agent is known; `Infinity` before. */
  private completeSince = Infinity;
  /** Time since which agents are asked for reports; `Infinity` while they are not. */
  private listeningSince = -Infinity;

  constructor(private readonly onRemoved: AgentRemovalObserver = () => undefined) {}

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

  /** Agents of the given services, in no particular order. */
  findByServices(services: readonly string[]): AgentEntry[] {
    return [...this.entries.values()].filter(({ service }) => services.includes(service));
  }

  /** Whether an agent has reported recently and has not announced a restart. */
  isHeard(entry: AgentEntry, now: number): boolean {
    if (entry.heardAt === undefined || entry.report?.state === TargetState.agentRestarting) {
      return false;
    }
    return (
      now - entry.heardAt <= computeSilenceTimeout(this.size) && !this.isZoneSilent(entry.zone, now)
    );
  }

  /** Records that agents are asked for reports from now on, unless they already were. */
  startListening(now: number): void {
    if (this.listeningSince === Infinity) {
      this.listeningSince = now;
    }
  }

  /** Records that agents are no longer asked for reports: missing reports mean nothing then. */
  stopListening(): void {
    this.listeningSince = Infinity;
  }

  /** Milliseconds without a report from an agent that was asked for reports. */
  getSilence({ heardAt, knownSince }: AgentEntry, now: number): number {
    return Math.max(0, now - Math.max(heardAt ?? knownSince, this.listeningSince));
  }

  /** Whether an agent has not reported, but was asked too recently to count as unresponsive. */
  isReportPending(entry: AgentEntry, now: number): boolean {
    const isRestarting = entry.report?.state === TargetState.agentRestarting;
    const isSilent = this.getSilence(entry, now) > computeSilenceTimeout(this.size);
    return !isRestarting && !isSilent && !this.isHeard(entry, now);
  }

  /** Whether all agents of a zone have stopped reporting while other zones still report. */
  isZoneSilent(zone: string, now: number): boolean {
    return this.zoneReachability.isSilent(zone, this.size, now, this.listeningSince);
  }

  /**
   * Whether an agent was added after the directory became complete, so recently that other
   * balancers may not know it. The age of agents known from the start is unknown.
   */
  isRecentlyAdded(entry: AgentEntry, now: number): boolean {
    return entry.knownSince > this.completeSince && now - entry.knownSince < SETTLING_TIME_MS;
  }

  /**
   * Whether an agent's target may hold flows, as far as known: the agent is registered, or has
   * reported a target state or open flows. A started agent without a heartbeat may have no target;
   * if there is one, the agent registers on its first heartbeat.
   */
  mayHoldFlows({ lapsedAt, lastTargetState, registryRevision, report }: AgentEntry): boolean {
    const hasFlows = report !== undefined && report.openFlows > 0;
    const wasListed = registryRevision !== undefined || lapsedAt !== undefined;
    return wasListed || lastTargetState !== undefined || hasFlows;
  }

  /** Whether an agent has recently reported that it has no target, and so holds no flow. */
  hasNoTarget({ heardAt, report }: AgentEntry, now: number): boolean {
    const wasReported = report?.flowKnowledge === FlowKnowledge.noTarget;
    return wasReported && heardAt !== undefined && now - heardAt <= NO_TARGET_VALIDITY_MS;
  }

  /**
   * Records that an opening packet is sent to an agent.
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

  /** Records that an agent refused a new flow because of its target's cold-start limit. */
  recordColdLimit(address: Endpoint, now: number): void {
    const entry = this.entries.get(address);
    if (entry) {
      entry.limitedUntil = now + COLD_LIMIT_BACKOFF_MS;
    }
  }

  /** Whether any agent has reported recently. */
  hasHeardAny(now: number): boolean {
    for (const entry of this.entries.values()) {
      if (this.isHeard(entry, now)) {
        return true;
      }
    }
    return false;
  }

  /**
   * Adds or updates an agent from the registry, or from a peer when `revision` is undefined. Recent
   * reports of the agent itself take precedence: the entry may be that of an earlier target.
   */
  upsert(record: AgentRecord, revision: number | undefined, now: number): AgentEntry {
    const known = this.entries.get(record.address);
    if (known && isSameRecord(known, record)) {
      known.registryRevision = revision ?? known.registryRevision;
      known.lapsedAt = known.registryRevision === undefined ? known.lapsedAt : undefined;
      if (revision !== undefined) {
        applyDeregistration(known, record.deregistered);
      }
      return known;
    }
    return known && this.isHeard(known, now) ? known : this.add(record, revision, now);
  }

  private add(record: AgentRecord, revision: number | undefined, now: number): AgentEntry {
    const { deregistered } = record;
    const entry: AgentEntry = {
      ...record,
      deregistered,
      registryRevision: revision,
      lapsedAt: undefined,
      report: undefined,
      lastTargetState: deregistered && TargetState.gone,
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
   * Records a report and adds its sender if it is unknown.
   * @returns the agent's entry, or undefined for an out-of-date report
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

  /** Records that the registry no longer lists an agent: it is kept only while it reports a target. */
  markUnregistered(address: Endpoint, now: number): void {
    const entry = this.entries.get(address);
    if (!entry) {
      return;
    }
    entry.registryRevision = undefined;
    if (hasTargetEnded(entry.report) || !this.isHeard(entry, now)) {
      this.remove(address, 'unregistered');
    }
  }

  /**
   * Records that an agent's entry was lost by a restore of the store, not removed: the agent stays
   * known even if unresponsive, so that flows of its target are not considered dead.
   */
  markLapsed(address: Endpoint, now: number): void {
    const entry = this.entries.get(address);
    if (entry) {
      entry.registryRevision = undefined;
      entry.lapsedAt = now;
    }
  }

  /** Removes an agent: searches no longer include it. */
  remove(address: Endpoint, reason: AgentRemovalReason): void {
    const entry = this.entries.get(address);
    if (entry) {
      this.deleteEntry(address);
      this.onRemoved(entry, reason);
    }
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

/**
 * Whether an agent reports that its target has left for good and holds no flows. Earlier versions do
 * not tell that from a target that has only announced its shutdown.
 */
export function hasTargetEnded(report: ReportMessage | undefined): boolean {
  if (report?.state !== TargetState.gone) {
    return false;
  }
  const reportsEnd = report.frameVersion >= DEREGISTRATION_VERSION;
  return !reportsEnd || report.flowKnowledge === FlowKnowledge.noTarget;
}

/** Appends a time to a bounded list, dropping the earliest. */
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
 * State to use after a report. A restarted agent does not know its target's state until the
 * next heartbeat; a target that was shutting down is assumed to still be.
 */
function resolveState(
  known: TargetStateValue | undefined,
  reported: TargetStateValue,
): TargetStateValue {
  const wasLeaving = known === TargetState.draining || known === TargetState.gone;
  return reported === TargetState.unknown && wasLeaving ? known : reported;
}

/**
 * Applies the deregistered target of a registry entry. A target state that the agent itself reports
 * takes precedence: another target may have started meanwhile.
 */
function applyDeregistration(entry: AgentEntry, deregistered: TargetIncarnation | undefined): void {
  if (isSameDeregistration(entry.deregistered, deregistered)) {
    return;
  }
  entry.deregistered = deregistered;
  if (deregistered !== undefined) {
    entry.lastTargetState = TargetState.gone;
    entry.report = entry.report && {
      ...entry.report,
      state: resolveState(entry.lastTargetState, entry.report.state),
    };
  }
}

/** Whether a state describes the target rather than its agent. */
function isTargetState(state: TargetStateValue): boolean {
  return state !== TargetState.unknown && state !== TargetState.agentRestarting;
}

function isStaleReport({ report: known, previousRun }: AgentEntry, report: ReportMessage): boolean {
  if (known?.run === report.run) {
    return report.sequence <= known.sequence;
  }
  return report.run === previousRun;
}

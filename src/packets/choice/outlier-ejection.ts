/**
 * Ejects targets that are far worse than their service ("set aside" in settings and events). They
 * return through single trial flows, then a second in which they count as doubtful.
 *
 * Each balancer decides by itself from the reports that all of them get; nothing is exchanged.
 */
import { formatEndpoint } from '../../core/endpoint';
import type { Environment } from '../../environment';
import { Events } from '../../logging/events';
import type { AgentDirectory, AgentEntry } from '../agent-directory';
import { MINIMUM_ANSWERS, findOutliers, type ComparedTarget, type OutlierReason } from './outliers';
import { computeReportInterval } from '../report-interval';
import { acceptsNewFlows, type OutlierStatus } from './selection';

/**
 * Comparisons of a service per report of an agent: every 50 ms at the shortest interval, in which a
 * busy balancer places a flow or two; fewer in large fleets, where each has more to compare.
 */
const COMPARISONS_PER_REPORT = 5;
/**
 * Interval between trials of a target by all balancers together: a target that keeps failing
 * spoils one flow per second, and three answers show that it has recovered.
 */
const TRIAL_INTERVAL_MS = 1_000;
/** Time for which a restored target counts as doubtful. */
const RESTORED_TIME_MS = 1_000;
/**
 * Time for which a target stays ejected after its agent has restarted without its history: as long
 * as an agent remembers recent failures.
 */
const MAXIMUM_EJECTION_WITHOUT_REPORT_MS = 10_000;

/** State of a target that is not usual. */
type OutlierState =
  | Ejected
  /** Worse, but not yet for as long as all others need to report a cause that affects them too. */
  | Suspected
  | { readonly kind: 'restored'; readonly until: number };

interface Suspected {
  readonly kind: 'suspected';
  readonly since: number;
  /** End of its time as doubtful after an earlier ejection; 0 for one that was usual. */
  readonly doubtfulUntil: number;
}

interface Ejected {
  readonly kind: 'setAside';
  /** Time and reason of the latest confirmation. */
  confirmedAt: number;
  reason: OutlierReason;
  /** Incarnation of its agent that reported it. */
  run: number;
  targetChanges: number;
  trialAt: number;
}

const USUAL: OutlierStatus = { kind: 'usual' };
const RESTORED: OutlierStatus = { kind: 'restored' };

/** Dependencies of {@link OutlierEjection}. */
export interface OutlierEjectionDependencies {
  readonly environment: Environment;
  readonly directory: AgentDirectory;
  /** Percentage of a service's targets that may be ejected at most; 0 for none. */
  readonly share: number;
}

/** Outlier ejection of one balancer. */
export class OutlierEjection {
  private readonly states = new Map<AgentEntry, OutlierState>();
  /** Time of the last comparison, by service. */
  private readonly comparedAt = new Map<string, number>();

  constructor(private readonly dependencies: OutlierEjectionDependencies) {}

  /** Number of ejected targets. */
  get ejectedCount(): number {
    let ejected = 0;
    for (const { kind } of this.states.values()) {
      ejected += kind === 'setAside' ? 1 : 0;
    }
    return ejected;
  }

  /** Compares the targets of a service unless this was done a moment ago. */
  compareTargets(service: string, now: number): void {
    const { directory, share } = this.dependencies;
    const interval = computeReportInterval(directory.size) / COMPARISONS_PER_REPORT;
    if (share === 0 || now - (this.comparedAt.get(service) ?? -Infinity) < interval) {
      return;
    }
    this.comparedAt.set(service, now);
    const entries = directory
      .findByServices([service])
      .filter((entry) => acceptsNewFlows(entry) && directory.isHeard(entry, now));
    entries.forEach((entry) => this.forgetReplaced(entry));
    const outliers = findOutliers(
      entries.map((entry) => this.readMetrics(entry, now)),
      share,
    );
    for (const entry of entries) {
      this.updateState(entry, outliers.get(entry), now);
    }
  }

  /** @param mayTry whether the flow may be used for a trial */
  getStatus(entry: AgentEntry, mayTry: boolean, now: number): OutlierStatus {
    const state = this.states.get(entry);
    switch (state?.kind) {
      case undefined:
        return USUAL;
      case 'suspected':
        return now < state.doubtfulUntil ? RESTORED : USUAL;
      case 'setAside':
        return { kind: 'setAside', isTrialDue: mayTry && now >= state.trialAt };
      case 'restored':
        return now < state.until ? RESTORED : USUAL;
    }
  }

  /** Records a trial flow and schedules the next trial. */
  recordTrial(entry: AgentEntry, now: number): void {
    const state = this.states.get(entry);
    if (state?.kind === 'setAside') {
      const jitter = 0.5 + this.dependencies.environment.random();
      state.trialAt = now + computeTrialInterval(entry) * jitter;
    }
  }

  /** Drops expired states and those of agents that have left. */
  expire(now: number): void {
    const { directory } = this.dependencies;
    this.comparedAt.forEach((at, service) => {
      if (now - at > MAXIMUM_EJECTION_WITHOUT_REPORT_MS) {
        this.comparedAt.delete(service);
      }
    });
    for (const [entry, state] of this.states) {
      if (this.isExpired(entry, state, now) || directory.find(entry.address) !== entry) {
        this.states.delete(entry);
      }
    }
  }

  /** A suspicion of an unresponsive agent expires; an ejection only ends in `compareTargets`. */
  private isExpired(entry: AgentEntry, state: OutlierState, now: number): boolean {
    switch (state.kind) {
      case 'setAside':
        return false;
      case 'suspected':
        return !this.dependencies.directory.isHeard(entry, now);
      case 'restored':
        return now >= state.until;
    }
  }

  /** Drops the ejection of a target that another one has replaced. */
  private forgetReplaced(entry: AgentEntry): void {
    const state = this.states.get(entry);
    const { report } = entry;
    if (state?.kind !== 'setAside' || !report) {
      return;
    }
    if (state.run === report.run && state.targetChanges !== report.targetChanges) {
      this.states.delete(entry);
      this.reportRestored(entry, 'replaced');
    }
  }

  private readMetrics(entry: AgentEntry, now: number): ComparedTarget<AgentEntry> {
    const state = this.states.get(entry);
    const isSetAside = state?.kind === 'setAside';
    const { failurePercent = 0, answerTime = 0, answers = 0, coldLeft = 0 } = entry.report ?? {};
    const reportedMetrics = {
      id: entry,
      failurePercent,
      answerTime,
      answers,
      isCold: coldLeft > 0,
      isSetAside,
    };
    return isSetAside && this.hasLostHistory(entry, state, now)
      ? { ...reportedMetrics, ...createEjectionMetrics(state.reason) }
      : reportedMetrics;
  }

  /** Whether the agent of an ejected target has restarted and lacks answers of it. */
  private hasLostHistory({ report }: AgentEntry, state: Ejected, now: number): boolean {
    const hasRestarted = report !== undefined && report.run !== state.run;
    const knowsTarget = report !== undefined && report.answers >= MINIMUM_ANSWERS;
    return (
      hasRestarted && !knowsTarget && now - state.confirmedAt < MAXIMUM_EJECTION_WITHOUT_REPORT_MS
    );
  }

  private updateState(entry: AgentEntry, reason: OutlierReason | undefined, now: number): void {
    const state = this.states.get(entry);
    switch (state?.kind) {
      case 'setAside':
        this.updateEjected(entry, state, reason, now);
        return;
      case 'suspected':
        if (!reason) {
          this.states.delete(entry);
        } else if (now - state.since >= computeReportInterval(this.dependencies.directory.size)) {
          this.eject(entry, reason, now);
        }
        return;
      case 'restored':
      case undefined:
        if (reason) {
          const doubtfulUntil = state?.until ?? 0;
          this.states.set(entry, { kind: 'suspected', since: now, doubtfulUntil });
        }
    }
  }

  private updateEjected(
    entry: AgentEntry,
    state: Ejected,
    reason: OutlierReason | undefined,
    now: number,
  ): void {
    if (!reason) {
      this.states.set(entry, { kind: 'restored', until: now + RESTORED_TIME_MS });
      this.reportRestored(entry, 'well');
    } else if (entry.report && !this.hasLostHistory(entry, state, now)) {
      state.reason = reason;
      state.confirmedAt = now;
      state.run = entry.report.run;
      state.targetChanges = entry.report.targetChanges;
    }
  }

  private eject(entry: AgentEntry, reason: OutlierReason, now: number): void {
    const { environment } = this.dependencies;
    const { run = 0, targetChanges = 0 } = entry.report ?? {};
    const trialAt = now + computeTrialInterval(entry) * environment.random();
    const confirmedAt = now;
    this.states.set(entry, {
      kind: 'setAside',
      confirmedAt,
      reason,
      run,
      targetChanges,
      trialAt,
    });
    environment.report(Events.targetSetAside, {
      agent: formatEndpoint(entry.address),
      service: entry.service,
      reason: reason.kind,
      figure: reason.figure,
      median: reason.median,
    });
  }

  private reportRestored(entry: AgentEntry, reason: 'well' | 'replaced'): void {
    this.dependencies.environment.report(Events.targetRestored, {
      agent: formatEndpoint(entry.address),
      service: entry.service,
      reason,
    });
  }
}

/** Milliseconds between trials by one of the balancers that the agent reports to. */
function computeTrialInterval({ report }: AgentEntry): number {
  return TRIAL_INTERVAL_MS * Math.max(1, report?.balancerCount ?? 1);
}

/** The metrics for which a target was ejected, in place of those that its agent has lost. */
function createEjectionMetrics({
  kind,
  figure,
}: OutlierReason): Partial<ComparedTarget<AgentEntry>> {
  switch (kind) {
    case 'failing':
      return { failurePercent: figure };
    case 'slow':
      return { answerTime: figure, answers: MINIMUM_ANSWERS };
  }
}

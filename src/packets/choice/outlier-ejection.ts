/**
 * The targets that this balancer sets aside because they are far worse than their service, and their
 * way back: trials by single flows, then a second in which they count as doubtful.
 *
 * Each balancer concludes by itself, from the reports that all of them get; nothing is passed on.
 */
import { formatEndpoint } from '../../core/endpoint';
import type { Environment } from '../../environment';
import { Events } from '../../logging/events';
import type { AgentDirectory, AgentEntry } from '../agent-directory';
import { MINIMUM_ANSWERS, findOutliers, type ComparedTarget, type OutlierReason } from './outliers';
import { computeReportInterval } from '../report-interval';
import { acceptsNewFlows, type OutlierStatus } from './selection';

/**
 * Comparisons of a service for each report of an agent: every 50 ms with the shortest interval, which
 * is a flow or two of a busy balancer; less often in large fleets, where each has more to compare.
 */
const COMPARISONS_PER_REPORT = 5;
/**
 * Milliseconds between two trials of a target by all balancers together: what fails for good spoils
 * one flow a second, and three answers show that it is well again.
 */
const TRIAL_INTERVAL_MS = 1_000;
/** Milliseconds for which a target that is no longer set aside counts as doubtful. */
const RESTORED_TIME_MS = 1_000;
/**
 * Milliseconds for which a target stays set aside whose agent has restarted and knows nothing of it:
 * as long as an agent remembers the latest failures.
 */
const MAXIMUM_EJECTION_WITHOUT_REPORT_MS = 10_000;

/** A target that is not as usual. */
type OutlierState =
  | Ejected
  /** Worse, and not yet for as long as all others need to report what may have befallen them too. */
  | Suspected
  | { readonly kind: 'restored'; readonly until: number };

interface Suspected {
  readonly kind: 'suspected';
  readonly since: number;
  /** Until when it counts as doubtful, since it was set aside before; 0 for one that was usual. */
  readonly doubtfulUntil: number;
}

interface Ejected {
  readonly kind: 'setAside';
  /** When, and by which figure, it was last seen to be worse. */
  confirmedAt: number;
  reason: OutlierReason;
  /** The run of its agent that told so. */
  run: number;
  targetChanges: number;
  trialAt: number;
}

const USUAL: OutlierStatus = { kind: 'usual' };
const RESTORED: OutlierStatus = { kind: 'restored' };

/** What the judgement works with. */
export interface OutlierEjectionDependencies {
  readonly environment: Environment;
  readonly directory: AgentDirectory;
  /** Targets of a service, in percent, that may be set aside at most; 0 for none. */
  readonly share: number;
}

/** The judgement of one balancer. */
export class OutlierEjection {
  private readonly states = new Map<AgentEntry, OutlierState>();
  /** When each service was last compared. */
  private readonly comparedAt = new Map<string, number>();

  constructor(private readonly dependencies: OutlierEjectionDependencies) {}

  /** Targets that are set aside now. */
  get ejectedCount(): number {
    let ejected = 0;
    for (const { kind } of this.states.values()) {
      ejected += kind === 'setAside' ? 1 : 0;
    }
    return ejected;
  }

  /** Compares the targets of a service, unless it was done a moment ago. */
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

  /** @param mayTry whether a flow is at hand that may be used for a trial */
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

  /** A flow goes to a target that is set aside: the next trial is due a while later. */
  recordTrial(entry: AgentEntry, now: number): void {
    const state = this.states.get(entry);
    if (state?.kind === 'setAside') {
      const jitter = 0.5 + this.dependencies.environment.random();
      state.trialAt = now + computeTrialInterval(entry) * jitter;
    }
  }

  /** Forgets agents that have left, and what is over. */
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

  /** What is suspected of a silent agent has to be seen anew; `review` ends what is set aside. */
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

  /** Another target has taken the place of one that was set aside: it begins as usual. */
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
    const reported = {
      id: entry,
      failurePercent,
      answerTime,
      answers,
      isCold: coldLeft > 0,
      isSetAside,
    };
    return isSetAside && this.hasLostHistory(entry, state, now)
      ? { ...reported, ...createEjectionMetrics(state.reason) }
      : reported;
  }

  /** Whether the agent of a target that was set aside has restarted and has nothing to tell of it. */
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

/** Milliseconds between two trials of a target by one of the balancers that its agent reports to. */
function computeTrialInterval({ report }: AgentEntry): number {
  return TRIAL_INTERVAL_MS * Math.max(1, report?.balancerCount ?? 1);
}

/** The figures by which a target was set aside, in place of those that its agent has forgotten. */
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

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
import { ENOUGH_ANSWERS, findOutliers, type ComparedTarget, type OutlierReason } from './outliers';
import { reportInterval } from '../report-interval';
import { acceptsNewFlows, type Standing } from './selection';

/**
 * Comparisons of a service for each report of an agent: every 50 ms with the shortest interval, which
 * is a flow or two of a busy balancer; less often in large fleets, where each has more to compare.
 */
const REVIEWS_PER_REPORT = 5;
/**
 * Milliseconds between two trials of a target by all balancers together: what fails for good spoils
 * one flow a second, and three answers show that it is well again.
 */
const TRIAL_INTERVAL = 1_000;
/** Milliseconds for which a target that is no longer set aside counts as doubtful. */
const RESTORING_TIME = 1_000;
/**
 * Milliseconds for which a target stays set aside whose agent has restarted and knows nothing of it:
 * as long as an agent remembers the latest failures.
 */
const LONGEST_MEMORY = 10_000;

/** A target that is not as usual. */
type Exception =
  | SetAside
  /** Worse, and not yet for as long as all others need to report what may have befallen them too. */
  | Suspected
  | { readonly kind: 'restored'; readonly until: number };

interface Suspected {
  readonly kind: 'suspected';
  readonly since: number;
  /** Until when it counts as doubtful, since it was set aside before; 0 for one that was usual. */
  readonly doubtfulUntil: number;
}

interface SetAside {
  readonly kind: 'setAside';
  /** When, and by which figure, it was last seen to be worse. */
  confirmedAt: number;
  reason: OutlierReason;
  /** The run of its agent that told so. */
  run: number;
  targetChanges: number;
  trialAt: number;
}

const USUAL: Standing = { kind: 'usual' };
const RESTORED: Standing = { kind: 'restored' };

/** What the judgement works with. */
export interface SetAsideDependencies {
  readonly environment: Environment;
  readonly directory: AgentDirectory;
  /** Targets of a service, in percent, that may be set aside at most; 0 for none. */
  readonly share: number;
}

/** The judgement of one balancer. */
export class SetAsideTargets {
  private readonly exceptions = new Map<AgentEntry, Exception>();
  /** When each service was last compared. */
  private readonly reviewedAt = new Map<string, number>();

  constructor(private readonly dependencies: SetAsideDependencies) {}

  /** Targets that are set aside now. */
  get count(): number {
    let count = 0;
    for (const { kind } of this.exceptions.values()) {
      count += kind === 'setAside' ? 1 : 0;
    }
    return count;
  }

  /** Compares the targets of a service, unless it was done a moment ago. */
  review(service: string, now: number): void {
    const { directory, share } = this.dependencies;
    const interval = reportInterval(directory.size) / REVIEWS_PER_REPORT;
    if (share === 0 || now - (this.reviewedAt.get(service) ?? -Infinity) < interval) {
      return;
    }
    this.reviewedAt.set(service, now);
    const entries = directory
      .ofServices([service])
      .filter((entry) => acceptsNewFlows(entry) && directory.isHeard(entry, now));
    entries.forEach((entry) => this.forgetReplaced(entry));
    const outliers = findOutliers(
      entries.map((entry) => this.readFigures(entry, now)),
      share,
    );
    for (const entry of entries) {
      this.conclude(entry, outliers.get(entry), now);
    }
  }

  /** @param mayTry whether a flow is at hand that may be used for a trial */
  standingOf(entry: AgentEntry, mayTry: boolean, now: number): Standing {
    const exception = this.exceptions.get(entry);
    switch (exception?.kind) {
      case undefined:
        return USUAL;
      case 'suspected':
        return now < exception.doubtfulUntil ? RESTORED : USUAL;
      case 'setAside':
        return { kind: 'setAside', isTrialDue: mayTry && now >= exception.trialAt };
      case 'restored':
        return now < exception.until ? RESTORED : USUAL;
    }
  }

  /** A flow goes to a target that is set aside: the next trial is due a while later. */
  noteTrial(entry: AgentEntry, now: number): void {
    const exception = this.exceptions.get(entry);
    if (exception?.kind === 'setAside') {
      const spread = 0.5 + this.dependencies.environment.random();
      exception.trialAt = now + trialIntervalOf(entry) * spread;
    }
  }

  /** Forgets agents that have left, and what is over. */
  expire(now: number): void {
    const { directory } = this.dependencies;
    this.reviewedAt.forEach((at, service) => {
      if (now - at > LONGEST_MEMORY) {
        this.reviewedAt.delete(service);
      }
    });
    for (const [entry, exception] of this.exceptions) {
      if (this.isOver(entry, exception, now) || directory.find(entry.address) !== entry) {
        this.exceptions.delete(entry);
      }
    }
  }

  /** What is suspected of a silent agent has to be seen anew; `review` ends what is set aside. */
  private isOver(entry: AgentEntry, exception: Exception, now: number): boolean {
    switch (exception.kind) {
      case 'setAside':
        return false;
      case 'suspected':
        return !this.dependencies.directory.isHeard(entry, now);
      case 'restored':
        return now >= exception.until;
    }
  }

  /** Another target has taken the place of one that was set aside: it begins as usual. */
  private forgetReplaced(entry: AgentEntry): void {
    const exception = this.exceptions.get(entry);
    const { report } = entry;
    if (exception?.kind !== 'setAside' || !report) {
      return;
    }
    if (exception.run === report.run && exception.targetChanges !== report.targetChanges) {
      this.exceptions.delete(entry);
      this.tellRestored(entry, 'replaced');
    }
  }

  private readFigures(entry: AgentEntry, now: number): ComparedTarget<AgentEntry> {
    const exception = this.exceptions.get(entry);
    const isSetAside = exception?.kind === 'setAside';
    const { failurePercent = 0, answerTime = 0, answers = 0, coldLeft = 0 } = entry.report ?? {};
    const told = {
      id: entry,
      failurePercent,
      answerTime,
      answers,
      isCold: coldLeft > 0,
      isSetAside,
    };
    return isSetAside && this.isForgetful(entry, exception, now)
      ? { ...told, ...figuresOf(exception.reason) }
      : told;
  }

  /** Whether the agent of a target that was set aside has restarted and has nothing to tell of it. */
  private isForgetful({ report }: AgentEntry, exception: SetAside, now: number): boolean {
    const hasRestarted = report !== undefined && report.run !== exception.run;
    const knowsTarget = report !== undefined && report.answers >= ENOUGH_ANSWERS;
    return hasRestarted && !knowsTarget && now - exception.confirmedAt < LONGEST_MEMORY;
  }

  private conclude(entry: AgentEntry, reason: OutlierReason | undefined, now: number): void {
    const exception = this.exceptions.get(entry);
    switch (exception?.kind) {
      case 'setAside':
        this.concludeSetAside(entry, exception, reason, now);
        return;
      case 'suspected':
        if (!reason) {
          this.exceptions.delete(entry);
        } else if (now - exception.since >= reportInterval(this.dependencies.directory.size)) {
          this.setAside(entry, reason, now);
        }
        return;
      case 'restored':
      case undefined:
        if (reason) {
          const doubtfulUntil = exception?.until ?? 0;
          this.exceptions.set(entry, { kind: 'suspected', since: now, doubtfulUntil });
        }
    }
  }

  private concludeSetAside(
    entry: AgentEntry,
    exception: SetAside,
    reason: OutlierReason | undefined,
    now: number,
  ): void {
    if (!reason) {
      this.exceptions.set(entry, { kind: 'restored', until: now + RESTORING_TIME });
      this.tellRestored(entry, 'well');
    } else if (entry.report && !this.isForgetful(entry, exception, now)) {
      exception.reason = reason;
      exception.confirmedAt = now;
      exception.run = entry.report.run;
      exception.targetChanges = entry.report.targetChanges;
    }
  }

  private setAside(entry: AgentEntry, reason: OutlierReason, now: number): void {
    const { environment } = this.dependencies;
    const { run = 0, targetChanges = 0 } = entry.report ?? {};
    const trialAt = now + trialIntervalOf(entry) * environment.random();
    const confirmedAt = now;
    this.exceptions.set(entry, {
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

  private tellRestored(entry: AgentEntry, reason: 'well' | 'replaced'): void {
    this.dependencies.environment.report(Events.targetRestored, {
      agent: formatEndpoint(entry.address),
      service: entry.service,
      reason,
    });
  }
}

/** Milliseconds between two trials of a target by one of the balancers that its agent reports to. */
function trialIntervalOf({ report }: AgentEntry): number {
  return TRIAL_INTERVAL * Math.max(1, report?.balancerCount ?? 1);
}

/** The figures by which a target was set aside, in place of those that its agent has forgotten. */
function figuresOf({ kind, figure }: OutlierReason): Partial<ComparedTarget<AgentEntry>> {
  switch (kind) {
    case 'failing':
      return { failurePercent: figure };
    case 'slow':
      return { answerTime: figure, answers: ENOUGH_ANSWERS };
  }
}

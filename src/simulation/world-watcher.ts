/** Watches a simulated world and judges it by the users' promises. */
import type { TableRow } from '../core/table';
import { isTransferContinuation, isRequest, parseCoap, getUriPath } from '../coap/coap-message';
import type { CallerObserver } from '../standins/caller-statistics';
import { InvariantCheckers } from './invariant-checkers';
import type { SimulatedBalancer } from './simulated-balancer';
import type { SimulatedTarget } from './simulated-target';
import type { SimulatedWorld } from './simulated-world';

const SAMPLE_INTERVAL = 100;
/** A leaving back end may get new work for so long: "a few seconds". */
const LEAVING_GRACE = 4_000;
/** An accepted table must be in force everywhere within this. */
const TABLE_LIMIT = 4_000;
/** A balancer that started, thawed or was cut off within this is not judged on a table. */
const BALANCER_GRACE = 8_000;
/** An unplanned fault may still show in what callers see after this long. */
const FAULT_AFTERMATH = 45_000;

interface AcceptedTable {
  readonly service: string;
  readonly revision: number;
  readonly acceptedAt: number;
  judged: boolean;
  /** Milliseconds from acceptance until every judged balancer had it. */
  spreadAfter: number | undefined;
}

/** Time-weighted imbalance of one service. */
export interface ImbalanceSummary {
  readonly mean: number;
  readonly p99: number;
}

/** The watcher of one world. */
export class WorldWatcher implements CallerObserver {
  readonly checkers = new InvariantCheckers();
  private readonly accepted: AcceptedTable[] = [];
  private readonly imbalances = new Map<string, number[]>();
  private readonly busyImbalances = new Map<string, number[]>();
  /** Since when a target is leaving. */
  private readonly leavingSince = new Map<string, number>();
  private readonly revisionsSeen = new Map<string, number>();
  private readonly disturbedAt = new Map<string, number>();
  private nextAcceptance: (() => void) | undefined;
  private lastUnplannedAt = -Infinity;
  private controlBytesAtStart = 0;
  private startedAt = 0;

  constructor(private readonly world: SimulatedWorld) {}

  /** Begins to sample. */
  start(): void {
    this.startedAt = this.world.clock.now;
    this.controlBytesAtStart = this.world.controlBytes();
    this.sample();
  }

  /** An unplanned fault begins or ends; `target` or `balancer` is what it touches, if one. */
  unplannedFault(touched?: SimulatedTarget | SimulatedBalancer): void {
    this.lastUnplannedAt = this.world.clock.now;
    if (touched) {
      this.disturbedAt.set(touched.name, this.world.clock.now);
      if ('agent' in touched) {
        touched.touchedAt = this.world.clock.now;
      }
    }
  }

  /** Every balancer is disturbed, as by a cut between zones. */
  networkFault(): void {
    this.lastUnplannedAt = this.world.clock.now;
    this.world.balancers.forEach((balancer) =>
      this.disturbedAt.set(balancer.name, this.world.clock.now),
    );
    this.world.targets.forEach((target) => (target.touchedAt = this.world.clock.now));
  }

  /** A target shows a sign of leaving. */
  leaving(target: SimulatedTarget): void {
    if (!this.leavingSince.has(target.label)) {
      this.leavingSince.set(target.label, this.world.clock.now);
    }
  }

  /** A target no longer leaves. */
  returned(target: SimulatedTarget): void {
    this.leavingSince.delete(target.label);
  }

  /** A datagram reached a back end. */
  workBegan(target: SimulatedTarget, datagram: Buffer): void {
    const parsed = parseCoap(datagram);
    if (target.service.protocol !== 'coap' || parsed.none || !isRequest(parsed.val)) {
      return;
    }
    const path = getUriPath(parsed.val);
    if (path === 'load') {
      return;
    }
    this.judgeService(target, path, parsed.val.payload.toString());
    const since = this.leavingSince.get(target.label);
    if (since === undefined || isTransferContinuation(parsed.val)) {
      return;
    }
    const late = this.world.clock.now - since;
    if (late > LEAVING_GRACE && !this.recentlyTouched(target)) {
      this.checkers.violate(
        'leaving-gets-no-new-work',
        `${target.label} got ${path} ${late.toFixed(0)} ms after its sign of leaving`,
      );
    }
  }

  /** Calls back once, in the moment in which the next table is accepted. */
  onNextAcceptance(action: () => void): void {
    this.nextAcceptance = action;
  }

  /**
   * An edit is submitted: from now on it may be in force, so targets that it brings
   * back are no longer judged as leaving. Returns the way to undo that for a refused edit.
   */
  tableSubmitted(service: string, rows: readonly TableRow[]): () => void {
    const before = new Map(this.leavingSince);
    for (const target of this.world.targetsOf(service)) {
      if (rows.some((row) => row.target === target.name && row.share > 0)) {
        this.returned(target);
      }
    }
    return () => this.restoreLeaving(service, before);
  }

  /** After a refused edit: targets that the store's table does not serve are leaving as before. */
  private restoreLeaving(service: string, before: ReadonlyMap<string, number>): void {
    const rows = this.world.store.read(service)?.table.rows ?? [];
    for (const target of this.world.targetsOf(service)) {
      const since = before.get(target.label);
      const serves = rows.some((row) => row.target === target.name && row.share > 0);
      if (since !== undefined && !serves && !this.leavingSince.has(target.label)) {
        this.leavingSince.set(target.label, since);
      }
    }
  }

  tableAccepted(service: string, revision: number, rows: readonly TableRow[]): void {
    const acceptedAt = this.world.clock.now;
    this.accepted.push({ service, revision, acceptedAt, judged: false, spreadAfter: undefined });
    for (const target of this.world.targetsOf(service)) {
      const row = rows.find((one) => one.target === target.name);
      if (!row || row.share === 0) {
        this.leaving(target);
      } else {
        this.returned(target);
      }
    }
    this.nextAcceptance?.();
    this.nextAcceptance = undefined;
  }

  flowBroken(reason: string, service: string, target: string): void {
    const host = this.world.targetsOf(service).find((one) => one.name === target);
    const excused = host ? this.recentlyTouched(host) : this.unplannedLately();
    if (!excused) {
      this.checkers.violate(
        'established-flow-survives-planned-change',
        `${reason} at ${service}/${target} at ${this.world.clock.now.toFixed(0)} ms`,
      );
    }
  }

  requestFailed(outcome: 'unknown' | 'unanswered'): void {
    if (!this.unplannedLately()) {
      const what = `${outcome} at ${this.world.clock.now.toFixed(0)} ms`;
      this.checkers.violate('planned-stop-cuts-nothing', what);
    }
  }

  answerWrong(what: string): void {
    this.checkers.violate('whole-answer-to-own-request', what);
  }

  /** A planned stop begins. */
  plannedStop(): void {
    this.checkers.judge('planned-stop-cuts-nothing');
  }

  /** Judges what can only be judged at the end. */
  conclude(): void {
    const { statistics, record } = this.world;
    this.checkers.judge('established-flow-survives-planned-change', statistics.flowsOpened);
    this.checkers.judge('right-service-only', statistics.answersWhole + statistics.notifications);
    this.checkers.judge('whole-answer-to-own-request', statistics.answersWhole);
    this.checkers.judge('not-run-is-true', record.refusals);
    this.checkers.judge('at-most-once', record.reportsRun);
    if (statistics.misdelivered > 0) {
      this.checkers.violate('right-service-only', `${statistics.misdelivered} foreign answers`);
    }
    record.falselyRefused().forEach((id) => this.checkers.violate('not-run-is-true', id));
    record.doubled().forEach((id) => this.checkers.violate('at-most-once', id));
  }

  /** Time-weighted imbalance of flows per share, per service. */
  imbalance(): Record<string, ImbalanceSummary> {
    return summarize(this.imbalances);
  }

  /** Time-weighted imbalance of busy slots per slot, per service. */
  busyImbalance(): Record<string, ImbalanceSummary> {
    return summarize(this.busyImbalances);
  }

  /** Control bytes sent per node and second since the start. */
  controlBytesPerNodePerSecond(): number {
    const seconds = (this.world.clock.now - this.startedAt) / 1_000;
    const nodes = this.world.balancers.length + this.world.targets.length;
    return (this.world.controlBytes() - this.controlBytesAtStart) / nodes / seconds;
  }

  /** Longest time an accepted table took to reach every judged balancer, in seconds. */
  tableSecondsToAll(): number {
    const later = this.accepted.filter((table) => table.acceptedAt > this.startedAt);
    const times = later.map((table) => table.spreadAfter ?? 0);
    return Math.max(0, ...times) / 1_000;
  }

  private sample(): void {
    this.sampleImbalance();
    this.checkRevisions();
    this.checkAcceptedTables();
    this.judgeLeaving();
    this.world.clock.schedule(SAMPLE_INTERVAL, () => this.sample());
  }

  /** Each target that has been leaving beyond the grace is one case. */
  private judgeLeaving(): void {
    for (const since of this.leavingSince.values()) {
      const beyond = this.world.clock.now - since - LEAVING_GRACE;
      if (beyond > 0 && beyond <= SAMPLE_INTERVAL) {
        this.checkers.judge('leaving-gets-no-new-work');
      }
    }
  }

  private judgeService(target: SimulatedTarget, path: string, payload: string): void {
    const own = target.service.name;
    const named = path.includes(own) || payload.startsWith(own);
    if (!named) {
      this.checkers.violate('right-service-only', `${target.label} got ${path} ${payload}`);
    }
  }

  private recentlyTouched(target: SimulatedTarget): boolean {
    return this.world.clock.now - target.touchedAt < FAULT_AFTERMATH;
  }

  private unplannedLately(): boolean {
    return this.world.clock.now - this.lastUnplannedAt < FAULT_AFTERMATH;
  }

  private sampleImbalance(): void {
    for (const { name } of this.world.options.deployment.services) {
      const loads = this.loadsOf(name);
      push(this.imbalances, name, largestOverMean(loads.map(({ flows, share }) => [flows, share])));
      push(
        this.busyImbalances,
        name,
        largestOverMean(loads.map(({ busy, slots }) => [busy, slots])),
      );
    }
  }

  private loadsOf(
    service: string,
  ): { flows: number; share: number; busy: number; slots: number }[] {
    const newest = this.world
      .runningBalancers()
      .map((balancer) => balancer.node.distribution.cache.get(service))
      .reduce((a, b) => ((b?.revision ?? 0) > (a?.revision ?? 0) ? b : a), undefined);
    return (newest?.rows ?? [])
      .filter((row) => row.share > 0)
      .flatMap(({ target: name, share, slots }) => {
        const target = this.world.targetsOf(service).find((one) => one.name === name);
        if (!target?.isRunning) {
          return [];
        }
        const { flows, busySlots } = target.agent.statistics;
        return [{ flows, share, busy: busySlots, slots }];
      });
  }

  /** No balancer's table ever goes back while it runs. */
  private checkRevisions(): void {
    for (const balancer of this.world.runningBalancers()) {
      for (const table of balancer.node.distribution.cache.listTables()) {
        const key = `${balancer.name}@${balancer.startedAt}/${table.service}`;
        const seen = this.revisionsSeen.get(key) ?? 0;
        if (table.revision < seen) {
          this.checkers.violate('accepted-table-in-force', `${key} went back from ${seen}`);
        }
        this.revisionsSeen.set(key, table.revision);
      }
    }
  }

  private checkAcceptedTables(): void {
    const { now } = this.world.clock;
    for (const table of this.accepted.filter((one) => !one.judged)) {
      const behind = this.judgedBalancers().filter((balancer) => {
        const known = balancer.node.distribution.cache.get(table.service);
        return (known?.revision ?? 0) < table.revision;
      });
      const elapsed = now - table.acceptedAt;
      if (behind.length === 0) {
        table.spreadAfter ??= elapsed;
      }
      if (elapsed >= TABLE_LIMIT) {
        table.judged = true;
        this.checkers.judge('accepted-table-in-force');
        behind.forEach((balancer) =>
          this.checkers.violate(
            'accepted-table-in-force',
            `${balancer.name} lacks ${table.service} revision ${table.revision} after ${elapsed.toFixed(0)} ms`,
          ),
        );
      }
    }
  }

  /** Balancers that run undisturbed. */
  private judgedBalancers(): SimulatedBalancer[] {
    const { now } = this.world.clock;
    return this.world.runningBalancers().filter((balancer) => {
      const disturbed = this.disturbedAt.get(balancer.name) ?? -Infinity;
      return now - Math.max(disturbed, balancer.startedAt) > BALANCER_GRACE;
    });
  }
}

function push(samples: Map<string, number[]>, name: string, value: number | undefined): void {
  if (value === undefined) {
    return;
  }
  const known = samples.get(name);
  if (known) {
    known.push(value);
  } else {
    samples.set(name, [value]);
  }
}

/** Largest over mean of amount per weight; undefined when there is nothing. */
function largestOverMean(loads: readonly (readonly [number, number])[]): number | undefined {
  const amount = loads.reduce((sum, [value]) => sum + value, 0);
  const weight = loads.reduce((sum, [, each]) => sum + each, 0);
  if (amount === 0 || weight === 0) {
    return undefined;
  }
  return Math.max(...loads.map(([value, each]) => value / each)) / (amount / weight);
}

function summarize(
  samples: ReadonlyMap<string, readonly number[]>,
): Record<string, ImbalanceSummary> {
  return Object.fromEntries(
    [...samples].map(([name, values]) => {
      const sorted = [...values].sort((a, b) => a - b);
      const mean = values.reduce((sum, value) => sum + value, 0) / values.length;
      return [name, { mean, p99: sorted[Math.floor(sorted.length * 0.99)] ?? mean }];
    }),
  );
}

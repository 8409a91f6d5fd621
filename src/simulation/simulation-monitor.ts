/** Observes a simulation and checks the invariants guaranteed to users. */
import type { TableRow } from '../core/table';
import { isTransferContinuation, isRequest, parseCoap, getUriPath } from '../coap/coap-message';
import type { CallerObserver } from '../standins/caller-statistics';
import { InvariantCheckers } from './invariant-checkers';
import type { SimulatedBalancer } from './simulated-balancer';
import type { SimulatedTarget } from './simulated-target';
import type { Simulation } from './simulation';

const SAMPLE_INTERVAL_MS = 100;
/** A leaving back end may get new work for this long: "a few seconds" in the guarantee. */
const LEAVING_GRACE_MS = 4_000;
/** An accepted table must be active on all balancers within this time. */
const TABLE_ACTIVATION_LIMIT_MS = 4_000;
/** Tables are not checked on balancers that started, resumed or were cut off within this time. */
const BALANCER_GRACE_MS = 8_000;
/** Callers may see effects of an unplanned fault for this long. */
const FAULT_GRACE_MS = 45_000;

interface AcceptedTable {
  readonly service: string;
  readonly revision: number;
  readonly acceptedAt: number;
  isChecked: boolean;
  /** Milliseconds from acceptance until every checked balancer had it. */
  propagationTime: number | undefined;
}

/** Time-weighted imbalance of one service. */
export interface ImbalanceSummary {
  readonly mean: number;
  readonly p99: number;
}

/** Monitor of one simulation. */
export class SimulationMonitor implements CallerObserver {
  readonly checkers = new InvariantCheckers();
  private readonly acceptedTables: AcceptedTable[] = [];
  private readonly imbalances = new Map<string, number[]>();
  private readonly busyImbalances = new Map<string, number[]>();
  /** Time at which a target began to leave, by label. */
  private readonly leavingSince = new Map<string, number>();
  private readonly highestRevisions = new Map<string, number>();
  private readonly lastFaultAt = new Map<string, number>();
  private nextAcceptanceAction: (() => void) | undefined;
  private lastUnplannedFaultAt = -Infinity;
  private controlBytesAtStart = 0;
  private startedAt = 0;

  constructor(private readonly simulation: Simulation) {}

  /** Starts periodic sampling. */
  start(): void {
    this.startedAt = this.simulation.clock.now;
    this.controlBytesAtStart = this.simulation.countControlBytes();
    this.sample();
  }

  /** Records the start or end of an unplanned fault and the target or balancer it affects. */
  recordUnplannedFault(affected?: SimulatedTarget | SimulatedBalancer): void {
    this.lastUnplannedFaultAt = this.simulation.clock.now;
    if (affected) {
      this.lastFaultAt.set(affected.name, this.simulation.clock.now);
      if ('agent' in affected) {
        affected.lastFaultAt = this.simulation.clock.now;
      }
    }
  }

  /** Records a fault that affects all balancers and targets, such as a zone partition. */
  recordNetworkFault(): void {
    this.lastUnplannedFaultAt = this.simulation.clock.now;
    this.simulation.balancers.forEach((balancer) =>
      this.lastFaultAt.set(balancer.name, this.simulation.clock.now),
    );
    this.simulation.targets.forEach((target) => (target.lastFaultAt = this.simulation.clock.now));
  }

  /** Records that a target begins to leave. */
  recordLeaving(target: SimulatedTarget): void {
    if (!this.leavingSince.has(target.label)) {
      this.leavingSince.set(target.label, this.simulation.clock.now);
    }
  }

  /** Records that a target is no longer leaving. */
  recordReturn(target: SimulatedTarget): void {
    this.leavingSince.delete(target.label);
  }

  /** Checks a datagram that reached a back end. */
  recordBackendDatagram(target: SimulatedTarget, datagram: Buffer): void {
    const parsed = parseCoap(datagram);
    if (target.service.protocol !== 'coap' || parsed.none || !isRequest(parsed.val)) {
      return;
    }
    const path = getUriPath(parsed.val);
    if (path === 'load') {
      return;
    }
    this.checkService(target, path, parsed.val.payload.toString());
    const since = this.leavingSince.get(target.label);
    if (since === undefined || isTransferContinuation(parsed.val)) {
      return;
    }
    const late = this.simulation.clock.now - since;
    if (late > LEAVING_GRACE_MS && !this.hasRecentFault(target)) {
      this.checkers.recordViolation(
        'leaving-gets-no-new-work',
        `${target.label} got ${path} ${late.toFixed(0)} ms after it began to leave`,
      );
    }
  }

  /** Calls back once, at the time the next table is accepted. */
  onNextAcceptance(action: () => void): void {
    this.nextAcceptanceAction = action;
  }

  /**
   * Records a submitted edit: it may be active from now on, so targets that it restores
   * no longer count as leaving. Returns a function that undoes this for a refused edit.
   */
  recordTableSubmitted(service: string, rows: readonly TableRow[]): () => void {
    const before = new Map(this.leavingSince);
    for (const target of this.simulation.listTargets(service)) {
      if (rows.some((row) => row.target === target.name && row.share > 0)) {
        this.recordReturn(target);
      }
    }
    return () => this.restoreLeaving(service, before);
  }

  /** After a refused edit, marks targets without a share in the stored table as leaving again. */
  private restoreLeaving(service: string, before: ReadonlyMap<string, number>): void {
    const rows = this.simulation.store.read(service)?.table.rows ?? [];
    for (const target of this.simulation.listTargets(service)) {
      const since = before.get(target.label);
      const serves = rows.some((row) => row.target === target.name && row.share > 0);
      if (since !== undefined && !serves && !this.leavingSince.has(target.label)) {
        this.leavingSince.set(target.label, since);
      }
    }
  }

  recordTableAccepted(service: string, revision: number, rows: readonly TableRow[]): void {
    const acceptedAt = this.simulation.clock.now;
    this.acceptedTables.push({
      service,
      revision,
      acceptedAt,
      isChecked: false,
      propagationTime: undefined,
    });
    for (const target of this.simulation.listTargets(service)) {
      const row = rows.find((one) => one.target === target.name);
      if (!row || row.share === 0) {
        this.recordLeaving(target);
      } else {
        this.recordReturn(target);
      }
    }
    this.nextAcceptanceAction?.();
    this.nextAcceptanceAction = undefined;
  }

  recordBrokenFlow(reason: string, service: string, target: string): void {
    const host = this.simulation.listTargets(service).find((one) => one.name === target);
    const excused = host ? this.hasRecentFault(host) : this.hasRecentUnplannedFault();
    if (!excused) {
      this.checkers.recordViolation(
        'established-flow-survives-planned-change',
        `${reason} at ${service}/${target} at ${this.simulation.clock.now.toFixed(0)} ms`,
      );
    }
  }

  recordFailedRequest(outcome: 'unknown' | 'unanswered'): void {
    if (!this.hasRecentUnplannedFault()) {
      const what = `${outcome} at ${this.simulation.clock.now.toFixed(0)} ms`;
      this.checkers.recordViolation('planned-stop-cuts-nothing', what);
    }
  }

  recordWrongAnswer(what: string): void {
    this.checkers.recordViolation('whole-answer-to-own-request', what);
  }

  /** Records the start of a planned stop. */
  recordPlannedStop(): void {
    this.checkers.recordChecks('planned-stop-cuts-nothing');
  }

  /** Runs the checks that need the whole run. */
  runFinalChecks(): void {
    const { statistics, record } = this.simulation;
    this.checkers.recordChecks('established-flow-survives-planned-change', statistics.flowsOpened);
    this.checkers.recordChecks(
      'right-service-only',
      statistics.answersWhole + statistics.notifications,
    );
    this.checkers.recordChecks('whole-answer-to-own-request', statistics.answersWhole);
    this.checkers.recordChecks('not-run-is-true', record.refusals);
    this.checkers.recordChecks('at-most-once', record.reportsRun);
    if (statistics.misdelivered > 0) {
      this.checkers.recordViolation(
        'right-service-only',
        `${statistics.misdelivered} foreign answers`,
      );
    }
    record
      .listFalselyRefused()
      .forEach((id) => this.checkers.recordViolation('not-run-is-true', id));
    record.listDuplicateRuns().forEach((id) => this.checkers.recordViolation('at-most-once', id));
  }

  /** Time-weighted imbalance of flows per share, per service. */
  summarizeImbalance(): Record<string, ImbalanceSummary> {
    return summarize(this.imbalances);
  }

  /** Time-weighted imbalance of busy slots per slot, per service. */
  summarizeBusyImbalance(): Record<string, ImbalanceSummary> {
    return summarize(this.busyImbalances);
  }

  /** Control bytes sent per node and second since the start. */
  computeControlBytesPerNodePerSecond(): number {
    const seconds = (this.simulation.clock.now - this.startedAt) / 1_000;
    const nodes = this.simulation.balancers.length + this.simulation.targets.length;
    return (this.simulation.countControlBytes() - this.controlBytesAtStart) / nodes / seconds;
  }

  /** Maximum time for an accepted table to reach every checked balancer, in seconds. */
  computeTableSecondsToAll(): number {
    const later = this.acceptedTables.filter((table) => table.acceptedAt > this.startedAt);
    const times = later.map((table) => table.propagationTime ?? 0);
    return Math.max(0, ...times) / 1_000;
  }

  private sample(): void {
    this.sampleImbalance();
    this.checkRevisions();
    this.checkAcceptedTables();
    this.checkLeaving();
    this.simulation.clock.schedule(SAMPLE_INTERVAL_MS, () => this.sample());
  }

  /** Counts one case for each target whose grace period has just ended. */
  private checkLeaving(): void {
    for (const since of this.leavingSince.values()) {
      const beyond = this.simulation.clock.now - since - LEAVING_GRACE_MS;
      if (beyond > 0 && beyond <= SAMPLE_INTERVAL_MS) {
        this.checkers.recordChecks('leaving-gets-no-new-work');
      }
    }
  }

  private checkService(target: SimulatedTarget, path: string, payload: string): void {
    const own = target.service.name;
    const named = path.includes(own) || payload.startsWith(own);
    if (!named) {
      this.checkers.recordViolation('right-service-only', `${target.label} got ${path} ${payload}`);
    }
  }

  private hasRecentFault(target: SimulatedTarget): boolean {
    return this.simulation.clock.now - target.lastFaultAt < FAULT_GRACE_MS;
  }

  private hasRecentUnplannedFault(): boolean {
    return this.simulation.clock.now - this.lastUnplannedFaultAt < FAULT_GRACE_MS;
  }

  private sampleImbalance(): void {
    for (const { name } of this.simulation.options.deployment.services) {
      const loads = this.listLoads(name);
      addSample(
        this.imbalances,
        name,
        computeLargestOverMean(loads.map(({ flows, share }) => [flows, share])),
      );
      addSample(
        this.busyImbalances,
        name,
        computeLargestOverMean(loads.map(({ busy, slots }) => [busy, slots])),
      );
    }
  }

  private listLoads(
    service: string,
  ): { flows: number; share: number; busy: number; slots: number }[] {
    const newest = this.simulation
      .listRunningBalancers()
      .map((balancer) => balancer.node.distribution.cache.get(service))
      .reduce((a, b) => ((b?.revision ?? 0) > (a?.revision ?? 0) ? b : a), undefined);
    return (newest?.rows ?? [])
      .filter((row) => row.share > 0)
      .flatMap(({ target: name, share, slots }) => {
        const target = this.simulation.listTargets(service).find((one) => one.name === name);
        if (!target?.isRunning) {
          return [];
        }
        const { flows, busySlots } = target.agent.statistics;
        return [{ flows, share, busy: busySlots, slots }];
      });
  }

  /** Checks that table revisions never decrease while a balancer runs. */
  private checkRevisions(): void {
    for (const balancer of this.simulation.listRunningBalancers()) {
      for (const table of balancer.node.distribution.cache.listTables()) {
        const key = `${balancer.name}@${balancer.startedAt}/${table.service}`;
        const seen = this.highestRevisions.get(key) ?? 0;
        if (table.revision < seen) {
          this.checkers.recordViolation(
            'accepted-table-in-force',
            `${key} went back from revision ${seen}`,
          );
        }
        this.highestRevisions.set(key, table.revision);
      }
    }
  }

  private checkAcceptedTables(): void {
    const { now } = this.simulation.clock;
    for (const table of this.acceptedTables.filter((one) => !one.isChecked)) {
      const behind = this.listCheckedBalancers().filter((balancer) => {
        const known = balancer.node.distribution.cache.get(table.service);
        return (known?.revision ?? 0) < table.revision;
      });
      const elapsed = now - table.acceptedAt;
      if (behind.length === 0) {
        table.propagationTime ??= elapsed;
      }
      if (elapsed >= TABLE_ACTIVATION_LIMIT_MS) {
        table.isChecked = true;
        this.checkers.recordChecks('accepted-table-in-force');
        behind.forEach((balancer) =>
          this.checkers.recordViolation(
            'accepted-table-in-force',
            `${balancer.name} lacks ${table.service} revision ${table.revision} after ${elapsed.toFixed(0)} ms`,
          ),
        );
      }
    }
  }

  /** Running balancers without a recent start or fault. */
  private listCheckedBalancers(): SimulatedBalancer[] {
    const { now } = this.simulation.clock;
    return this.simulation.listRunningBalancers().filter((balancer) => {
      const disturbed = this.lastFaultAt.get(balancer.name) ?? -Infinity;
      return now - Math.max(disturbed, balancer.startedAt) > BALANCER_GRACE_MS;
    });
  }
}

function addSample(samples: Map<string, number[]>, name: string, value: number | undefined): void {
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

/** Maximum over mean of amount per weight; undefined when either sum is 0. */
function computeLargestOverMean(loads: readonly (readonly [number, number])[]): number | undefined {
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

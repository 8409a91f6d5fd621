/** Runs one scenario in one simulation and reports the results of its invariant checks. */
import type { SafeguardName } from '../agent/safeguards';
import { addBeaconService, type Deployment } from '../standins/deployments';
import type { Design } from './baselines';
import { FaultInjector } from './faults';
import type { CheckerOutcome } from './invariant-checkers';
import type { Scenario } from './scenarios';
import { Simulation } from './simulation';
import type { ImbalanceSummary } from './simulation-monitor';

/** Time after the end of the scenario for requests in flight to finish. */
const SETTLING_TIME_MS = 5_000;

/** Parameters of one simulation run. */
export interface SimulationRequest {
  readonly scenario: Scenario;
  readonly deployment: Deployment;
  readonly seed: number;
  readonly design: Design;
  readonly without: readonly SafeguardName[];
  readonly trace?: (line: string) => void;
}

/** Report of one run; also the shape of the JSON line. */
export interface SimulationReport {
  readonly scenario: string;
  readonly deployment: string;
  readonly seed: number;
  readonly design: Design;
  readonly without: readonly SafeguardName[];
  readonly faults: Readonly<Record<string, number>>;
  readonly violations: Readonly<Record<string, number>>;
  readonly checked: Readonly<Record<string, number>>;
  readonly examples: readonly string[];
  readonly flowsOpened: number;
  readonly flowsBroken: number;
  readonly imbalance: Readonly<Record<string, ImbalanceSummary>>;
  readonly busyImbalance: Readonly<Record<string, ImbalanceSummary>>;
  readonly requestsSent: number;
  readonly answersWhole: number;
  readonly refusedNotRun: number;
  readonly outcomeUnknown: number;
  readonly unanswered: number;
  readonly doubled: number;
  readonly latencyMs: unknown;
  readonly controlBytesPerNodePerSecond: number;
  readonly tableSecondsToAll: number;
  readonly virtualSeconds: number;
  readonly digest: string;
}

/** Runs a simulation to its end and returns the report. */
export function runSimulation(request: SimulationRequest): SimulationReport {
  const { scenario, deployment, seed, design, without, trace } = request;
  const simulation = new Simulation({
    deployment: addBeaconService(deployment),
    seed,
    design,
    without,
    ...(trace ? { trace } : {}),
  });
  const faults = new FaultInjector(simulation);
  simulation.start();
  simulation.startCallers();
  const startedAt = simulation.clock.now;
  for (const { at, name, duration } of scenario.drawSchedule(simulation.random)) {
    simulation.clock.schedule(at, () => {
      simulation.writeTrace(`FAULT ${name} for ${duration.toFixed(0)} ms`);
      faults.apply(name, duration);
    });
  }
  simulation.runUntil(startedAt + scenario.length + SETTLING_TIME_MS);
  const digest = simulation.finish();
  simulation.monitor.runFinalChecks();
  return createReport(request, simulation, faults, digest);
}

/** Sums the violations of all checkers in a report. */
export function countViolations(report: SimulationReport): number {
  return Object.values(report.violations).reduce((sum, count) => sum + count, 0);
}

function createReport(
  request: SimulationRequest,
  simulation: Simulation,
  faults: FaultInjector,
  digest: string,
): SimulationReport {
  const { statistics, record, monitor } = simulation;
  const outcomes = Object.entries<CheckerOutcome>(monitor.checkers.listOutcomes());
  return {
    scenario: request.scenario.name,
    deployment: request.deployment.name,
    seed: request.seed,
    design: request.design,
    without: request.without,
    faults: Object.fromEntries(faults.counts),
    violations: Object.fromEntries(outcomes.map(([name, outcome]) => [name, outcome.violations])),
    checked: Object.fromEntries(outcomes.map(([name, outcome]) => [name, outcome.judged])),
    examples: outcomes.flatMap(([name, outcome]) =>
      outcome.examples.map((text) => `${name}: ${text}`),
    ),
    flowsOpened: statistics.flowsOpened,
    flowsBroken: statistics.flowsBroken,
    imbalance: monitor.summarizeImbalance(),
    busyImbalance: monitor.summarizeBusyImbalance(),
    requestsSent: statistics.requestsSent,
    answersWhole: statistics.answersWhole,
    refusedNotRun: statistics.refusedNotRun,
    outcomeUnknown: statistics.outcomeUnknown,
    unanswered: statistics.unanswered,
    doubled: record.listDuplicateRuns().length,
    latencyMs: statistics.getLatencies(),
    controlBytesPerNodePerSecond: monitor.computeControlBytesPerNodePerSecond(),
    tableSecondsToAll: monitor.computeTableSecondsToAll(),
    virtualSeconds: simulation.clock.now / 1_000,
    digest,
  };
}

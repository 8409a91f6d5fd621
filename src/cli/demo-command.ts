/** `hallhold demo`: a complete deployment on loopback, with planned changes during the run. */
import { Command, Option } from 'clipanion';
import * as validator from 'typanion';
import type { TableRow } from '../core/table';
import { DEPLOYMENTS, type Deployment } from '../standins/deployments';
import { EmbeddedDeployment } from '../standins/embedded-deployment';
import { ExitCode, printError, printJson, printTable } from './output';

const MS_PER_SECOND = 1_000;
const PROGRESS_INTERVAL_MS = 1_000;
const SAMPLE_INTERVAL_MS = 100;

/** Results of the demo, as printed in the JSON line. */
interface DemoResult {
  readonly deployment: string;
  readonly seconds: number;
  readonly flowsOpened: number;
  readonly flowsBroken: number;
  readonly requestsSent: number;
  readonly answersWhole: number;
  readonly refusedNotRun: number;
  readonly outcomeUnknown: number;
  readonly unanswered: number;
  readonly notifications: number;
  readonly doubled: number;
  readonly falselyRefused: number;
  readonly misdelivered: number;
  readonly wrongAnswers: number;
  readonly imbalance: Readonly<Record<string, number>>;
  readonly latencyMs: unknown;
  readonly breakReasons: Readonly<Record<string, number>>;
}

/** A planned change during the run. */
interface PlannedChange {
  /** Start as a fraction of the duration of the run. */
  readonly startFraction: number;
  readonly description: string;
  readonly run: () => Promise<void>;
}

export class DemoCommand extends Command {
  static override paths = [['demo']];
  static override usage = Command.Usage({
    description: 'Run a complete deployment on loopback and measure it.',
    details:
      'Starts platform, balancers, agents, back ends, fabric and callers in this process, with real ' +
      'sockets. A table edit, a draining target and a balancer stop take place during the run.',
    examples: [
      ['The map deployment for 20 seconds', '$0 demo'],
      [
        'The porting deployment, with a JSON line at the end',
        '$0 demo --deployment porting --seconds 5 --json',
      ],
    ],
  });

  deployment = Option.String('--deployment', 'map', {
    description: 'map or porting',
    validator: validator.isEnum(['map', 'porting'] as const),
  });
  seconds = Option.String('--seconds', '20', {
    description: 'Duration of the run',
    validator: validator.cascade(validator.isNumber(), validator.isInInclusiveRange(1, 3_600)),
  });
  json = Option.Boolean('--json', false, { description: 'Print one JSON object as the last line' });
  logLevel = Option.String('--log-level', 'error', {
    validator: validator.isEnum(['debug', 'info', 'warn', 'error'] as const),
  });

  async execute(): Promise<number> {
    const deployment = DEPLOYMENTS[this.deployment];
    const embedded = new EmbeddedDeployment(deployment, { logLevel: this.logLevel });
    try {
      this.context.stderr.write(`starting the ${this.deployment} deployment on loopback\n`);
      await embedded.start();
      await embedded.startCallers();
      const imbalance = await this.run(embedded, deployment);
      this.print(this.createResult(embedded, imbalance));
      return ExitCode.done;
    } catch (error) {
      return printError(this.context, error);
    } finally {
      await embedded.stop();
    }
  }

  private async run(
    embedded: EmbeddedDeployment,
    deployment: Deployment,
  ): Promise<Record<string, number>> {
    const changes = createPlannedChanges(embedded, deployment);
    const sampler = new ImbalanceSampler(embedded);
    const startedAt = performance.now();
    const running: Promise<void>[] = [];
    let lastProgress = startedAt;
    const elapsed = (): number => (performance.now() - startedAt) / MS_PER_SECOND;
    while (elapsed() < this.seconds) {
      await new Promise((resolve) => setTimeout(resolve, SAMPLE_INTERVAL_MS));
      sampler.sample();
      while (changes[0] && elapsed() >= changes[0].startFraction * this.seconds) {
        const change = changes.shift()!;
        this.context.stderr.write(`${elapsed().toFixed(1)} s: ${change.description}\n`);
        running.push(change.run());
      }
      if (performance.now() - lastProgress >= PROGRESS_INTERVAL_MS) {
        lastProgress = performance.now();
        this.printProgress(embedded, elapsed());
      }
    }
    await Promise.all(running);
    return sampler.getMeans();
  }

  private printProgress(embedded: EmbeddedDeployment, elapsed: number): void {
    const { flowsOpened, flowsBroken, answersWhole, refusedNotRun } = embedded.statistics;
    this.context.stderr.write(
      `${elapsed.toFixed(0)}/${this.seconds} s  flows ${flowsOpened} opened, ${flowsBroken} broken; ` +
        `${answersWhole} answers, ${refusedNotRun} refused\n`,
    );
  }

  private createResult(
    embedded: EmbeddedDeployment,
    imbalance: Record<string, number>,
  ): DemoResult {
    const { statistics, record } = embedded;
    return {
      deployment: this.deployment,
      seconds: this.seconds,
      flowsOpened: statistics.flowsOpened,
      flowsBroken: statistics.flowsBroken,
      requestsSent: statistics.requestsSent,
      answersWhole: statistics.answersWhole,
      refusedNotRun: statistics.refusedNotRun,
      outcomeUnknown: statistics.outcomeUnknown,
      unanswered: statistics.unanswered,
      notifications: statistics.notifications,
      doubled: record.listDuplicateRuns().length,
      falselyRefused: record.listFalselyRefused().length,
      misdelivered: statistics.misdelivered,
      wrongAnswers: statistics.wrongAnswers,
      imbalance,
      latencyMs: statistics.getLatencies(),
      breakReasons: Object.fromEntries(statistics.breakReasons),
    };
  }

  private print(result: DemoResult): void {
    const numbers = Object.entries(result).filter(([, value]) => typeof value === 'number');
    printTable(this.context, ['measured', 'value'], numbers as [string, number][]);
    const balance = Object.entries(result.imbalance).map(([service, value]) => [
      service,
      value.toFixed(3),
    ]);
    printTable(this.context, ['service', 'largest over mean of flows per share'], balance);
    const latencies = Object.entries(result.latencyMs as Record<string, Record<string, number>>);
    const rows = latencies.map(([kind, { p50, p99 }]) => [kind, p50!.toFixed(1), p99!.toFixed(1)]);
    printTable(this.context, ['latency, ms', 'p50', 'p99'], rows);
    if (this.json) {
      printJson(this.context, result);
    }
  }
}

/** Mean of the imbalance of each service over regular samples. */
class ImbalanceSampler {
  private readonly sums = new Map<string, number>();
  private samples = 0;

  constructor(private readonly embedded: EmbeddedDeployment) {}

  sample(): void {
    if (this.embedded.listRunningBalancers().length === 0) {
      return;
    }
    this.samples++;
    for (const [service, value] of Object.entries(this.embedded.computeImbalance())) {
      this.sums.set(service, (this.sums.get(service) ?? 0) + value);
    }
  }

  getMeans(): Record<string, number> {
    return Object.fromEntries(
      [...this.sums].map(([service, sum]) => [service, sum / Math.max(1, this.samples)]),
    );
  }
}

function createShareEdit(target: string, share: number): (rows: readonly TableRow[]) => TableRow[] {
  return (rows) => rows.map((row) => (row.target === target ? { ...row, share } : row));
}

function createPlannedChanges(
  embedded: EmbeddedDeployment,
  deployment: Deployment,
): PlannedChange[] {
  const service = deployment.services[0]!.name;
  const lastBalancer = embedded.listRunningBalancers().at(-1)!;
  return [
    {
      startFraction: 0.2,
      description: `table edit: ${service} target-1 gets share 2`,
      run: () => embedded.editTable(service, createShareEdit('target-1', 2)),
    },
    {
      startFraction: 0.4,
      description: `drain: ${service} target-2 gets share 0`,
      run: () => embedded.editTable(service, createShareEdit('target-2', 0)),
    },
    {
      startFraction: 0.55,
      description: `planned stop of ${lastBalancer}`,
      run: () => embedded.stopBalancer(lastBalancer),
    },
    {
      startFraction: 0.75,
      description: `end of drain: ${service} target-2 gets share 1`,
      run: () => embedded.editTable(service, createShareEdit('target-2', 1)),
    },
  ];
}

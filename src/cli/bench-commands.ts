/** `hallhold bench ...`: measurements, each beside a baseline or at several sizes. */
import { Command, Option } from 'clipanion';
import { benchDatapath, type DatapathReport } from '../bench/datapath';
import { benchBalance } from '../bench/balance';
import { benchCapacity, DEFAULT_ORDER, FULL_ORDER, type CapacityReport } from '../bench/capacity';
import { STORMS, type StormName } from '../bench/capacity-storms';
import { ExitCode, printError, printJson, printTable } from './output';

export class BenchDatapathCommand extends Command {
  static override paths = [['bench', 'datapath']];
  static override usage = Command.Usage({
    description: 'Measure the data path beside a bare UDP relay with the same hops.',
    examples: [['As one JSON line', '$0 bench datapath --json']],
  });

  json = Option.Boolean('--json', false, { description: 'Print one JSON object as the last line' });

  async execute(): Promise<number> {
    try {
      const report = await benchDatapath((line) => this.context.stderr.write(`${line}\n`));
      this.print(report);
      return ExitCode.done;
    } catch (error) {
      return printError(this.context, error);
    }
  }

  private print(report: DatapathReport): void {
    const { relay, hallhold, addedMicroseconds, bytesPerFlow } = report;
    printTable(
      this.context,
      ['measured', 'bare relay', 'hallhold'],
      [
        [
          'packets a second',
          relay.packetsPerSecond.toFixed(0),
          hallhold.packetsPerSecond.toFixed(0),
        ],
        ['round trip p50, us', relay.p50, hallhold.p50],
        ['round trip p99, us', relay.p99, hallhold.p99],
        ['added p50 / p99, us', '', `${addedMicroseconds.p50} / ${addedMicroseconds.p99}`],
        ['throughput ratio', '', report.throughputRatio.toFixed(3)],
        ['new flows a second', '', report.newFlowsPerSecond.toFixed(0)],
        ['bytes a flow, balancer', '', bytesPerFlow.balancer.toFixed(1)],
        ['bytes a flow, agent', '', bytesPerFlow.agent.toFixed(1)],
      ],
    );
    if (this.json) {
      printJson(this.context, report);
    }
  }
}

export class BenchCapacityCommand extends Command {
  static override paths = [['bench', 'capacity']];
  static override usage = Command.Usage({
    description: 'Measure slopes of state, control traffic and faults against size.',
    details:
      'Hollow nodes share this process: the real classes, real encoded frames, a virtual network. ' +
      'The default takes a few minutes; --full goes up to the planned size and takes hours.',
    examples: [
      ['As one JSON line', '$0 bench capacity --json'],
      [
        'One size and one storm',
        '$0 bench capacity --sizes 100,200 --storms zone --storm-size 100',
      ],
    ],
  });

  json = Option.Boolean('--json', false, { description: 'Print one JSON object as the last line' });
  full = Option.Boolean('--full', false, { description: 'Go up to the planned size' });
  sizes = Option.String('--sizes', { description: 'Numbers of balancers, at least two' });
  storms = Option.String('--storms', { description: `Of ${STORMS.join(', ')}; empty for none` });
  stormSize = Option.String('--storm-size', { description: 'Balancers that storms meet' });

  async execute(): Promise<number> {
    try {
      const base = this.full ? FULL_ORDER : DEFAULT_ORDER;
      const order = {
        sizes: this.sizes?.split(',').map(Number) ?? base.sizes,
        storms: this.storms?.split(',').filter(isStorm) ?? base.storms,
        stormSize: this.stormSize === undefined ? base.stormSize : Number(this.stormSize),
      };
      this.print(benchCapacity(order, (line) => this.context.stderr.write(`${line}\n`)));
      return ExitCode.done;
    } catch (error) {
      return printError(this.context, error);
    }
  }

  private print(report: CapacityReport): void {
    const { memory, processor } = report.unitCosts;
    const slopes = [
      ...Object.values(memory).map((slope) => ({ ...slope, unit: 'bytes' })),
      ...Object.values(processor).map((slope) => ({ ...slope, unit: 'us' })),
    ].map(({ per, unit, fit }) => [
      per,
      unit,
      fit.slope.toPrecision(3),
      fit.intercept.toPrecision(3),
      `${(fit.residual * 100).toFixed(1)}%`,
    ]);
    printTable(this.context, ['per', 'unit', 'slope', 'intercept', 'residual'], slopes);
    const sizes = report.cluster.sizes.map((one) => [
      one.balancers,
      one.agents,
      one.controlBytesPerNode.toFixed(0),
      one.controlMicrosecondsPerNode.toFixed(0),
      one.tableSecondsBalancers.toFixed(2),
      one.tableSecondsAgents.toFixed(2),
    ]);
    const head = ['balancers', 'agents', 'bytes/node/s', 'us/node/s', 'table s', 'to agents s'];
    printTable(this.context, head, sizes);
    const storms = report.storms.map((one) => [
      one.storm,
      one.nodesTouched,
      one.peakMeanBytes.toFixed(0),
      one.peakLargestBytes,
      one.settleSeconds,
      `${one.flowsBroken} of ${one.flows - one.flowsLostWithHost}`,
    ]);
    const stormHead = [
      'storm',
      'nodes',
      'peak mean B/s',
      'peak one B/s',
      'settle s',
      'flows broken',
    ];
    printTable(this.context, stormHead, storms);
    if (this.json) {
      printJson(this.context, report);
    }
  }
}

function isStorm(name: string): name is StormName {
  return (STORMS as readonly string[]).includes(name);
}

export class BenchBalanceCommand extends Command {
  static override paths = [['bench', 'balance']];
  static override usage = Command.Usage({
    description: 'Measure balance over hours of virtual time beside baselines and an oracle.',
    examples: [['Three hours with seven targets', '$0 bench balance --hours 3 --targets 7 --json']],
  });

  json = Option.Boolean('--json', false, { description: 'Print one JSON object as the last line' });
  hours = Option.String('--hours', '2', { description: 'Virtual hours after warming up' });
  targets = Option.String('--targets', '7', { description: 'Targets of the service' });
  seed = Option.String('--seed', '1');

  async execute(): Promise<number> {
    const order = {
      hours: Number(this.hours),
      targets: Number(this.targets),
      seed: Number(this.seed),
    };
    const figures = benchBalance(order, (line) => this.context.stderr.write(`${line}\n`));
    printTable(
      this.context,
      ['arrivals', 'design', 'mean', 'p99', 'flows', 'moved'],
      figures.map((one) => [
        one.pattern,
        one.design,
        one.mean.toFixed(4),
        one.p99.toFixed(4),
        one.flowsOpened,
        one.flowsMoved,
      ]),
    );
    if (this.json) {
      printJson(this.context, { order, figures });
    }
    return ExitCode.done;
  }
}

/** `hallhold bench ...`: benchmarks, each against a baseline or at several sizes. */
import { Command, Option } from 'clipanion';
import { benchDatapath, type DatapathReport } from '../bench/datapath';
import { benchBalance } from '../bench/balance';
import { benchPackets } from '../bench/packets';
import { ExitCode, printError, printJson, printTable } from './output';

export class BenchDatapathCommand extends Command {
  static override paths = [['bench', 'datapath']];
  static override usage = Command.Usage({
    description: 'Measure the data path against a bare UDP relay with the same hops.',
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

export class BenchPacketsCommand extends Command {
  static override paths = [['bench', 'packets']];
  static override usage = Command.Usage({
    description: 'Measure processor time per packet at a packet balancer, cold and warm.',
    details:
      'Four paths, each in a separate process: a bare relay, a balancer with compact ' +
      'frames, one whose agents also acknowledge packets, and one whose agents support only documents.',
    examples: [['As one JSON line', '$0 bench packets --json']],
  });

  json = Option.Boolean('--json', false, { description: 'Print one JSON object as the last line' });

  async execute(): Promise<number> {
    try {
      const measurements = await benchPackets((line) => this.context.stderr.write(`${line}\n`));
      const rows = measurements.map(({ path, firstTwoHundred, firstTwoThousand, warm }) => [
        path,
        firstTwoHundred.toFixed(1),
        firstTwoThousand.toFixed(1),
        warm.toFixed(1),
      ]);
      printTable(this.context, ['us a packet', 'first 200', 'first 2,000', 'warm'], rows);
      if (this.json) {
        printJson(this.context, measurements);
      }
      return ExitCode.done;
    } catch (error) {
      return printError(this.context, error);
    }
  }
}

export class BenchBalanceCommand extends Command {
  static override paths = [['bench', 'balance']];
  static override usage = Command.Usage({
    description: 'Measure balance over hours of virtual time against baselines and an oracle.',
    examples: [['Three hours with seven targets', '$0 bench balance --hours 3 --targets 7 --json']],
  });

  json = Option.Boolean('--json', false, { description: 'Print one JSON object as the last line' });
  hours = Option.String('--hours', '2', { description: 'Virtual hours after the warm-up' });
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
      figures.map((measurement) => [
        measurement.pattern,
        measurement.design,
        measurement.mean.toFixed(4),
        measurement.p99.toFixed(4),
        measurement.flowsOpened,
        measurement.flowsMoved,
      ]),
    );
    if (this.json) {
      printJson(this.context, { order, figures });
    }
    return ExitCode.done;
  }
}

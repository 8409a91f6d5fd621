/** `hallhold bench ...`: measurements, each beside a baseline or at several sizes. */
import { Command, Option } from 'clipanion';
import { benchDatapath, type DatapathReport } from '../bench/datapath';
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

/** `hallhold status`: members, targets and metric values as reported by one balancer. */
import { Command, Option } from 'clipanion';
import { formatEndpoint } from '../core/endpoint';
import { OperatorClient, type BalancerStatus } from '../operator/operator-client';
import { MemberState } from '../wire/messages';
import { ExitCode, printError, printJson, printTable } from './output';

const STATE_NAMES = new Map<number, string>(
  Object.entries(MemberState).map(([name, value]) => [value, name]),
);

export class StatusCommand extends Command {
  static override paths = [['status']];
  static override usage = Command.Usage({
    description: 'Show members, draining or stopped targets and metric values of a balancer.',
    examples: [['Of one balancer', '$0 status --api http://127.0.1.1:7080']],
  });

  api = Option.String('--api', {
    required: true,
    description: "URL of a balancer's admin address",
  });
  json = Option.Boolean('--json', false, { description: 'Print one JSON object' });

  async execute(): Promise<number> {
    const result = await new OperatorClient(this.api).getStatus();
    if (result.err) {
      return printError(this.context, result.val);
    }
    if (this.json) {
      printJson(this.context, result.val);
    } else {
      this.print(result.val);
    }
    return ExitCode.done;
  }

  private print(status: BalancerStatus): void {
    const members = status.members.map((member) => [
      member.name,
      member.zone,
      formatEndpoint(member.endpoint),
      STATE_NAMES.get(member.state) ?? String(member.state),
    ]);
    printTable(this.context, ['member', 'zone', 'address', 'state'], members);
    const targets = status.targets.map(({ service, target, state }) => [service, target, state]);
    if (targets.length > 0) {
      printTable(this.context, ['service', 'target', 'state'], targets);
    }
    printTable(
      this.context,
      ['figure', 'value'],
      Object.entries(status.statistics).map(([name, value]) => [name, String(value)]),
    );
  }
}

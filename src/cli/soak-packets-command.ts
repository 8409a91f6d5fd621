/** `hallhold soak packets`: random faults on the packet interface for a range of seeds. */
import { Command, Option } from 'clipanion';
import * as t from 'typanion';
import { countViolations, runRandomFaults } from '../simulation/packets/random-faults';

const EXIT_VIOLATIONS = 2;

export class SoakPacketsCommand extends Command {
  static override paths = [['soak', 'packets']];
  static override usage = Command.Usage({
    description: 'Inject random faults on the packet interface in virtual time.',
    details:
      'Runs the real balancers and agents of the packet interface against model targets, clients, routers and store. Prints each seed with violations; exit code 2 if there are any.',
    examples: [['Two hundred seeds from 1', '$0 soak packets --first 1 --seeds 200']],
  });

  first = Option.String('--first', '1', {
    validator: t.isNumber(),
    description: 'First seed',
  });
  seeds = Option.String('--seeds', '50', {
    validator: t.isNumber(),
    description: 'Number of seeds',
  });

  execute(): Promise<number> {
    let failed = 0;
    for (let seed = this.first; seed < this.first + this.seeds; seed++) {
      const simulation = runRandomFaults(seed);
      if (countViolations(simulation) > 0) {
        failed++;
        this.context.stdout.write(`${JSON.stringify({ seed, ...simulation.violations })}\n`);
      }
    }
    this.context.stdout.write(`${JSON.stringify({ seeds: this.seeds, failed })}\n`);
    return Promise.resolve(failed > 0 ? EXIT_VIOLATIONS : 0);
  }
}

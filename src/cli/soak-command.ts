/** `hallhold soak`: runs many seeds of one scenario and prints those with violations. */
import { Command, Option } from 'clipanion';
import * as validator from 'typanion';
import { HallholdError } from '../errors/hallhold-error';
import { ResultCodes } from '../errors/result-codes';
import { DESIGNS } from '../simulation/baselines';
import {
  runSimulation,
  countViolations,
  type SimulationReport,
} from '../simulation/run-simulation';
import { findScenario } from '../simulation/scenarios';
import { DEPLOYMENTS, type Deployment } from '../standins/deployments';
import { ExitCode, printError, printJson } from './output';

const MS_PER_MINUTE = 60_000;
const isWholeNumber = validator.cascade(
  validator.isNumber(),
  validator.isInteger(),
  validator.isAtLeast(0),
);

export class SoakCommand extends Command {
  static override paths = [['soak']];
  static override usage = Command.Usage({
    description: 'Run a scenario with many seeds and print the failing ones.',
    details: 'Runs the given seeds, or random seeds for the time given by --minutes.',
    examples: [
      ['Ten minutes of random seeds', '$0 soak --minutes 10'],
      [
        'Seeds 1 to 200 of the porting deployment',
        '$0 soak --from 1 --to 200 --deployment porting',
      ],
    ],
  });

  scenario = Option.String('--scenario', 'everything');
  deployment = Option.String('--deployment', 'both', {
    validator: validator.isEnum(['map', 'porting', 'both'] as const),
  });
  design = Option.String('--design', 'hallhold', { validator: validator.isEnum(DESIGNS) });
  minutes = Option.String('--minutes', '0', { validator: validator.isNumber() });
  from = Option.String('--from', '1', { validator: isWholeNumber });
  to = Option.String('--to', '10', { validator: isWholeNumber });
  json = Option.Boolean('--json', false, { description: 'Print every report as a JSON line' });

  async execute(): Promise<number> {
    const scenario = findScenario(this.scenario);
    if (!scenario) {
      const text = `unknown scenario ${this.scenario}`;
      return printError(this.context, new HallholdError(ResultCodes.scenarioUnknown, text));
    }
    let runs = 0;
    let failing = 0;
    for (const { seed, deployment } of this.generateRuns()) {
      const { design } = this;
      const report = runSimulation({ scenario, deployment, seed, design, without: [] });
      runs++;
      failing += countViolations(report) > 0 ? 1 : 0;
      this.print(report);
    }
    this.context.stdout.write(`${runs} runs, ${failing} with violations\n`);
    return failing > 0 ? ExitCode.violations : ExitCode.done;
  }

  private *generateRuns(): Generator<{ seed: number; deployment: Deployment }> {
    const deployments =
      this.deployment === 'both' ? Object.values(DEPLOYMENTS) : [DEPLOYMENTS[this.deployment]];
    const end = performance.now() + this.minutes * MS_PER_MINUTE;
    const isRandom = this.minutes > 0;
    for (let seed = this.from; isRandom ? performance.now() < end : seed <= this.to; seed++) {
      const selectedSeed = isRandom ? Math.floor(Math.random() * 2 ** 31) : seed;
      for (const deployment of deployments) {
        yield { seed: selectedSeed, deployment };
      }
    }
  }

  private print(report: SimulationReport): void {
    if (this.json) {
      printJson(this.context, report);
    }
    if (countViolations(report) === 0) {
      return;
    }
    const { deployment, seed, faults } = report;
    this.context.stdout.write(`${deployment} seed ${seed}: ${JSON.stringify(faults)}\n`);
    report.examples.forEach((example) => this.context.stdout.write(`  ${example}\n`));
  }
}

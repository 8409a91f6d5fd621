/** `hallhold simulate`: runs one scenario in virtual time and checks the eight invariants. */
import { Command, Option } from 'clipanion';
import * as validator from 'typanion';
import { SAFEGUARD_NAMES, type SafeguardName } from '../agent/safeguards';
import { HallholdError } from '../errors/hallhold-error';
import { ResultCodes } from '../errors/result-codes';
import { DESIGNS } from '../simulation/baselines';
import {
  runSimulation,
  countViolations,
  type SimulationReport,
} from '../simulation/run-simulation';
import { findScenario, SCENARIOS } from '../simulation/scenarios';
import { DEPLOYMENTS } from '../standins/deployments';
import { ExitCode, printError, printJson, printTable } from './output';

export class SimulateCommand extends Command {
  static override paths = [['simulate']];
  static override usage = Command.Usage({
    description: 'Run one scenario in virtual time and check the invariants.',
    details:
      'The same seed gives the same digest on every machine. Exit code 0 without violations, 2 otherwise.',
    examples: [
      ['List the scenarios', '$0 simulate --list'],
      ['Random faults', '$0 simulate --scenario everything --seed 7 --json'],
      ['A baseline', '$0 simulate --scenario planned --design hash --deployment porting'],
      ['With one safeguard disabled', '$0 simulate --scenario network-loss --without permits'],
    ],
  });

  list = Option.Boolean('--list', false, { description: 'List the scenarios' });
  scenario = Option.String('--scenario', 'quiet');
  deployment = Option.String('--deployment', 'map', {
    validator: validator.isEnum(['map', 'porting'] as const),
  });
  seed = Option.String('--seed', '1', {
    validator: validator.cascade(validator.isNumber(), validator.isInteger()),
  });
  design = Option.String('--design', 'hallhold', { validator: validator.isEnum(DESIGNS) });
  without = Option.Array('--without', [], {
    description: `Safeguards to disable: ${SAFEGUARD_NAMES.join(', ')}`,
  });
  json = Option.Boolean('--json', false, { description: 'Print one JSON object' });
  trace = Option.Boolean('--trace', false, { description: 'Print every event to standard error' });

  async execute(): Promise<number> {
    if (this.list) {
      printTable(
        this.context,
        ['scenario', 'what happens'],
        SCENARIOS.map(({ name, description }) => [name, description]),
      );
      return ExitCode.done;
    }
    const scenario = findScenario(this.scenario);
    const unknown = this.without.find((name) => !SAFEGUARD_NAMES.includes(name as SafeguardName));
    if (!scenario || unknown !== undefined) {
      const text = scenario ? `unknown safeguard ${unknown}` : `unknown scenario ${this.scenario}`;
      return printError(this.context, new HallholdError(ResultCodes.scenarioUnknown, text));
    }
    const report = runSimulation({
      scenario,
      deployment: DEPLOYMENTS[this.deployment],
      seed: this.seed,
      design: this.design,
      without: this.without as SafeguardName[],
      ...(this.trace ? { trace: (line) => this.context.stderr.write(`${line}\n`) } : {}),
    });
    this.print(report);
    return countViolations(report) > 0 ? ExitCode.violations : ExitCode.done;
  }

  private print(report: SimulationReport): void {
    if (this.json) {
      printJson(this.context, report);
      return;
    }
    const rows = Object.entries(report.checked).map(([name, checks]) => [
      name,
      checks,
      report.violations[name] ?? 0,
    ]);
    printTable(this.context, ['promise', 'judged', 'violations'], rows);
    report.examples.forEach((example) => this.context.stdout.write(`${example}\n`));
    const { flowsOpened, flowsBroken, digest } = report;
    this.context.stdout.write(`flows ${flowsOpened}, broken ${flowsBroken}; digest ${digest}\n`);
  }
}

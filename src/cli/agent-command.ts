/** `hallhold agent`: runs an agent process next to a back end. */
import { Command, Option } from 'clipanion';
import type { Result } from 'ts-results';
import type { HallholdError } from '../errors/hallhold-error';
import { AgentProcess } from '../runtime/agent-process';
import { loadSettings } from '../settings/load-settings';
import { agentSchema, type AgentSettings } from '../settings/settings-schema';
import { printError } from './output';
import { applyReloadedKeys, runUntilSignal } from './process-runner';

export class AgentCommand extends Command {
  static override paths = [['agent']];
  static override usage = Command.Usage({
    description: 'Run an agent next to a back end.',
    details:
      'Settings come from a YAML file; flags override it. SIGTERM starts a planned stop, SIGHUP reloads the cluster keys.',
    examples: [
      ['With a settings file', '$0 agent --settings examples/map-agent.yaml'],
      [
        'For another target',
        '$0 agent --settings a.yaml --target target-2 --listen 127.0.2.2:7000',
      ],
    ],
  });

  settings = Option.String('--settings', { required: true, description: 'YAML settings file' });
  target = Option.String('--target', { description: "Name of the target's row" });
  listen = Option.String('--listen', { description: 'Address for internal frames' });
  admin = Option.String('--admin', { description: 'Address for health and metrics' });
  backend = Option.String('--backend', { description: 'Address of the back end' });

  takeOver = Option.Boolean('--take-over', false, {
    description: 'Take over flows, ledger and incarnation from the agent now running here',
  });

  async execute(): Promise<number> {
    const { target, listen, admin, backend } = this;
    const overrides = { target, listen, admin, backend };
    const load = (): Result<AgentSettings, HallholdError> =>
      loadSettings(this.settings, agentSchema, overrides);
    const loaded = load();
    if (loaded.err) {
      return printError(this.context, loaded.val);
    }
    return runUntilSignal(
      this.context,
      () =>
        this.takeOver ? AgentProcess.startAsSuccessor(loaded.val) : AgentProcess.start(loaded.val),
      (running) => applyReloadedKeys(running, load()),
    );
  }
}

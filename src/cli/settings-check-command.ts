/** `hallhold settings check FILE`: validates a settings file without starting a process. */
import { Command, Option } from 'clipanion';
import { loadSettings } from '../settings/load-settings';
import { settingsSchema } from '../settings/settings-schema';
import { ExitCode, printError } from './output';

export class SettingsCheckCommand extends Command {
  static override paths = [['settings', 'check']];
  static override usage = Command.Usage({
    description: 'Validate a settings file.',
    examples: [['Check a file', '$0 settings check examples/map-balancer.yaml']],
  });

  file = Option.String();

  async execute(): Promise<number> {
    const loaded = loadSettings(this.file, settingsSchema);
    if (loaded.err) {
      return printError(this.context, loaded.val);
    }
    this.context.stdout.write(`${this.file}: valid settings of role ${loaded.val.role}\n`);
    return ExitCode.done;
  }
}

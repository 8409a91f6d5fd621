/** `hallhold settings check FILE`: checks a settings file without starting anything. */
import { Command, Option } from 'clipanion';
import { loadSettings } from '../settings/load-settings';
import { settingsSchema } from '../settings/settings-schema';
import { ExitCode, printError } from './output';

export class SettingsCheckCommand extends Command {
  static override paths = [['settings', 'check']];
  static override usage = Command.Usage({
    description: 'Check a settings file.',
    examples: [['Check a file', '$0 settings check examples/map-balancer.yaml']],
  });

  file = Option.String();

  async execute(): Promise<number> {
    const loaded = loadSettings(this.file, settingsSchema);
    if (loaded.err) {
      return printError(this.context, loaded.val);
    }
    this.context.stdout.write(`${this.file}: settings of a ${loaded.val.role}, all keys right\n`);
    return ExitCode.done;
  }
}

/** `hallhold balancer`: runs a balancer process. */
import { Command, Option } from 'clipanion';
import type { Result } from 'ts-results';
import type { HallholdError } from '../errors/hallhold-error';
import { BalancerProcess } from '../runtime/balancer-process';
import { loadSettings } from '../settings/load-settings';
import { balancerSchema, type BalancerSettings } from '../settings/settings-schema';
import { printError } from './output';
import { applyReloadedKeys, runUntilSignal } from './process-runner';

export class BalancerCommand extends Command {
  static override paths = [['balancer']];
  static override usage = Command.Usage({
    description: 'Run a balancer.',
    details:
      'Settings come from a YAML file; flags override it. SIGTERM starts a planned stop, SIGHUP reloads the cluster keys.',
    examples: [
      ['With a settings file', '$0 balancer --settings examples/map-balancer.yaml'],
      ['On another address', '$0 balancer --settings b.yaml --listen 127.0.1.9:7000 --name b-9'],
    ],
  });

  settings = Option.String('--settings', { required: true, description: 'YAML settings file' });
  name = Option.String('--name', { description: 'Name of this balancer' });
  zone = Option.String('--zone', { description: 'Zone of this balancer' });
  listen = Option.String('--listen', { description: 'Address for internal frames' });
  admin = Option.String('--admin', { description: 'Address for health, metrics and the API' });
  store = Option.String('--store', { description: 'URL of the platform store' });

  async execute(): Promise<number> {
    const { name, zone, listen, admin, store } = this;
    const overrides = { name, zone, listen, admin, store };
    const load = (): Result<BalancerSettings, HallholdError> =>
      loadSettings(this.settings, balancerSchema, overrides);
    const loaded = load();
    if (loaded.err) {
      return printError(this.context, loaded.val);
    }
    return runUntilSignal(
      this.context,
      () => BalancerProcess.start(loaded.val),
      (running) => applyReloadedKeys(running, load()),
    );
  }
}

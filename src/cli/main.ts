/**
 * Entry point of the `hallhold` command line.
 *
 * Loading libraries takes most of the start-up time of a command, so only the modules of the
 * requested command are loaded; all of them for help and for unknown commands.
 */
import { Builtins, Cli, type CommandClass } from 'clipanion';

const VERSION = '0.1.0';

/** Loads the command classes whose paths share a first word. */
type CommandLoader = () => Promise<readonly CommandClass[]>;

/** Loaders by first word of the command line. */
const LOADERS: Readonly<Record<string, CommandLoader>> = {
  agent: async () => [(await import('./agent-command')).AgentCommand],
  balancer: async () => [(await import('./balancer-command')).BalancerCommand],
  bench: async () => {
    const commands = await import('./bench-commands');
    const { BenchBalanceCommand, BenchDatapathCommand, BenchPacketsCommand } = commands;
    return [BenchBalanceCommand, BenchDatapathCommand, BenchPacketsCommand];
  },
  demo: async () => [(await import('./demo-command')).DemoCommand],
  explain: async () => [(await import('./explain-command')).ExplainCommand],
  settings: async () => [(await import('./settings-check-command')).SettingsCheckCommand],
  simulate: async () => [(await import('./simulate-command')).SimulateCommand],
  soak: async () => [
    (await import('./soak-command')).SoakCommand,
    (await import('./soak-packets-command')).SoakPacketsCommand,
  ],
  standin: async () => {
    const commands = await import('./standin-commands');
    return [
      commands.StandinBackendCommand,
      commands.StandinCallerCommand,
      commands.StandinFabricCommand,
      commands.StandinPlatformCommand,
    ];
  },
  status: async () => [(await import('./status-command')).StatusCommand],
  table: async () => {
    const { TableDiffCommand } = await import('./table-diff-command');
    const commands = await import('./table-commands');
    const { TableGetCommand, TablePutCommand, TableStatusCommand } = commands;
    return [TableDiffCommand, TableGetCommand, TablePutCommand, TableStatusCommand];
  },
};

const VERSION_FLAGS: readonly string[] = ['--version', '-v'];

/** Loads the commands that a command line with this first word can refer to. */
async function loadCommands(commandName: string | undefined): Promise<readonly CommandClass[]> {
  if (commandName !== undefined && VERSION_FLAGS.includes(commandName)) {
    return [];
  }
  const loader = commandName === undefined ? undefined : LOADERS[commandName];
  const loaders = loader ? [loader] : Object.values(LOADERS);
  return (await Promise.all(loaders.map((load) => load()))).flat();
}

async function main(commandLine: string[]): Promise<void> {
  const cli = new Cli({
    binaryLabel: 'hallhold',
    binaryName: 'hallhold',
    binaryVersion: VERSION,
  });
  const commands = await loadCommands(commandLine[0]);
  [Builtins.HelpCommand, Builtins.VersionCommand, ...commands].forEach((command) =>
    cli.register(command),
  );
  await cli.runExit(commandLine);
}

void main(process.argv.slice(2));

/** Entry point of the `hallhold` command line: one command a file. */
import { Builtins, Cli } from 'clipanion';
import { AgentCommand } from './agent-command';
import { BenchBalanceCommand, BenchCapacityCommand, BenchDatapathCommand } from './bench-commands';
import { BalancerCommand } from './balancer-command';
import { DemoCommand } from './demo-command';
import { ExplainCommand } from './explain-command';
import { SettingsCheckCommand } from './settings-check-command';
import { SoakCommand } from './soak-command';
import { SoakPacketsCommand } from './soak-packets-command';
import { SimulateCommand } from './simulate-command';
import {
  StandinBackendCommand,
  StandinCallerCommand,
  StandinFabricCommand,
  StandinPlatformCommand,
} from './standin-commands';
import { StatusCommand } from './status-command';
import { TableDiffCommand } from './table-diff-command';
import { TableGetCommand, TablePutCommand, TableStatusCommand } from './table-commands';

const VERSION = '0.1.0';

const cli = new Cli({
  binaryLabel: 'hallhold',
  binaryName: 'hallhold',
  binaryVersion: VERSION,
});

[
  Builtins.HelpCommand,
  Builtins.VersionCommand,
  AgentCommand,
  BalancerCommand,
  BenchBalanceCommand,
  BenchCapacityCommand,
  BenchDatapathCommand,
  DemoCommand,
  ExplainCommand,
  SettingsCheckCommand,
  SimulateCommand,
  SoakCommand,
  SoakPacketsCommand,
  StandinBackendCommand,
  StandinCallerCommand,
  StandinFabricCommand,
  StandinPlatformCommand,
  StatusCommand,
  TableDiffCommand,
  TableGetCommand,
  TablePutCommand,
  TableStatusCommand,
].forEach((command) => cli.register(command));

void cli.runExit(process.argv.slice(2));

/** One real process of the soak, restarted whenever it exits. */
import { spawn, type ChildProcess } from 'node:child_process';
import { createWriteStream, writeFileSync, type WriteStream } from 'node:fs';
import { join, resolve } from 'node:path';

/** The launcher of deployments: it handles signals before the program is loaded. */
const LAUNCHER_PATH = resolve(__dirname, '../../platform/launch.js');
const RESTART_DELAY_MS = 150;
/** Exit code of a process that refuses to start. */
const EXIT_FAILED = 1;
/** Time between SIGTERM and SIGKILL. */
const TERMINATION_GRACE_MS = 6_000;

/**
 * Kills a process once the soak has exited for any reason, which closes the watcher's input.
 * One watcher runs beside each process and ignores signals.
 */
const WATCHER_SCRIPT = 'trap "" HUP INT TERM; read -r _; kill -9 "$0"';

function startWatcher(child: ChildProcess): void {
  const watcher = spawn('sh', ['-c', WATCHER_SCRIPT, String(child.pid)], {
    stdio: ['pipe', 'ignore', 'ignore'],
  });
  child.once('exit', () => watcher.kill('SIGKILL'));
}

/** Settings document of one process. */
export type SoakSettings = Readonly<Record<string, unknown>> & { readonly name: string };

/** A balancer or agent process with its settings file and log. */
export class SoakProcess {
  /** Number of exits that the soak did not cause. */
  unexpectedExits = 0;
  private child: ChildProcess | undefined;
  private isExitExpected = false;
  private isClosed = false;
  private downUntil = 0;
  /** The settings file is invalid, or has been since the latest start. */
  private hasBrokenSettings = false;
  private isSettingsFileBroken = false;
  /** The process has logged a line, so it has read its settings. */
  private hasLogged = false;
  private readonly settingsPath: string;
  private readonly log: WriteStream;

  constructor(
    readonly role: 'balancer' | 'agent',
    readonly settings: SoakSettings,
    folder: string,
  ) {
    this.settingsPath = join(folder, `${settings.name}.json`);
    this.log = createWriteStream(join(folder, `${settings.name}.log`));
    writeFileSync(this.settingsPath, JSON.stringify(settings));
  }

  get name(): string {
    return this.settings.name;
  }

  get isRunning(): boolean {
    return this.child !== undefined;
  }

  start(): void {
    const env = { ...process.env, HALLHOLD_CONFIG: this.settingsPath, CLUSTER_KEY: 'soak-key' };
    const child = spawn(process.execPath, [LAUNCHER_PATH, this.role], {
      stdio: ['ignore', 'pipe', 'pipe'],
      env,
    });
    this.child = child;
    startWatcher(child);
    this.isExitExpected = false;
    this.hasLogged = false;
    this.hasBrokenSettings = this.isSettingsFileBroken;
    child.stdout.once('data', () => (this.hasLogged = true));
    child.stdout.pipe(this.log, { end: false });
    child.stderr.pipe(this.log, { end: false });
    child.once('exit', (code) => this.handleExit(code));
  }

  /** Kills the process; it stays down for at least `downTime` milliseconds. */
  kill(downTime = 0): void {
    this.isExitExpected = true;
    this.downUntil = performance.now() + downTime;
    this.child?.kill('SIGKILL');
  }

  /** Restarts the process as planned, by SIGTERM. */
  terminate(): void {
    const { child } = this;
    this.isExitExpected = true;
    child?.kill('SIGTERM');
    setTimeout(
      () => child?.exitCode === null && child.kill('SIGKILL'),
      TERMINATION_GRACE_MS,
    ).unref();
  }

  signal(signal: 'SIGSTOP' | 'SIGCONT' | 'SIGHUP'): void {
    this.child?.kill(signal);
  }

  /** Restores the settings file without a signal to the process. */
  writeSettings(): void {
    this.isSettingsFileBroken = false;
    writeFileSync(this.settingsPath, JSON.stringify(this.settings));
  }

  /** Corrupts the settings file without a signal to the process. */
  breakSettings(): void {
    this.isSettingsFileBroken = true;
    this.hasBrokenSettings = true;
    writeFileSync(this.settingsPath, '{"name":');
  }

  async close(): Promise<void> {
    this.isClosed = true;
    const { child } = this;
    if (child) {
      const exit = new Promise((done) => child.once('exit', done));
      child.kill('SIGCONT');
      child.kill('SIGKILL');
      await exit;
    }
    this.log.end();
  }

  /** A process must refuse to start with an invalid file, but keep running if it has started. */
  private handleExit(code: number | null): void {
    this.child = undefined;
    const refusedStart = this.hasBrokenSettings && !this.hasLogged && code === EXIT_FAILED;
    this.unexpectedExits += this.isExitExpected || this.isClosed || refusedStart ? 0 : 1;
    if (!this.isClosed) {
      const delay = Math.max(RESTART_DELAY_MS, this.downUntil - performance.now());
      setTimeout(() => this.isClosed || this.start(), delay).unref();
    }
  }
}

/** One real process of the soak, started again whenever it ends. */
import { spawn, type ChildProcess } from 'node:child_process';
import { createWriteStream, writeFileSync, type WriteStream } from 'node:fs';
import { join, resolve } from 'node:path';

/** As deployments start it: signals have a handler before the program is loaded. */
const LAUNCHER_PATH = resolve(__dirname, '../../platform/launch.js');
const RESTART_DELAY_MS = 150;
/** Exit code of a program that refuses to start. */
const EXIT_FAILED = 1;
/** Milliseconds between SIGTERM and SIGKILL. */
const TERMINATION_GRACE_MS = 6_000;

/**
 * Ends a process when the soak has ended, however that came about: then nobody holds the other
 * end of its input any more. It is started beside each process, and signals do not end it.
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

/** The process. */
export class SoakProcess {
  /** Ends that nobody asked for. */
  unexpectedExits = 0;
  private child: ChildProcess | undefined;
  private isExitExpected = false;
  private isClosed = false;
  private downUntil = 0;
  /** The settings file holds, or has held since the latest start, what is no settings document. */
  private hasBrokenSettings = false;
  private isSettingsFileBroken = false;
  /** The process has logged something: it had read its settings. */
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

  /** Ends it at once; it is down for at least so many milliseconds. */
  kill(downTime = 0): void {
    this.isExitExpected = true;
    this.downUntil = performance.now() + downTime;
    this.child?.kill('SIGKILL');
  }

  /** A planned restart. */
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

  /** Puts the settings file in order again; the process is not told. */
  writeSettings(): void {
    this.isSettingsFileBroken = false;
    writeFileSync(this.settingsPath, JSON.stringify(this.settings));
  }

  /** Breaks the settings file; the process is not told. */
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

  /** A program that finds a broken file as it starts must refuse; one that runs must go on. */
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

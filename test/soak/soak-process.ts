/** One real process of the soak, started again whenever it ends. */
import { spawn, type ChildProcess } from 'node:child_process';
import { createWriteStream, writeFileSync, type WriteStream } from 'node:fs';
import { join, resolve } from 'node:path';

/** As deployments start it: signals have a handler before the program is loaded. */
const MAIN = resolve(__dirname, '../../platform/launch.js');
const RESTART_DELAY = 150;
/** Exit code of a program that refuses to start. */
const EXIT_FAILED = 1;
/** Milliseconds between SIGTERM and SIGKILL. */
const GRACE = 6_000;

/**
 * Ends a process when the soak has ended, however that came about: then nobody holds the other
 * end of its input any more. It is started beside each process, and signals do not end it.
 */
const WATCH = 'trap "" HUP INT TERM; read -r _; kill -9 "$0"';

function watch(child: ChildProcess): void {
  const watcher = spawn('sh', ['-c', WATCH, String(child.pid)], {
    stdio: ['pipe', 'ignore', 'ignore'],
  });
  child.once('exit', () => watcher.kill('SIGKILL'));
}

/** Settings document of one process. */
export type SoakSettings = Readonly<Record<string, unknown>> & { readonly name: string };

/** The process. */
export class SoakProcess {
  /** Ends that nobody asked for. */
  ownEnds = 0;
  private child: ChildProcess | undefined;
  private expected = false;
  private closed = false;
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
    const child = spawn(process.execPath, [MAIN, this.role], {
      stdio: ['ignore', 'pipe', 'pipe'],
      env,
    });
    this.child = child;
    watch(child);
    this.expected = false;
    this.hasLogged = false;
    this.hasBrokenSettings = this.isSettingsFileBroken;
    child.stdout.once('data', () => (this.hasLogged = true));
    child.stdout.pipe(this.log, { end: false });
    child.stderr.pipe(this.log, { end: false });
    child.once('exit', (code) => this.ended(code));
  }

  /** Ends it at once; it is down for at least so many milliseconds. */
  kill(downTime = 0): void {
    this.expected = true;
    this.downUntil = performance.now() + downTime;
    this.child?.kill('SIGKILL');
  }

  /** A planned restart. */
  terminate(): void {
    const { child } = this;
    this.expected = true;
    child?.kill('SIGTERM');
    setTimeout(() => child?.exitCode === null && child.kill('SIGKILL'), GRACE).unref();
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
    this.closed = true;
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
  private ended(code: number | null): void {
    this.child = undefined;
    const refusedStart = this.hasBrokenSettings && !this.hasLogged && code === EXIT_FAILED;
    this.ownEnds += this.expected || this.closed || refusedStart ? 0 : 1;
    if (!this.closed) {
      const delay = Math.max(RESTART_DELAY, this.downUntil - performance.now());
      setTimeout(() => this.closed || this.start(), delay).unref();
    }
  }
}

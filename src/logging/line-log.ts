/**
 * Log of a process that must handle packets right after its start: JSON lines on standard output.
 *
 * It writes the same lines as {@link EventLog} without winston, which takes longer to load
 * than such a process takes to start (measurements in docs/PACKETS.md). Each kind of event
 * is rate-limited, and lines that the reader does not accept are dropped and counted, so
 * that logging never delays a packet.
 */
import SonicBoom from 'sonic-boom';
import type { EventFields, EventKind, EventLevel } from './events';

const LEVELS: readonly EventLevel[] = ['debug', 'info', 'warn', 'error'];
const RATE_WINDOW_MS = 1_000;
/** Limit of the data that waits for the reader. */
const MAXIMUM_BACKLOG_BYTES = 1_048_576;
/** Limit of one write, unless a line is longer; a pipe accepts up to 4,096 bytes atomically. */
const MAXIMUM_WRITE_BYTES = 4_096;
const FLUSH_DELAY_MS = 100;
/** How long a stopping process waits for the reader. */
const CLOSE_TIMEOUT_MS = 100;

/** Settings of a line log. */
export interface LineLogOptions {
  /** Included in every line, for example the name of the process. */
  readonly source: string;
  readonly level: EventLevel;
  /** Lines written for one kind of event in a second; further ones are counted. */
  readonly linesPerSecond: number;
  /** Receives every event, including those whose line is suppressed. */
  readonly observer: (event: EventKind, fields: EventFields) => void;
}

/** Destination of log lines. */
export interface LineOutput {
  /** Queues a line, or drops it when the backlog is full; never blocks. */
  write(line: string): void;
}

interface RateWindow {
  startedAt: number;
  written: number;
  suppressed: number;
}

/** Log of one process. */
export class LineLog {
  private readonly windows = new Map<number, RateWindow>();

  constructor(
    private readonly options: LineLogOptions,
    private readonly output: LineOutput,
    private readonly now: () => number = () => performance.now(),
  ) {}

  /** Logs one event; its line is suppressed below the log level or above the rate limit. */
  report(event: EventKind, fields: EventFields): void {
    const { observer, level, linesPerSecond, source } = this.options;
    observer(event, fields);
    if (LEVELS.indexOf(event.level) < LEVELS.indexOf(level)) {
      return;
    }
    const window = this.getCurrentWindow(event);
    if (window.written >= linesPerSecond) {
      window.suppressed++;
      return;
    }
    window.written++;
    const suppressedField = window.suppressed > 0 ? { suppressed: window.suppressed } : {};
    window.suppressed = 0;
    const line = {
      event: event.number,
      message: event.name,
      level: event.level,
      source,
      timestamp: new Date().toISOString(),
      ...fields,
      ...suppressedField,
    };
    this.output.write(`${JSON.stringify(line)}\n`);
  }

  private getCurrentWindow(event: EventKind): RateWindow {
    const now = this.now();
    const previous = this.windows.get(event.number);
    if (previous && now - previous.startedAt < RATE_WINDOW_MS) {
      return previous;
    }
    const started = { startedAt: now, written: 0, suppressed: previous?.suppressed ?? 0 };
    this.windows.set(event.number, started);
    return started;
  }
}

/**
 * Writes lines to a file descriptor asynchronously, with a bounded backlog. Lines are
 * buffered briefly, because each write is dispatched to another thread.
 */
export class DescriptorOutput implements LineOutput {
  private readonly stream: SonicBoom;
  private buffered = '';
  private droppedBatches = 0;

  constructor(descriptor: number) {
    this.stream = new SonicBoom({
      fd: descriptor,
      sync: false,
      maxLength: MAXIMUM_BACKLOG_BYTES,
      maxWrite: MAXIMUM_WRITE_BYTES,
    });
    this.stream.on('drop', () => this.droppedBatches++);
    this.stream.on('error', () => this.droppedBatches++);
  }

  /** Number of batches dropped or failed to be written. */
  get droppedCount(): number {
    return this.droppedBatches;
  }

  write(line: string): void {
    if (this.buffered.length + line.length > MAXIMUM_WRITE_BYTES) {
      this.flush();
    }
    if (this.buffered === '') {
      setTimeout(() => this.flush(), FLUSH_DELAY_MS).unref();
    }
    this.buffered += line;
  }

  /** Writes the buffered lines. */
  flush(): void {
    if (this.buffered !== '') {
      this.stream.write(this.buffered);
      this.buffered = '';
    }
  }

  /** Writes the remaining lines, then calls `done`, after the time-out if the reader is stalled. */
  close(done: () => void): void {
    this.flush();
    const timer = setTimeout(done, CLOSE_TIMEOUT_MS);
    this.stream.flush(() => {
      clearTimeout(timer);
      done();
    });
  }
}

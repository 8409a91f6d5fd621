/**
 * The log of a process that must carry packets at once: JSON lines on standard output.
 *
 * It writes what {@link EventLog} writes without loading winston, which alone takes
 * longer than the whole start of such a process (docs/PACKETS.md has the figures). Each
 * kind of event has a budget a second, and what the reader does not take is dropped and
 * counted: a log never delays a packet.
 */
import SonicBoom from 'sonic-boom';
import type { EventFields, EventKind, EventLevel } from './events';

const LEVELS: readonly EventLevel[] = ['debug', 'info', 'warn', 'error'];
const RATE_WINDOW_MS = 1_000;
/** Bytes that wait for the reader at most. */
const MAXIMUM_BACKLOG_BYTES = 1_048_576;
/** Bytes of one write at most, unless a line is longer: a pipe takes so many at once or none. */
const MAXIMUM_WRITE_BYTES = 4_096;
/** Milliseconds for which lines are gathered. */
const FLUSH_DELAY_MS = 100;
/** Milliseconds that a process waits at its end for the reader. */
const CLOSE_TIMEOUT_MS = 100;

/** Settings of a line log. */
export interface LineLogOptions {
  /** Goes into every line, for example the process's name. */
  readonly source: string;
  readonly level: EventLevel;
  /** Lines of one kind of event in a second; the rest are counted. */
  readonly linesPerSecond: number;
  /** Receives every event, also those whose line is left out. */
  readonly observer: (event: EventKind, fields: EventFields) => void;
}

/** Where lines go. */
export interface LineOutput {
  /** Takes a line, or drops it when too much waits; never blocks. */
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

  /** Writes one event. */
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
 * Lines to a file descriptor in the background, with a bounded backlog. Lines are
 * gathered for a moment: each write costs a hand-over to another thread.
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

  /** Batches that the reader did not take. */
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

  /** Hands over what has been gathered. */
  flush(): void {
    if (this.buffered !== '') {
      this.stream.write(this.buffered);
      this.buffered = '';
    }
  }

  /** Writes what is left; `done` is called then, or soon when the reader does not take it. */
  close(done: () => void): void {
    this.flush();
    const timer = setTimeout(done, CLOSE_TIMEOUT_MS);
    this.stream.flush(() => {
      clearTimeout(timer);
      done();
    });
  }
}

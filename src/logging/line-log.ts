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
const ONE_SECOND = 1_000;
/** Bytes that wait for the reader at most. */
const MAXIMUM_BACKLOG = 1_048_576;
/** Bytes of one write at most, unless a line is longer: a pipe takes so many at once or none. */
const LONGEST_WRITE = 4_096;
/** Milliseconds for which lines are gathered. */
const GATHER_TIME = 100;
/** Milliseconds that a process waits at its end for the reader. */
const CLOSE_TIME = 100;

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

interface Budget {
  startedAt: number;
  written: number;
  suppressed: number;
}

/** Log of one process. */
export class LineLog {
  private readonly budgets = new Map<number, Budget>();

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
    const budget = this.budgetOf(event);
    if (budget.written >= linesPerSecond) {
      budget.suppressed++;
      return;
    }
    budget.written++;
    const note = budget.suppressed > 0 ? { suppressed: budget.suppressed } : {};
    budget.suppressed = 0;
    const line = {
      event: event.number,
      message: event.name,
      level: event.level,
      source,
      timestamp: new Date().toISOString(),
      ...fields,
      ...note,
    };
    this.output.write(`${JSON.stringify(line)}\n`);
  }

  private budgetOf(event: EventKind): Budget {
    const now = this.now();
    const known = this.budgets.get(event.number);
    if (known && now - known.startedAt < ONE_SECOND) {
      return known;
    }
    const fresh = { startedAt: now, written: 0, suppressed: known?.suppressed ?? 0 };
    this.budgets.set(event.number, fresh);
    return fresh;
  }
}

/**
 * Lines to a file descriptor in the background, with a bounded backlog. Lines are
 * gathered for a moment: each write costs a hand-over to another thread.
 */
export class DescriptorOutput implements LineOutput {
  private readonly stream: SonicBoom;
  private gathered = '';
  private droppedLines = 0;

  constructor(descriptor: number) {
    this.stream = new SonicBoom({
      fd: descriptor,
      sync: false,
      maxLength: MAXIMUM_BACKLOG,
      maxWrite: LONGEST_WRITE,
    });
    this.stream.on('drop', () => this.droppedLines++);
    this.stream.on('error', () => this.droppedLines++);
  }

  /** Batches that the reader did not take. */
  get dropped(): number {
    return this.droppedLines;
  }

  write(line: string): void {
    if (this.gathered.length + line.length > LONGEST_WRITE) {
      this.flush();
    }
    if (this.gathered === '') {
      setTimeout(() => this.flush(), GATHER_TIME).unref();
    }
    this.gathered += line;
  }

  /** Hands over what has been gathered. */
  flush(): void {
    if (this.gathered !== '') {
      this.stream.write(this.gathered);
      this.gathered = '';
    }
  }

  /** Writes what is left; `done` is called then, or soon when the reader does not take it. */
  close(done: () => void): void {
    this.flush();
    const timer = setTimeout(done, CLOSE_TIME);
    this.stream.flush(() => {
      clearTimeout(timer);
      done();
    });
  }
}

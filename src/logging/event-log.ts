/** Writes numbered events as JSON lines through winston, rate-limited for each kind of event. */
import { createLogger, format, transports, type Logger } from 'winston';
import type { EventFields, EventKind, EventLevel } from './events';

/** Lines of one kind of event written in each window; further ones are counted. */
const MAXIMUM_LINES_PER_SECOND = 10;
const RATE_WINDOW_MS = 1_000;

interface RateWindow {
  startedAt: number;
  written: number;
  suppressed: number;
}

/** Receives every event, including those whose line is suppressed. */
export type EventObserver = (event: EventKind) => void;

/** Log of one process. */
export class EventLog {
  private readonly logger: Logger;
  private readonly windows = new Map<number, RateWindow>();

  /**
   * @param source included in every line, for example the name of the process
   * @param observer counts events for metrics
   */
  constructor(
    source: string,
    level: EventLevel,
    private readonly observer: EventObserver = () => undefined,
    private readonly now: () => number = () => performance.now(),
  ) {
    this.logger = createLogger({
      level,
      defaultMeta: { source },
      format: format.combine(format.timestamp(), format.json()),
      transports: [new transports.Console({ stderrLevels: ['debug', 'info', 'warn', 'error'] })],
    });
  }

  /** Logs one event; its line is suppressed below the log level or above the rate limit. */
  report(event: EventKind, fields: EventFields): void {
    this.observer(event);
    if (!this.logger.isLevelEnabled(event.level)) {
      return;
    }
    const window = this.getCurrentWindow(event);
    if (window.written >= MAXIMUM_LINES_PER_SECOND) {
      window.suppressed++;
      return;
    }
    window.written++;
    const { suppressed } = window;
    window.suppressed = 0;
    const suppressedField = suppressed > 0 ? { suppressed } : {};
    this.logger.log(event.level, event.name, {
      event: event.number,
      ...fields,
      ...suppressedField,
    });
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

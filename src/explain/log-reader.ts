/** Parses JSON log lines of many processes, also behind a prefix added by a log collector. */

/** A parsed log line. */
export interface LogRecord {
  /** Unix time in milliseconds, by the clock of the process that wrote the line. */
  readonly time: number;
  readonly source: string;
  readonly event: number;
  readonly message: string;
  readonly fields: Readonly<Record<string, unknown>>;
}

/** Parses one line; undefined for a line without a record. */
export function parseLogLine(line: string): LogRecord | undefined {
  const start = line.indexOf('{');
  if (start < 0) {
    return undefined;
  }
  try {
    return createLogRecord(JSON.parse(line.slice(start)) as Record<string, unknown>);
  } catch {
    return undefined;
  }
}

function createLogRecord(document: Record<string, unknown>): LogRecord | undefined {
  const { event, message, source, timestamp, ...rest } = document;
  const time = typeof timestamp === 'string' ? Date.parse(timestamp) : NaN;
  if (typeof event !== 'number' || typeof message !== 'string' || Number.isNaN(time)) {
    return undefined;
  }
  const fields = Object.fromEntries(Object.entries(rest).filter(([key]) => key !== 'level'));
  return { time, source: String(source), event, message, fields };
}

/** Parses all records of a text and skips other lines. */
export function parseLog(text: string): LogRecord[] {
  const records: LogRecord[] = [];
  for (const line of text.split('\n')) {
    const record = parseLogLine(line);
    if (record) {
      records.push(record);
    }
  }
  return records;
}

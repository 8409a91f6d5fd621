/**
 * What back ends ran and what callers were told, side by side.
 *
 * A report's payload is "REPORT#ATTEMPT": a caller that is told "not run" may send
 * the same report as another attempt.
 */
export class RunRecord {
  /** @param writeTrace receives a line for each note, for traces */
  constructor(private readonly writeTrace: (line: string) => void = () => undefined) {}

  private readonly runsByReport = new Map<string, number>();
  private readonly attemptsRun = new Set<string>();
  private readonly attemptsRefused = new Set<string>();

  /** A back end begins to run an attempt. */
  recordRun(attempt: string): void {
    this.writeTrace(`run ${attempt}`);
    const report = attempt.split('#')[0]!;
    this.runsByReport.set(report, (this.runsByReport.get(report) ?? 0) + 1);
    this.attemptsRun.add(attempt);
  }

  /** A caller was told that an attempt did not run. */
  recordRefused(attempt: string): void {
    this.writeTrace(`refused ${attempt}`);
    this.attemptsRefused.add(attempt);
  }

  /** Reports that ran more than once. */
  listDuplicateRuns(): string[] {
    return [...this.runsByReport].filter(([, runs]) => runs > 1).map(([report]) => report);
  }

  /** Attempts said not to have run that did. */
  listFalselyRefused(): string[] {
    return [...this.attemptsRefused].filter((attempt) => this.attemptsRun.has(attempt));
  }

  /** Every attempt that ran, in order of first run. */
  listAttemptsRun(): string[] {
    return [...this.attemptsRun];
  }

  /** Every attempt that callers were told did not run. */
  listAttemptsRefused(): string[] {
    return [...this.attemptsRefused];
  }

  get reportsRun(): number {
    return this.runsByReport.size;
  }

  get refusals(): number {
    return this.attemptsRefused.size;
  }
}

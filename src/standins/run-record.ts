/**
 * Records the attempts that back ends ran and those that callers saw refused.
 *
 * A report's payload is "REPORT#ATTEMPT": a caller whose attempt was refused as not run
 * may send the same report as another attempt.
 */
export class RunRecord {
  /** @param writeTrace receives a trace line for each record */
  constructor(private readonly writeTrace: (line: string) => void = () => undefined) {}

  private readonly runsByReport = new Map<string, number>();
  private readonly attemptsRun = new Set<string>();
  private readonly attemptsRefused = new Set<string>();

  /** Records that a back end started to run an attempt. */
  recordRun(attempt: string): void {
    this.writeTrace(`run ${attempt}`);
    const report = attempt.split('#')[0]!;
    this.runsByReport.set(report, (this.runsByReport.get(report) ?? 0) + 1);
    this.attemptsRun.add(attempt);
  }

  /** Records that a caller's attempt was refused as not run. */
  recordRefused(attempt: string): void {
    this.writeTrace(`refused ${attempt}`);
    this.attemptsRefused.add(attempt);
  }

  /** Reports that ran more than once. */
  listDuplicateRuns(): string[] {
    return [...this.runsByReport].filter(([, runs]) => runs > 1).map(([report]) => report);
  }

  /** Attempts that ran although refused as not run. */
  listFalselyRefused(): string[] {
    return [...this.attemptsRefused].filter((attempt) => this.attemptsRun.has(attempt));
  }

  /** All attempts that ran, in order of their first run. */
  listAttemptsRun(): string[] {
    return [...this.attemptsRun];
  }

  /** All attempts refused as not run. */
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

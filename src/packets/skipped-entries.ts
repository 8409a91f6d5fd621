/** Logs how many entries of a collection are invalid and skipped, each time the number changes. */
import type { Environment } from '../environment';
import { Events } from '../logging/events';

/** Skipped entries of one collection. */
export class SkippedEntries {
  private logged = 0;

  constructor(
    private readonly environment: Environment,
    private readonly collection: string,
  ) {}

  /** Records the number of skipped entries; logs it unless it is 0 or was logged last. */
  record(skipped: number): void {
    if (skipped > 0 && skipped !== this.logged) {
      this.logged = skipped;
      this.environment.report(Events.entriesSkipped, { collection: this.collection, skipped });
    }
  }
}

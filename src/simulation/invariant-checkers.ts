/** The users' eight promises as checkers; each counts what it judged and what broke. */

/** Names of the checkers, as reports carry them. */
export const CHECKER_NAMES = [
  'established-flow-survives-planned-change',
  'right-service-only',
  'whole-answer-to-own-request',
  'not-run-is-true',
  'at-most-once',
  'leaving-gets-no-new-work',
  'planned-stop-cuts-nothing',
  'accepted-table-in-force',
] as const;

export type CheckerName = (typeof CHECKER_NAMES)[number];

const MAXIMUM_EXAMPLES = 5;

/** Outcome of one checker. */
export interface CheckerOutcome {
  readonly judged: number;
  readonly violations: number;
  /** The first few violations, in words. */
  readonly examples: readonly string[];
}

/** Collects judgements. */
export class InvariantCheckers {
  private readonly judged = new Map<CheckerName, number>();
  private readonly violations = new Map<CheckerName, string[]>();

  /** Notes cases that a checker judged. */
  recordChecks(name: CheckerName, cases = 1): void {
    this.judged.set(name, (this.judged.get(name) ?? 0) + cases);
  }

  /** Notes a violation. */
  recordViolation(name: CheckerName, description: string): void {
    const descriptions = this.violations.get(name) ?? [];
    descriptions.push(description);
    this.violations.set(name, descriptions);
  }

  /** Violations of all checkers. */
  get totalViolations(): number {
    return [...this.violations.values()].reduce((sum, list) => sum + list.length, 0);
  }

  /** Every checker's outcome, those that judged nothing too. */
  listOutcomes(): Record<CheckerName, CheckerOutcome> {
    const entries = CHECKER_NAMES.map((name) => {
      const violations = this.violations.get(name) ?? [];
      const outcome = {
        judged: this.judged.get(name) ?? 0,
        violations: violations.length,
        examples: violations.slice(0, MAXIMUM_EXAMPLES),
      };
      return [name, outcome] as const;
    });
    return Object.fromEntries(entries) as unknown as Record<CheckerName, CheckerOutcome>;
  }
}

/** Checkers of the eight invariants guaranteed to users; each counts checks and violations. */

/** Names of the invariants, as printed in reports. */
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

/** Result of one checker. */
export interface CheckerOutcome {
  readonly judged: number;
  readonly violations: number;
  /** Descriptions of the first few violations. */
  readonly examples: readonly string[];
}

/** Collects checks and violations by invariant. */
export class InvariantCheckers {
  private readonly checked = new Map<CheckerName, number>();
  private readonly violations = new Map<CheckerName, string[]>();

  /** Records a number of checked cases. */
  recordChecks(name: CheckerName, cases = 1): void {
    this.checked.set(name, (this.checked.get(name) ?? 0) + cases);
  }

  /** Records a violation. */
  recordViolation(name: CheckerName, description: string): void {
    const descriptions = this.violations.get(name) ?? [];
    descriptions.push(description);
    this.violations.set(name, descriptions);
  }

  /** Number of violations of all invariants. */
  get totalViolations(): number {
    return [...this.violations.values()].reduce((sum, list) => sum + list.length, 0);
  }

  /** Returns the result of every checker, including those that checked nothing. */
  listOutcomes(): Record<CheckerName, CheckerOutcome> {
    const entries = CHECKER_NAMES.map((name) => {
      const violations = this.violations.get(name) ?? [];
      const outcome = {
        judged: this.checked.get(name) ?? 0,
        violations: violations.length,
        examples: violations.slice(0, MAXIMUM_EXAMPLES),
      };
      return [name, outcome] as const;
    });
    return Object.fromEntries(entries) as unknown as Record<CheckerName, CheckerOutcome>;
  }
}

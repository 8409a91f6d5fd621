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

const EXAMPLES_KEPT = 5;

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
  private readonly broken = new Map<CheckerName, string[]>();

  /** Notes cases that a checker judged. */
  judge(name: CheckerName, cases = 1): void {
    this.judged.set(name, (this.judged.get(name) ?? 0) + cases);
  }

  /** Notes a violation. */
  violate(name: CheckerName, what: string): void {
    const known = this.broken.get(name) ?? [];
    known.push(what);
    this.broken.set(name, known);
  }

  /** Violations of all checkers. */
  get total(): number {
    return [...this.broken.values()].reduce((sum, list) => sum + list.length, 0);
  }

  /** Every checker's outcome, those that judged nothing too. */
  outcomes(): Record<CheckerName, CheckerOutcome> {
    const entries = CHECKER_NAMES.map((name) => {
      const broken = this.broken.get(name) ?? [];
      const outcome = {
        judged: this.judged.get(name) ?? 0,
        violations: broken.length,
        examples: broken.slice(0, EXAMPLES_KEPT),
      };
      return [name, outcome] as const;
    });
    return Object.fromEntries(entries) as unknown as Record<CheckerName, CheckerOutcome>;
  }
}

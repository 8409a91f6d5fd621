/** Settings of Node's compiler for processes that have little processor time. */
import { setFlagsFromString } from 'node:v8';

/**
 * Bytes of bytecode that a function runs before it is optimized: about fifteen times Node's
 * own value. A process that has just started has packets waiting, and what the optimizing
 * compiler takes of a small share is missing there (docs/DECISIONS.md has the figures).
 */
const OPTIMIZATION_BUDGET_BYTES = 1_000_000;

/**
 * Lets functions run longer before they are optimized. To be called once everything is
 * loaded: under other flags Node refuses the bytecode of its own modules.
 */
export function delayOptimization(): void {
  setFlagsFromString(`--interrupt-budget=${OPTIMIZATION_BUDGET_BYTES}`);
}

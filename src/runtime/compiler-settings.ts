/** V8 compiler settings for processes with a small CPU share. */
import { setFlagsFromString } from 'node:v8';

/**
 * Bytes of bytecode that a function runs before it is optimized, about fifteen times Node's default.
 * On a small CPU share the optimizing compiler would delay the packets already queued when the
 * process starts (measurements in docs/DECISIONS.md).
 */
const OPTIMIZATION_BUDGET_BYTES = 1_000_000;

/**
 * Delays the optimization of functions. Call it after all modules are loaded: Node rejects the
 * bytecode of its own modules when the flags differ from those it was compiled with.
 */
export function delayOptimization(): void {
  setFlagsFromString(`--interrupt-budget=${OPTIMIZATION_BUDGET_BYTES}`);
}

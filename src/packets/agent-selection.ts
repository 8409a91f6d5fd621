/** Selects the agent for a new flow by the configured rule (docs/design/choice.md). */
import type { AgentEntry } from './agent-directory';
import { selectLeastWait } from './choice/expected-wait';
import { selectLeastLoaded } from './choice/least-load';
import type { Choice, SelectionContext } from './choice/selection';

export { acceptsNewFlows, type Choice, type SelectionContext } from './choice/selection';

/**
 * Selects the best of the first agents that accept new flows; undefined when none does.
 * @param ordered agents in the candidate order of the flow
 */
export function selectAgent(
  ordered: readonly AgentEntry[],
  context: SelectionContext,
): Choice | undefined {
  return context.usesExpectedWait
    ? selectLeastWait(ordered, context)
    : selectLeastLoaded(ordered, context);
}

/** Chooses the agent for a new flow, by the rule that the settings name (docs/design/choice.md). */
import type { AgentEntry } from './agent-directory';
import { selectLeastWait } from './choice/expected-wait';
import { selectLeastLoaded } from './choice/least-load';
import type { Choice, SelectionContext } from './choice/selection';

export { acceptsNewFlows, type Choice, type SelectionContext } from './choice/selection';

/**
 * The best of the first agents that take new flows, or undefined when none takes any.
 * @param ordered agents in the order that belongs to the flow
 */
export function selectAgent(
  ordered: readonly AgentEntry[],
  context: SelectionContext,
): Choice | undefined {
  return context.usesExpectedWait
    ? selectLeastWait(ordered, context)
    : selectLeastLoaded(ordered, context);
}

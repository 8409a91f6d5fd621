/** Selection context for tests. */
import type { SelectionContext } from '../../src/packets/choice/selection';

/** Creates the context of a balancer in zone north with responsive and healthy agents. */
export function createSelectionContext(fields: Partial<SelectionContext> = {}): SelectionContext {
  return {
    now: 0,
    usesExpectedWait: true,
    openingRate: 0,
    requestsPerFlow: 1,
    competingShare: 1,
    isHeard: () => true,
    getReportAge: () => 0,
    isRecentlyAdded: () => false,
    getTransferCost: ({ zone }) => (zone === 'north' ? 0 : 2),
    getOutlierStatus: () => ({ kind: 'usual' }),
    random: () => 0,
    ...fields,
  };
}

/** What a choice of an agent depends on, as tests need it. */
import type { SelectionContext } from '../../src/packets/choice/selection';

/** A balancer of the north that hears every agent at once and knows nothing against any. */
export function createSelectionContext(fields: Partial<SelectionContext> = {}): SelectionContext {
  return {
    now: 0,
    usesExpectedWait: true,
    openingRate: 0,
    requestsPerFlow: 1,
    competingShare: 1,
    isHeard: () => true,
    getReportAge: () => 0,
    isSettling: () => false,
    getTransferCost: ({ zone }) => (zone === 'north' ? 0 : 2),
    getOutlierStatus: () => ({ kind: 'usual' }),
    random: () => 0,
    ...fields,
  };
}

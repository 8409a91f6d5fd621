/** Dependency injection tokens of the admin server. */
import type { Metrics } from '../runtime/metrics';

/** Token of the {@link AdminTarget}. */
export const ADMIN_TARGET = 'hallhold-admin-target';
/** Token of the balancer node, whose value is undefined on agents. */
export const BALANCER_NODE = 'hallhold-balancer-node';

/** Data source of the health, metrics and status controllers. */
export interface AdminTarget {
  readonly metrics: Metrics;
  readonly isReady: () => boolean;
  readonly status: () => unknown;
}

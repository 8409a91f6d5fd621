/** Settings and environment shared by the components of a balancer. */
import type { Endpoint, Environment } from '../environment';
import type { Message } from '../wire/messages';

/** Checked settings of one balancer. */
export interface BalancerNodeSettings {
  readonly name: string;
  readonly zone: string;
  /** Address at which this balancer receives internal frames. */
  readonly endpoint: Endpoint;
  /** Seed balancers through which this one joins. */
  readonly peers: readonly Endpoint[];
  /** Increases with each start of the balancer. */
  readonly incarnation: number;
  /** Maximum number of flows whose host is cached, over all services. */
  readonly learntFlows: number;
}

/** Shared by the components of one balancer. */
export interface BalancerContext {
  readonly settings: BalancerNodeSettings;
  readonly environment: Environment;
  send(to: Endpoint, message: Message): void;
}

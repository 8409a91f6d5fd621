/** What the parts of a balancer share. */
import type { Endpoint, Environment } from '../environment';
import type { Message } from '../wire/messages';

/** Checked settings of one balancer. */
export interface BalancerNodeSettings {
  readonly name: string;
  readonly zone: string;
  /** Where this balancer receives internal frames. */
  readonly endpoint: Endpoint;
  /** Balancers to join through. */
  readonly peers: readonly Endpoint[];
  /** Rises with each start of the balancer. */
  readonly incarnation: number;
  /** Flows whose host is remembered, over all services. */
  readonly learntFlows: number;
}

/** Shared by the parts of one balancer. */
export interface BalancerContext {
  readonly settings: BalancerNodeSettings;
  readonly environment: Environment;
  send(to: Endpoint, message: Message): void;
}

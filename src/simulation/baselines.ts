/**
 * Routing designs that hallhold is compared with: a stateless consistent hash, and the
 * same hash with a connection table in each balancer. In both, an agent hosts every
 * flow that reaches it.
 */
import type { RoutingFactory } from '../balancer/balancer-node';
import type { FlowRouting } from '../balancer/flow-routing';
import type { FlowHost } from '../balancer/flow-host-cache';
import type { TargetStates } from '../balancer/target-states';
import { computeRendezvousScore } from '../core/hashing';
import type { ServiceTable } from '../core/table';
import type { Endpoint } from '../environment';

/** Routing and placement designs that a simulation can run. */
export const DESIGNS = ['hallhold', 'hash', 'hash-and-table', 'oracle'] as const;
export type Design = (typeof DESIGNS)[number];

const SCORE_RANGE = 2 ** 32;

/** Weighted rendezvous hashing of flows over the serving targets. */
class HashRouting implements FlowRouting {
  protected hosts: readonly (FlowHost & { readonly share: number })[] = [];

  constructor(
    private readonly service: string,
    private readonly states: TargetStates,
  ) {}

  get knownFlows(): number {
    return 0;
  }

  route(caller: Endpoint): FlowHost | undefined {
    let best: FlowHost | undefined;
    let bestScore = -Infinity;
    for (const host of this.hosts) {
      const uniform = (computeRendezvousScore(String(caller), host.target) + 1) / (SCORE_RANGE + 1);
      const score = -host.share / Math.log(uniform);
      if (score > bestScore) {
        best = host;
        bestScore = score;
      }
    }
    return best;
  }

  recordHost(): void {
    // Stateless: hosts are computed, not recorded.
  }

  invalidate(table: ServiceTable | undefined): void {
    this.hosts = (table?.rows ?? [])
      .filter((row) => row.share > 0 && this.states.isServing(this.service, row.target))
      .map((row) => ({ target: row.target, endpoint: row.address, share: row.share }));
  }
}

/** The same hash, but a balancer stores its first choice for each flow. */
class HashAndTableRouting extends HashRouting {
  private readonly table = new Map<Endpoint, FlowHost>();

  override get knownFlows(): number {
    return this.table.size;
  }

  override route(caller: Endpoint): FlowHost | undefined {
    const known = this.table.get(caller);
    if (known) {
      return known;
    }
    const chosen = super.route(caller);
    if (chosen) {
      this.table.set(caller, chosen);
    }
    return chosen;
  }
}

/** Returns the routing factory of a design; undefined for hallhold's own routing. */
export function createRoutingFactory(design: Design): RoutingFactory | undefined {
  switch (design) {
    case 'hash':
      return (service, states) => new HashRouting(service, states);
    case 'hash-and-table':
      return (service, states) => new HashAndTableRouting(service, states);
    default:
      return undefined;
  }
}

/** Whether agents of a design host every flow that reaches them. */
export function hostsAnyFlow(design: Design): boolean {
  return design === 'hash' || design === 'hash-and-table';
}

/**
 * The ways of routing that hallhold is compared with: a stateless consistent hash,
 * and the same with a connection table in each balancer. In both, any agent hosts
 * whatever flow reaches it.
 */
import type { RoutingFactory } from '../balancer/balancer-node';
import type { FlowRouting } from '../balancer/flow-routing';
import type { FlowHost } from '../balancer/flow-host-cache';
import type { TargetStates } from '../balancer/target-states';
import { computeRendezvousScore } from '../core/hashing';
import type { ServiceTable } from '../core/table';
import type { Endpoint } from '../environment';

/** Ways of routing and placing that a simulation can run. */
export const DESIGNS = ['hallhold', 'hash', 'hash-and-table', 'oracle'] as const;
export type Design = (typeof DESIGNS)[number];

const SCORE_RANGE = 2 ** 32;

/** Weighted rendezvous hashing of each flow over the targets that serve. */
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
    // A stateless hash learns nothing.
  }

  invalidate(table: ServiceTable | undefined): void {
    this.hosts = (table?.rows ?? [])
      .filter((row) => row.share > 0 && this.states.isServing(this.service, row.target))
      .map((row) => ({ target: row.target, endpoint: row.address, share: row.share }));
  }
}

/** The hash, but a balancer keeps what it once chose for a flow. */
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

/** The routing of a design; undefined for hallhold's own. */
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

/** True for designs in which an agent hosts whatever reaches it. */
export function hostsAnyFlow(design: Design): boolean {
  return design === 'hash' || design === 'hash-and-table';
}

/** To which agent a balancer sends a caller's datagram. */
import type { Endpoint } from '../environment';
import { computeBucket, computeServiceSeed } from '../core/hashing';
import { computeOwners } from '../core/ownership';
import type { ServiceTable } from '../core/table';
import { LearntHosts, type LearntBudget, type LearntHost } from './learnt-hosts';
import type { TargetStates } from './target-states';

/** The seam at which ways of routing differ; the simulator's baselines implement it too. */
export interface FlowRouting {
  /** The agent for a datagram; undefined when the service has none. */
  route(caller: Endpoint): LearntHost | undefined;
  /** A reply showed that a target hosts the flow. */
  learn(caller: Endpoint, target: string, endpoint: Endpoint): void;
  /** The table or a target's state changed. */
  invalidate(table: ServiceTable | undefined): void;
  /** Flows whose host is remembered. */
  readonly knownFlows: number;
}

/** Learnt host, else the owner of the flow's bucket in this balancer's view. */
export class DirectoryRouting implements FlowRouting {
  private readonly learnt: LearntHosts;
  private readonly seed: number;
  /** Hosts by target name, so that flows share one object a target. */
  private hosts = new Map<string, LearntHost>();
  private owners: readonly (LearntHost | undefined)[] | undefined;
  private table: ServiceTable | undefined;

  /** @param budget bounds the flows whose host is remembered, over all services */
  constructor(
    private readonly service: string,
    private readonly states: TargetStates,
    budget: LearntBudget,
  ) {
    this.learnt = new LearntHosts(budget);
    this.seed = computeServiceSeed(service);
  }

  get knownFlows(): number {
    return this.learnt.size;
  }

  route(caller: Endpoint): LearntHost | undefined {
    const host = this.learnt.get(caller);
    if (host && !this.states.isStopped(this.service, host.target)) {
      return host;
    }
    this.owners ??= this.computeOwnerHosts();
    return this.owners[computeBucket(caller, this.seed)];
  }

  learn(caller: Endpoint, target: string, endpoint: Endpoint): void {
    const known = this.learnt.get(caller);
    if (known?.target === target && known.endpoint === endpoint) {
      return;
    }
    this.learnt.set(caller, this.hostFor(target, endpoint));
  }

  invalidate(table: ServiceTable | undefined): void {
    this.table = table;
    this.owners = undefined;
  }

  private hostFor(target: string, endpoint: Endpoint): LearntHost {
    const known = this.hosts.get(target);
    if (known?.endpoint === endpoint) {
      return known;
    }
    const host = { target, endpoint };
    this.hosts.set(target, host);
    return host;
  }

  private computeOwnerHosts(): readonly (LearntHost | undefined)[] {
    const rows = this.table?.rows ?? [];
    const withShare = rows.filter((row) => row.share > 0);
    const serving = withShare.filter((row) => this.states.isServing(this.service, row.target));
    const eligible = serving.length > 0 ? serving : withShare.length > 0 ? withShare : rows;
    const endpoints = new Map(eligible.map((row) => [row.target, row.address]));
    const owners = computeOwners(this.service, [...endpoints.keys()].sort());
    return owners.map((owner) =>
      owner === undefined ? undefined : this.hostFor(owner, endpoints.get(owner)!),
    );
  }
}

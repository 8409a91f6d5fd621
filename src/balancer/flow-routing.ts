/** Selects the agent to which a balancer forwards a caller's datagram. */
import type { Endpoint } from '../environment';
import { computeBucket, computeServiceSeed } from '../core/hashing';
import { computeOwners } from '../core/ownership';
import type { ServiceTable } from '../core/table';
import { FlowHostCache, type FlowCacheBudget, type FlowHost } from './flow-host-cache';
import type { TargetStates } from './target-states';

/** Routing of one service; the simulator's baselines implement it too. */
export interface FlowRouting {
  /** The agent to send a datagram to; undefined when the service has none. */
  route(caller: Endpoint): FlowHost | undefined;
  /** Records that a target hosts the flow, as a reply from it shows. */
  recordHost(caller: Endpoint, target: string, endpoint: Endpoint): void;
  /** Applies a change of the table or of a target's state. */
  invalidate(table: ServiceTable | undefined): void;
  /** Number of flows whose host is cached. */
  readonly knownFlows: number;
}

/** Routes to the cached host, else to the owner of the flow's bucket in this balancer's view. */
export class DirectoryRouting implements FlowRouting {
  private readonly cache: FlowHostCache;
  private readonly seed: number;
  /** Hosts by target name, so that all flows of a target share one object. */
  private hostsByTarget = new Map<string, FlowHost>();
  private bucketOwners: readonly (FlowHost | undefined)[] | undefined;
  private table: ServiceTable | undefined;

  /** @param budget bounds the cached flows of all services together */
  constructor(
    private readonly service: string,
    private readonly targetStates: TargetStates,
    budget: FlowCacheBudget,
  ) {
    this.cache = new FlowHostCache(budget);
    this.seed = computeServiceSeed(service);
  }

  get knownFlows(): number {
    return this.cache.size;
  }

  route(caller: Endpoint): FlowHost | undefined {
    const host = this.cache.get(caller);
    if (host && !this.targetStates.isStopped(this.service, host.target)) {
      return host;
    }
    this.bucketOwners ??= this.computeBucketOwners();
    return this.bucketOwners[computeBucket(caller, this.seed)];
  }

  recordHost(caller: Endpoint, target: string, endpoint: Endpoint): void {
    const known = this.cache.get(caller);
    if (known?.target === target && known.endpoint === endpoint) {
      return;
    }
    this.cache.set(caller, this.getOrCreateHost(target, endpoint));
  }

  invalidate(table: ServiceTable | undefined): void {
    this.table = table;
    this.bucketOwners = undefined;
  }

  private getOrCreateHost(target: string, endpoint: Endpoint): FlowHost {
    const known = this.hostsByTarget.get(target);
    if (known?.endpoint === endpoint) {
      return known;
    }
    const host = { target, endpoint };
    this.hostsByTarget.set(target, host);
    return host;
  }

  private computeBucketOwners(): readonly (FlowHost | undefined)[] {
    const rows = this.table?.rows ?? [];
    const withShare = rows.filter((row) => row.share > 0);
    const serving = withShare.filter((row) =>
      this.targetStates.isServing(this.service, row.target),
    );
    const eligible = serving.length > 0 ? serving : withShare.length > 0 ? withShare : rows;
    const endpoints = new Map(eligible.map((row) => [row.target, row.address]));
    const ownerNames = computeOwners(this.service, [...endpoints.keys()].sort());
    return ownerNames.map((owner) =>
      owner === undefined ? undefined : this.getOrCreateHost(owner, endpoints.get(owner)!),
    );
  }
}

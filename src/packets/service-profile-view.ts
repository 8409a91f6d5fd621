/** Profile of the service of an agent's target, from the routing tables of balancers. */
import { UNKNOWN_PROFILES, type ServiceProfile, type ServiceProfiles } from './routing-table';
import type { TargetLifecycle } from './target-lifecycle';

/** Service profile of one target. */
export class ServiceProfileView {
  private latest: ServiceProfiles = UNKNOWN_PROFILES;

  constructor(private readonly target: TargetLifecycle) {}

  /** Whether any balancer has sent the profiles of a routing table. */
  get isKnown(): boolean {
    return this.latest.version > 0;
  }

  /** The profile of the target's service; undefined if unknown or missing. */
  get ownProfile(): ServiceProfile | undefined {
    return this.latest.services.find(({ service }) => service === this.target.service);
  }

  /** Whether a service may exist: it is in the routing table, or no services are known. */
  mayServiceExist(name: string): boolean {
    const { services } = this.latest;
    return services.length === 0 || services.some(({ service }) => service === name);
  }

  /** Applies the profiles of a routing table; those of an older one are ignored. */
  apply(profiles: ServiceProfiles): void {
    if (profiles.version > this.latest.version) {
      this.latest = profiles;
      this.target.setColdTime(this.ownProfile?.coldTime);
    }
  }
}

/** What one agent knows of the service of its target, from the routing tables of balancers. */
import { UNKNOWN_PROFILES, type ServiceProfile, type ServiceProfiles } from './routing-table';
import type { TargetLifecycle } from './target-lifecycle';

/** The profile of one target's service. */
export class ServiceProfileView {
  private latest: ServiceProfiles = UNKNOWN_PROFILES;

  constructor(private readonly target: TargetLifecycle) {}

  /** Whether any balancer has told the profiles of a routing table. */
  get isKnown(): boolean {
    return this.latest.version > 0;
  }

  /** The profile of the target's service; undefined while unknown, or where there is none. */
  get ownProfile(): ServiceProfile | undefined {
    return this.latest.services.find(({ service }) => service === this.target.service);
  }

  /** Whether a service may exist: it stands in the routing table, or no table's services are known. */
  mayServiceExist(name: string): boolean {
    const { services } = this.latest;
    return services.length === 0 || services.some(({ service }) => service === name);
  }

  /** Takes the profiles of a routing table; those of an earlier one change nothing. */
  learn(profiles: ServiceProfiles): void {
    if (profiles.version > this.latest.version) {
      this.latest = profiles;
      this.target.setColdTime(this.ownProfile?.coldTime);
    }
  }
}

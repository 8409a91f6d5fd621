/** What one agent knows of the service of its target, from the routing tables of balancers. */
import { UNKNOWN_PROFILES, type ServiceProfile, type ServiceProfiles } from './routing-table';
import type { TargetLifecycle } from './target-lifecycle';

/** The profile of one target's service. */
export class ServiceProfileView {
  private held: ServiceProfiles = UNKNOWN_PROFILES;

  constructor(private readonly target: TargetLifecycle) {}

  /** Whether any balancer has told the profiles of a routing table. */
  get isKnown(): boolean {
    return this.held.version > 0;
  }

  /** The profile of the target's service; undefined while unknown, or where there is none. */
  get own(): ServiceProfile | undefined {
    return this.held.services.find(({ service }) => service === this.target.service);
  }

  /** Whether a service may exist: it stands in the routing table, or no table's services are known. */
  mayExist(name: string): boolean {
    const { services } = this.held;
    return services.length === 0 || services.some(({ service }) => service === name);
  }

  /** Takes the profiles of a routing table; those of an earlier one change nothing. */
  learn(told: ServiceProfiles): void {
    if (told.version > this.held.version) {
      this.held = told;
      this.target.learnColdTime(this.own?.coldTime);
    }
  }
}

/**
 * What an agent goes by when it lets a packet through to its target: what the target says of
 * itself, how it does, and what balancers tell of the deployment.
 */
import { formatEndpoint } from '../core/endpoint';
import type { Endpoint, Environment } from '../environment';
import { ColdStartLimiter, type ColdStartLimitSettings } from './cold-start-limiter';
import { findRefusalReason, type TargetCondition } from './delivery-rules';
import type { RefusalReasonValue, SubscribeMessage } from './packet-messages';
import type { TargetLiveness } from './target-liveness';
import type { TargetHealth } from './target-health';
import type { TargetLifecycle } from './target-lifecycle';
import { ServiceProfileView } from './service-profile-view';
import { ZoneEvacuationView } from './zone-evacuations';

/** What the guard works with. */
export interface TargetGuardDependencies {
  readonly environment: Environment;
  readonly zone: string;
  readonly coldLimit: ColdStartLimitSettings | undefined;
  readonly target: TargetLifecycle;
  readonly health: TargetHealth;
  readonly liveness: TargetLiveness;
}

/** The guard of one target. */
export class TargetGuard {
  private readonly evacuations: ZoneEvacuationView;
  private readonly coldLimit: ColdStartLimiter;
  private readonly profiles: ServiceProfileView;

  constructor(private readonly dependencies: TargetGuardDependencies) {
    const { environment, target, coldLimit } = dependencies;
    this.evacuations = new ZoneEvacuationView(environment, (zones) => this.handleZoneChange(zones));
    this.profiles = new ServiceProfileView(target);
    this.coldLimit = new ColdStartLimiter(target, this.profiles, coldLimit, environment.now());
  }

  /** Takes what a balancer tells of the deployment. */
  learn({ evacuations, profiles, storeEra }: SubscribeMessage, balancer: Endpoint): void {
    this.evacuations.apply({ ...evacuations, era: storeEra }, formatEndpoint(balancer));
    this.profiles.learn(profiles);
  }

  /** Whether a service may exist, as far as balancers have told. */
  mayServiceExist(service: string): boolean {
    return this.profiles.mayServiceExist(service);
  }

  /** Milliseconds from a request to its answer that are aimed at; 0 while unknown. */
  get latencyGoal(): number {
    return this.profiles.ownProfile?.latencyGoal ?? 0;
  }

  /**
   * Why the target must not get a packet; undefined when it may.
   * @param services services that the packet's route allows
   */
  findRefusalReason(opens: boolean, services: readonly string[]): RefusalReasonValue | undefined {
    return findRefusalReason(opens, services, this.condition);
  }

  /** An opening packet is handed to the target. */
  recordOpening(): void {
    const now = this.dependencies.environment.now();
    this.dependencies.health.recordOpening(now);
    this.coldLimit.recordOpening(now);
  }

  /** Ends the timer. */
  stop(): void {
    this.evacuations.stop();
  }

  private get condition(): TargetCondition {
    const { liveness: death, environment, health, target, zone } = this.dependencies;
    const now = environment.now();
    return {
      service: target.service,
      state: target.state,
      isDown: health.isDown(now),
      isDead: death.isDead,
      isProbeDue: health.isProbeDue(now),
      isServiceDisputed: target.isServiceDisputed,
      isEvacuated: this.evacuations.isEvacuated(zone),
      isAtColdLimit: this.coldLimit.isReached(now),
    };
  }

  /** Targets of a zone that comes back into service may be cold, before a heartbeat tells so. */
  private handleZoneChange(zones: readonly string[]): void {
    const { target, zone } = this.dependencies;
    if (zones.includes(zone) && !this.evacuations.isEvacuated(zone)) {
      target.forgetAge();
    }
  }
}

/**
 * Decides whether a packet may reach the target, by the target's heartbeats, its observed health,
 * and the state of the deployment that balancers report.
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

/** Dependencies of the guard. */
export interface TargetGuardDependencies {
  readonly environment: Environment;
  readonly zone: string;
  readonly coldLimit: ColdStartLimitSettings | undefined;
  readonly target: TargetLifecycle;
  readonly health: TargetHealth;
  readonly liveness: TargetLiveness;
}

/** Guard of one target. */
export class TargetGuard {
  private readonly evacuations: ZoneEvacuationView;
  private readonly coldStartLimiter: ColdStartLimiter;
  private readonly profiles: ServiceProfileView;

  constructor(private readonly dependencies: TargetGuardDependencies) {
    const { environment, target, coldLimit } = dependencies;
    this.evacuations = new ZoneEvacuationView(environment, (zones) => this.handleZoneChange(zones));
    this.profiles = new ServiceProfileView(target);
    this.coldStartLimiter = new ColdStartLimiter(
      target,
      this.profiles,
      coldLimit,
      environment.now(),
    );
  }

  /** Applies the state of the deployment that a balancer reports. */
  learn({ evacuations, profiles, storeEra }: SubscribeMessage, balancer: Endpoint): void {
    this.evacuations.apply({ ...evacuations, era: storeEra }, formatEndpoint(balancer));
    this.profiles.apply(profiles);
  }

  /** Whether a service may exist, by the profiles that balancers have sent. */
  mayServiceExist(service: string): boolean {
    return this.profiles.mayServiceExist(service);
  }

  /** Latency goal from a request to its answer in milliseconds; 0 while unknown. */
  get latencyGoal(): number {
    return this.profiles.ownProfile?.latencyGoal ?? 0;
  }

  /**
   * Reason why the target must not get a packet; undefined if it may.
   * @param services services that the packet's route allows
   */
  findRefusalReason(opens: boolean, services: readonly string[]): RefusalReasonValue | undefined {
    return findRefusalReason(opens, services, this.condition);
  }

  /** Records that an opening packet is forwarded to the target. */
  recordOpening(): void {
    const now = this.dependencies.environment.now();
    this.dependencies.health.recordOpening(now);
    this.coldStartLimiter.recordOpening(now);
  }

  /** Cancels the timer. */
  stop(): void {
    this.evacuations.stop();
  }

  private get condition(): TargetCondition {
    const { environment, health, liveness, target, zone } = this.dependencies;
    const now = environment.now();
    return {
      service: target.service,
      state: target.state,
      isDown: health.isDown(now),
      isDead: liveness.isDead,
      isProbeDue: health.isProbeDue(now),
      isServiceDisputed: target.isServiceDisputed,
      isEvacuated: this.evacuations.isEvacuated(zone),
      isAtColdLimit: this.coldStartLimiter.isReached(now),
    };
  }

  /** Targets of a zone that returns to service may be cold before a heartbeat reports it. */
  private handleZoneChange(zones: readonly string[]): void {
    const { target, zone } = this.dependencies;
    if (zones.includes(zone) && !this.evacuations.isEvacuated(zone)) {
      target.forgetAge();
    }
  }
}

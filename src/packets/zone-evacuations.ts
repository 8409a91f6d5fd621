/**
 * Zones that operators have taken out of service. Their targets get no new flows until the zone
 * is back in service; open flows stay where they are.
 *
 * Every node keeps the whole list with its store position. A later list replaces it and an
 * earlier one is ignored, so updates may arrive in any order and from any node.
 *
 * A store that was restored from a backup may lack the latest evacuations until the operator writes
 * them again. So zones that were out of service stay so for a while: that costs some locality, while
 * new flows in a zone that is being evacuated would violate the operator's request.
 */
import type { Environment, TimerHandle } from '../environment';
import { Events } from '../logging/events';
import type { Changes, Listing } from './collection-port';
import {
  isLater,
  resolveEra,
  REWRITE_TIME_MS,
  UNKNOWN_POSITION,
  type StorePosition,
} from './store-position';

/** A zone that is out of service, as the store lists it. */
export interface EvacuatedZone {
  readonly zone: string;
}

/** Zones that are out of service as of a revision, in a message whose era is a separate field. */
export interface AnnouncedEvacuations {
  readonly revision: number;
  readonly zones: readonly string[];
}

/** Zones that are out of service as of a store position; revision 0 when unknown. */
export interface ZoneEvacuations extends StorePosition {
  readonly zones: readonly string[];
}

/** State of a node before it has received any evacuations. */
export const UNKNOWN_EVACUATIONS: ZoneEvacuations = { ...UNKNOWN_POSITION, zones: [] };

/** Called with the zones that went out of service or came back. */
export type EvacuationObserver = (changedZones: readonly string[]) => void;

/** The zones out of service, as known to one node. */
export class ZoneEvacuationView {
  private latest = UNKNOWN_EVACUATIONS;
  /** Zones that the previous era of the store listed and the present one does not. */
  private retained: readonly string[] = [];
  private retentionTimer: TimerHandle | undefined;

  constructor(
    private readonly environment: Environment,
    private readonly onChange: EvacuationObserver,
  ) {}

  /** The latest known state, to send to other nodes. */
  get current(): ZoneEvacuations {
    return this.latest;
  }

  /** The same for a message of the given era; unknown if the state is of another era. */
  getCurrentIn(era: number): ZoneEvacuations {
    return this.latest.era === era ? this.latest : UNKNOWN_EVACUATIONS;
  }

  /** Whether any state is known. */
  get isKnown(): boolean {
    return this.latest.revision > 0;
  }

  isEvacuated(zone: string): boolean {
    return this.latest.zones.includes(zone) || this.retained.includes(zone);
  }

  /** Applies a full listing of the store. */
  applyListing({ items, era, revision }: Listing<EvacuatedZone>): void {
    this.apply({ era, revision, zones: items.map(({ item }) => item.zone) }, 'store');
  }

  /** Applies changes read from the store, in order. */
  applyChanges({ changes, era, revision }: Changes<EvacuatedZone>): void {
    if (era !== this.latest.era) {
      return;
    }
    const zones = new Set(this.latest.zones);
    for (const { item, removed, revision: changedAt } of changes) {
      if (changedAt <= this.latest.revision) {
        continue;
      }
      if (removed) {
        zones.delete(item.zone);
      } else {
        zones.add(item.zone);
      }
    }
    this.apply({ era, revision, zones: [...zones] }, 'store');
  }

  /** Applies a received state; one that is not later, or unknown, is ignored. */
  apply(received: ZoneEvacuations, origin: string): void {
    const before = this.latest;
    const resolved = resolveEra(received, before);
    if (received.revision === 0 || !isLater(resolved, before)) {
      return;
    }
    const zonesBefore = this.zones;
    this.latest = resolved;
    this.retain(before.revision > 0 && resolved.era > before.era ? zonesBefore : this.retained);
    this.reportChanges(zonesBefore, origin, before.revision === 0);
  }

  /** Cancels the retention timer. */
  stop(): void {
    this.retentionTimer?.cancel();
  }

  /** All zones that get no new flows. */
  private get zones(): readonly string[] {
    return [...this.latest.zones, ...this.retained];
  }

  private retain(zones: readonly string[]): void {
    const hadNone = this.retained.length === 0;
    this.retained = zones.filter((zone) => !this.latest.zones.includes(zone));
    if (hadNone && this.retained.length > 0) {
      this.retentionTimer = this.environment.startTimer(REWRITE_TIME_MS, () => this.endRetention());
    }
  }

  /** Accepts the store's list: the operator has not taken these zones out of service again. */
  private endRetention(): void {
    const zonesBefore = this.zones;
    this.retained = [];
    this.reportChanges(zonesBefore, 'store', false);
  }

  private reportChanges(before: readonly string[], origin: string, isFirst: boolean): void {
    const { zones } = this;
    const changedZones = [
      ...zones.filter((zone) => !before.includes(zone)),
      ...before.filter((zone) => !zones.includes(zone)),
    ];
    if (changedZones.length > 0) {
      this.environment.report(Events.zonesEvacuated, {
        zones: zones.join(','),
        changed: changedZones.join(','),
        era: this.latest.era,
        revision: this.latest.revision,
        origin,
      });
    }
    if (changedZones.length > 0 || isFirst) {
      this.onChange(changedZones);
    }
  }
}

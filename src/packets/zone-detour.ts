/**
 * Detours to a zone that this balancer cannot reach, through a balancer of a third zone that may.
 *
 * A packet of an open flow is forwarded unchanged and routed by that balancer, which never
 * forwards it to another: a packet takes at most one detour, so there are no loops.
 */
import { computeRendezvousScore } from '../core/hashing';
import type { Endpoint } from '../environment';
import type { FlowKey } from './flow-packet';

/** Time after its last status in which a balancer may be used; each peer sends one only now and then. */
const STATUS_LIFETIME_MS = 10_000;
/** Maximum number of balancers kept. */
const MAXIMUM_BALANCERS = 256;

interface KnownBalancer {
  readonly zone: string;
  readonly heardAt: number;
}

/** The ready balancers of other zones. */
export class ZoneDetour {
  private readonly balancers = new Map<Endpoint, KnownBalancer>();

  /** @param zone zone of this balancer */
  constructor(private readonly zone: string) {}

  /** Records the status of another balancer. */
  recordStatus(balancer: Endpoint, zone: string, isReady: boolean, now: number): void {
    this.balancers.delete(balancer);
    if (!isReady || zone === this.zone) {
      return;
    }
    this.balancers.set(balancer, { zone, heardAt: now });
    if (this.balancers.size > MAXIMUM_BALANCERS) {
      const [oldest] = this.balancers.keys();
      this.balancers.delete(oldest!);
    }
  }

  /** Finds the balancer for a detour to a zone, the same for all packets of a flow; undefined for none. */
  findBalancer(flow: FlowKey, targetZone: string, now: number): Endpoint | undefined {
    let best: Endpoint | undefined;
    let bestScore = -1;
    for (const [address, { zone, heardAt }] of this.balancers) {
      if (zone === targetZone || now - heardAt > STATUS_LIFETIME_MS) {
        continue;
      }
      const score = computeRendezvousScore(flow, String(address));
      if (score > bestScore) {
        best = address;
        bestScore = score;
      }
    }
    return best;
  }
}

/**
 * Splits the new flows of a route over its services by weight. Smooth weighted
 * round-robin: over any stretch of flows each service gets its part, evenly mixed.
 */
import type { Endpoint } from '../environment';
import type { Route } from './routing-table';

/** Counters of the routes that have more than one service. */
export class WeightedRoundRobin {
  private readonly credits = new Map<Endpoint, Map<string, number>>();

  /** The service for the route's next flow. */
  selectNext(route: Route): string {
    if (route.services.length === 1) {
      return route.services[0]!.service;
    }
    const credits = this.getCredits(route);
    let total = 0;
    let best = route.services[0]!.service;
    let bestCredit = -Infinity;
    for (const { service, weight } of route.services) {
      const credit = (credits.get(service) ?? 0) + weight;
      credits.set(service, credit);
      total += weight;
      if (weight > 0 && credit > bestCredit) {
        best = service;
        bestCredit = credit;
      }
    }
    credits.set(best, (credits.get(best) ?? 0) - total);
    return best;
  }

  /** Forgets all credits; for a new routing table. */
  reset(): void {
    this.credits.clear();
  }

  private getCredits(route: Route): Map<string, number> {
    const known = this.credits.get(route.destination);
    if (known) {
      return known;
    }
    const fresh = new Map<string, number>();
    this.credits.set(route.destination, fresh);
    return fresh;
  }
}

/** The active routing table of a balancer: replaced only by a later version, whatever its source. */
import { isDeepStrictEqual } from 'node:util';
import type { Environment } from '../environment';
import { Events } from '../logging/events';
import { UNKNOWN_PROFILES, type RoutingTable, type ServiceProfiles } from './routing-table';

/** Called with a newly active table, and whether its service profiles differ from before. */
export type TableObserver = (table: RoutingTable, hasOtherProfiles: boolean) => void;

/** Active routing table of one balancer. */
export class ActiveRoutingTable {
  private table: RoutingTable | undefined;

  constructor(
    private readonly environment: Environment,
    private readonly onChanged: TableObserver,
  ) {}

  get current(): RoutingTable | undefined {
    return this.table;
  }

  /** Version of the table; 0 without any. */
  get version(): number {
    return this.table?.version ?? 0;
  }

  /** Service profiles of the table. */
  get profiles(): ServiceProfiles {
    const { table } = this;
    return table ? { version: table.version, services: table.profiles } : UNKNOWN_PROFILES;
  }

  /**
   * Activates a table if its version is later: a store that was restored from a backup may list an
   * earlier one until the operator writes again.
   * @param origin the store, or the peer that sent it; for the log
   */
  applyIfNewer(table: RoutingTable, origin: string): void {
    const { version: inForce } = this;
    const { version, routes, unreadableRoutes = 0, routesWithoutTerms = 0 } = table;
    if (this.table && version <= inForce) {
      if (version < inForce) {
        this.environment.report(Events.routingOutdated, { version, inForce, origin });
      }
      return;
    }
    const hasOtherProfiles = !isDeepStrictEqual(this.table?.profiles ?? [], table.profiles);
    this.table = table;
    this.environment.report(Events.routingApplied, { version, routes: routes.length, origin });
    if (unreadableRoutes > 0) {
      this.environment.report(Events.routesUnreadable, { version, unreadableRoutes });
    }
    if (routesWithoutTerms > 0) {
      this.environment.report(Events.routeTermsMissing, { version, routesWithoutTerms });
    }
    this.onChanged(table, hasOtherProfiles);
  }
}

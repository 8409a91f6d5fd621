/**
 * Admission control for new flows of an overloaded service.
 *
 * It handles sustained demand beyond the capacity of all targets, where even at the best one a
 * request would wait past its caller's deadline. Only a new flow can be refused safely: nothing of
 * it has run. Requests that are merely late are admitted, and so is always the most urgent route of
 * a service, whose requests go first at the targets.
 */
import type { Endpoint } from '../../environment';

/**
 * Fraction of the deadline to which the wait must fall before a route is admitted again: otherwise
 * the first reports of an empty queue would admit all callers at once.
 */
const READMISSION_DEADLINE_SHARE = 0.8;
const CREDITS_PER_OPENING = 100;

/** A new flow with what is known on its arrival. */
export interface OpeningRequest {
  readonly destination: Endpoint;
  /** Milliseconds to its first answer at the best target, as of the reports. */
  readonly expectedTime: number;
  /** Milliseconds after which its caller gives up; 0 when unknown. */
  readonly deadline: number;
  /** Whether another route of the same service is more urgent. */
  readonly isLessUrgent: boolean;
}

/** A route whose new flows are refused at present. */
interface RejectedRoute {
  /** Credit of the route's guaranteed share, in hundredths of a flow. */
  credit: number;
}

/** Admission control of one balancer; each decides by itself from the reports that all get. */
export class OpeningAdmission {
  private readonly rejectedRoutes = new Map<Endpoint, RejectedRoute>();

  /** @param keptShare percentage of new flows admitted in any case, so that no route starves */
  constructor(private readonly keptShare: number) {}

  /** Number of routes whose new flows are refused at present. */
  get rejectedRouteCount(): number {
    return this.rejectedRoutes.size;
  }

  /** Whether a new flow is admitted; updates the state of its route. */
  admit(request: OpeningRequest): boolean {
    const { destination } = request;
    const route = this.rejectedRoutes.get(destination);
    if (!missesDeadline(request, route !== undefined)) {
      this.rejectedRoutes.delete(destination);
      return true;
    }
    const rejected = route ?? { credit: 0 };
    rejected.credit += this.keptShare;
    this.rejectedRoutes.set(destination, rejected);
    if (rejected.credit < CREDITS_PER_OPENING) {
      return false;
    }
    rejected.credit -= CREDITS_PER_OPENING;
    return true;
  }

  /** Clears all state, since another routing table is active. */
  reset(): void {
    this.rejectedRoutes.clear();
  }
}

/** Whether a request would be answered only after its caller's deadline. */
function missesDeadline(request: OpeningRequest, isRejected: boolean): boolean {
  const { deadline, expectedTime, isLessUrgent } = request;
  const limit = isRejected ? deadline * READMISSION_DEADLINE_SHARE : deadline;
  return isLessUrgent && deadline > 0 && expectedTime > limit;
}

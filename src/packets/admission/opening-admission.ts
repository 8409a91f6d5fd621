/**
 * Whether a new flow is let in while its service has more to do than it can.
 *
 * The load that it answers: callers ask, for seconds on end, for more than all targets can do, so that
 * even at the best one a request would wait until its caller has given up. Only an opening can be
 * refused in truth: nothing of it has run. What merely comes late is let in, and the most urgent
 * route of a service always is, since its requests go first at the targets.
 */
import type { Endpoint } from '../../environment';

/**
 * Part of a deadline to which the wait has to fall before a route is let in again: without it the
 * reports of the first empty line would let all callers back in at once.
 */
const READMISSION_DEADLINE_SHARE = 0.8;
const CREDITS_PER_OPENING = 100;

/** One opening, with what is known when it comes. */
export interface OpeningRequest {
  readonly destination: Endpoint;
  /** Milliseconds until its first answer at the best target, as reports show. */
  readonly expectedTime: number;
  /** Milliseconds after which its caller gives up; 0 when unknown. */
  readonly deadline: number;
  /** A route of the same service is more urgent. */
  readonly isLessUrgent: boolean;
}

/** A route whose openings are refused now. */
interface RejectedRoute {
  /** Hundredths of an opening that the route has coming of its kept share. */
  credit: number;
}

/** The admission of one balancer; each concludes by itself from the reports that all hear. */
export class OpeningAdmission {
  private readonly closed = new Map<Endpoint, RejectedRoute>();

  /** @param keptShare openings in a hundred that are let in all the same, so that no route starves */
  constructor(private readonly keptShare: number) {}

  /** Routes whose openings are refused now. */
  get rejectedRouteCount(): number {
    return this.closed.size;
  }

  /** Whether an opening is let in; counts as decided. */
  admit(request: OpeningRequest): boolean {
    const { destination } = request;
    const route = this.closed.get(destination);
    if (!missesDeadline(request, route !== undefined)) {
      this.closed.delete(destination);
      return true;
    }
    const rejected = route ?? { credit: 0 };
    rejected.credit += this.keptShare;
    this.closed.set(destination, rejected);
    if (rejected.credit < CREDITS_PER_OPENING) {
      return false;
    }
    rejected.credit -= CREDITS_PER_OPENING;
    return true;
  }

  /** Another routing table is in force: routes that it lacks are forgotten with the others. */
  reset(): void {
    this.closed.clear();
  }
}

/** Whether a request would be answered only after its caller has given up. */
function missesDeadline(request: OpeningRequest, isRejected: boolean): boolean {
  const { deadline, expectedTime, isLessUrgent } = request;
  const limit = isRejected ? deadline * READMISSION_DEADLINE_SHARE : deadline;
  return isLessUrgent && deadline > 0 && expectedTime > limit;
}

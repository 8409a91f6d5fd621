/** Scheduling order of the requests of one priority. */

/** Scheduling parameters of a request. */
export interface QueuedRequest {
  /** Arrival time of its first transmission. */
  readonly since: number;
  /** Milliseconds after which its caller gives up; 0 when unknown. */
  readonly deadline: number;
  /** Milliseconds of waiting after which its answer is most likely late. */
  readonly patience: number;
}

/**
 * Selects the next request: of those that can still be answered in time the one due first, and
 * without any the newest of the others, which is least late (similar to adaptive LIFO; B. Maurer,
 * "Fail at Scale", ACM Queue 13/8, 2015).
 */
export function selectNext<T extends QueuedRequest>(
  requests: Iterable<T>,
  now: number,
): T | undefined {
  let firstDue: T | undefined;
  let newest: T | undefined;
  for (const request of requests) {
    const isInTime = now <= getDueTime(request);
    if (isInTime && (firstDue === undefined || getDueTime(request) < getDueTime(firstDue))) {
      firstDue = request;
    }
    newest = newest === undefined || request.since >= newest.since ? request : newest;
  }
  return firstDue ?? newest;
}

/** Whether the caller's deadline has passed, so that serving the request is wasted work. */
export function isPastDeadline({ since, deadline }: QueuedRequest, now: number): boolean {
  return deadline > 0 && now - since > deadline;
}

function getDueTime({ since, patience }: QueuedRequest): number {
  return since + patience;
}

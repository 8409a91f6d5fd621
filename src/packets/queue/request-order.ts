/** The order in which requests of one priority leave a queue. */

/** What the order goes by. */
export interface QueuedRequest {
  /** Time at which its first copy came. */
  readonly since: number;
  /** Milliseconds after which its caller gives up; 0 when unknown. */
  readonly deadline: number;
  /** Milliseconds of waiting after which it is most likely answered late. */
  readonly patience: number;
}

/**
 * The request whose turn it is: of those that can still be answered in time the one that is late
 * first; only when there is none, the newest of the others, which is least late (in the manner of
 * adaptive LIFO; B. Maurer, "Fail at Scale", ACM Queue 13/8, 2015).
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

/** Whether the caller has given up on a request: work on it would serve nobody. */
export function isPastDeadline({ since, deadline }: QueuedRequest, now: number): boolean {
  return deadline > 0 && now - since > deadline;
}

function getDueTime({ since, patience }: QueuedRequest): number {
  return since + patience;
}

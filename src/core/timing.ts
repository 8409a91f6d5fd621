/** Protocol intervals and limits. */

/** Interval of an agent's heartbeats to each peer of its service. */
export const HEARTBEAT_INTERVAL_MS = 1_000;
/** Silence after which a peer may be reported as unresponsive. */
export const PEER_TIMEOUT_MS = 4_000;
/**
 * Time for which an owner admits flows after sending a heartbeat that a quorum has echoed.
 * Shorter than {@link PEER_TIMEOUT_MS}, so that an owner stops admitting before a quorum can
 * declare it dead.
 */
export const OWNER_LEASE_MS = 2_500;
/** Interval of retries of an unanswered bucket claim. */
export const CLAIM_RETRY_INTERVAL_MS = 300;
/** Delay before a refused claim is retried. */
export const CLAIM_REFUSED_DELAY_MS = 1_000;
/** Time for which frames of unknown flows wait for a claim to complete before they are refused. */
export const PARKED_FRAME_LIFETIME_MS = 250;
/** Interval of an agent's hello messages to balancers. */
export const HELLO_INTERVAL_MS = 2_000;
/** A reply goes to a flow's last balancer only if a message from it arrived within this time. */
export const BALANCER_FRESHNESS_MS = 1_000;
/** Time after which a cold target receives its full share of new flows. */
export const WARM_UP_DURATION_MS = 30_000;
/** Lifetime of a permit. */
export const PERMIT_LIFETIME_MS = 60_000;
/** Time for which answers are retained for retransmissions with the same message id. */
export const ANSWER_RETENTION_MS = 30_000;
/** Retry delay sent to refused callers (Max-Age of a 5.03). */
export const RETRY_AFTER_SECONDS = 1;
/** Maximum number of times an internal frame is forwarded. */
export const HOP_LIMIT = 4;
/** Interval of a balancer's failure-detector probes. */
export const PROBE_INTERVAL_MS = 1_000;
/** Time after which an unanswered probe is sent indirectly through other members. */
export const PROBE_TIMEOUT_MS = 400;
/** Time after which a suspected balancer that has not refuted is declared dead. */
export const SUSPICION_TIMEOUT_MS = 3_000;
/** Retention of a dead or departed balancer, so that stale updates cannot revive it. */
export const DEAD_MEMBER_RETENTION_MS = 60_000;
/** Number of balancers to which each balancer pushes a new table. */
export const TABLE_PUSH_FANOUT = 4;
/** Maximum number of balancers that watch the store. */
export const MAXIMUM_STORE_READERS = 3;

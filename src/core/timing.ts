/** Protocol intervals and limits, in milliseconds unless the name says otherwise. */

/** Between heartbeats of an agent to each peer of its service. */
export const HEARTBEAT_INTERVAL_MS = 1_000;
/** A peer unheard for so long may be reported as unheard. */
export const PEER_TIMEOUT_MS = 4_000;
/**
 * An owner admits flows for so long after the sending of a heartbeat that a quorum
 * has echoed. Shorter than {@link PEER_TIMEOUT_MS}, so an owner stops admitting
 * before a quorum can call it dead.
 */
export const OWNER_LEASE_MS = 2_500;
/** Between repeats of an unanswered bucket claim. */
export const CLAIM_RETRY_INTERVAL_MS = 300;
/** A refused claim is not repeated before this. */
export const CLAIM_REFUSED_DELAY_MS = 1_000;
/** Frames of unknown flows wait so long for a claim to complete, then are refused. */
export const PARKED_FRAME_LIFETIME_MS = 250;
/** Between an agent's hellos to balancers. */
export const HELLO_INTERVAL_MS = 2_000;
/** A reply goes to a flow's last balancer only if that was heard within this. */
export const BALANCER_FRESHNESS_MS = 1_000;
/** A cold target reaches its full part of new flows after this. */
export const WARM_UP_DURATION_MS = 30_000;
/** Lifetime of a permit. */
export const PERMIT_LIFETIME_MS = 60_000;
/** Answers are kept for repeats of the same message id for so long. */
export const ANSWER_RETENTION_MS = 30_000;
/** How long refused callers are told to wait, in seconds (Max-Age of a 5.03). */
export const RETRY_AFTER_SECONDS = 1;
/** Times an internal frame may be passed on. */
export const HOP_LIMIT = 4;
/** Between failure-detector probes of a balancer. */
export const PROBE_INTERVAL_MS = 1_000;
/** A probe unanswered for so long is tried through other members. */
export const PROBE_TIMEOUT_MS = 400;
/** A suspected balancer that does not refute within this is dead. */
export const SUSPICION_TIMEOUT_MS = 3_000;
/** A dead or departed balancer is remembered so long, so that old news cannot revive it. */
export const DEAD_MEMBER_RETENTION_MS = 60_000;
/** Balancers that a new table is pushed to at once by each balancer that learns it. */
export const TABLE_PUSH_FANOUT = 4;
/** Balancers that may watch the store at once. */
export const MAXIMUM_STORE_READERS = 3;

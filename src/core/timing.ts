/** Protocol intervals and limits, in milliseconds unless the name says otherwise. */

/** Between heartbeats of an agent to each peer of its service. */
export const HEARTBEAT_INTERVAL = 1_000;
/** A peer unheard for so long may be reported as unheard. */
export const PEER_UNHEARD_AFTER = 4_000;
/**
 * An owner admits flows for so long after the sending of a heartbeat that a quorum
 * has echoed. Shorter than {@link PEER_UNHEARD_AFTER}, so an owner stops admitting
 * before a quorum can call it dead.
 */
export const OWNER_LEASE = 2_500;
/** Between repeats of an unanswered bucket claim. */
export const CLAIM_RETRY_INTERVAL = 300;
/** A refused claim is not repeated before this. */
export const CLAIM_REFUSED_PAUSE = 1_000;
/** Frames of unknown flows wait so long for a claim to complete, then are refused. */
export const PARKED_FRAME_LIFETIME = 250;
/** Between an agent's hellos to balancers. */
export const HELLO_INTERVAL = 2_000;
/** A reply goes to a flow's last balancer only if that was heard within this. */
export const BALANCER_FRESH_WITHIN = 1_000;
/** A cold target reaches its full part of new flows after this. */
export const WARM_UP = 30_000;
/** Lifetime of a permit. */
export const PERMIT_LIFETIME = 60_000;
/** Answers are kept for repeats of the same message id for so long. */
export const ANSWER_KEPT_FOR = 30_000;
/** How long refused callers are told to wait, in seconds (Max-Age of a 5.03). */
export const RETRY_AFTER_SECONDS = 1;
/** Times an internal frame may be passed on. */
export const HOP_LIMIT = 4;
/** Between failure-detector probes of a balancer. */
export const PROBE_INTERVAL = 1_000;
/** A probe unanswered for so long is tried through other members. */
export const PROBE_TIMEOUT = 400;
/** A suspected balancer that does not refute within this is dead. */
export const SUSPICION_TIMEOUT = 3_000;
/** A dead or departed balancer is remembered so long, so that old news cannot revive it. */
export const DEAD_MEMBER_KEPT_FOR = 60_000;
/** Balancers that a new table is pushed to at once by each balancer that learns it. */
export const TABLE_PUSH_FANOUT = 4;
/** Balancers that may watch the store at once. */
export const STORE_READERS = 3;

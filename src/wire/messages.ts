/** Messages between balancers and agents of the datagram interface; see docs/PROTOCOL.md. */
import type { ServiceTable } from '../core/table';
import type { Endpoint } from '../environment';

/** Numeric message types on the wire. */
export const MessageType = {
  forward: 1,
  reply: 2,
  heartbeat: 3,
  claim: 4,
  claimAnswer: 5,
  hello: 6,
  helloAnswer: 7,
  tableRequest: 8,
  tableDelta: 9,
  ping: 10,
  pingAnswer: 11,
  pingRequest: 12,
  join: 13,
  memberList: 14,
  passedRequest: 15,
  passedAnswer: 16,
  tableConfirm: 17,
  permitQuery: 18,
  permitAnswer: 19,
  drainNotice: 20,
  flowEviction: 21,
} as const;

/** A caller's datagram on its way to the flow's host. */
export interface ForwardMessage {
  readonly type: typeof MessageType.forward;
  readonly service: string;
  /** The agent that the frame is addressed to; any other agent drops it. */
  readonly target: string;
  readonly caller: Endpoint;
  /** The balancer that received the datagram. */
  readonly balancer: Endpoint;
  /** Revision of the service's table by which the balancer routed the datagram. */
  readonly tableRevision: number;
  readonly hops: number;
  /** Target name of the bucket owner that placed the flow here; empty when not placed. */
  readonly placedBy: string;
  readonly payload: Buffer;
}

/** A datagram from a flow's host back to its caller. */
export interface ReplyMessage {
  readonly type: typeof MessageType.reply;
  readonly service: string;
  readonly target: string;
  /** 1 when the sender hosts the flow, so that the balancer may cache it; 0 for a refusal. */
  readonly hosted: number;
  readonly caller: Endpoint;
  readonly payload: Buffer;
}

/** Readiness of an agent for new flows. */
export const AgentState = { serving: 1, draining: 2, stopped: 3 } as const;
export type AgentStateValue = (typeof AgentState)[keyof typeof AgentState];

/** Periodic report of an agent to a peer of its service. */
export interface HeartbeatMessage {
  readonly type: typeof MessageType.heartbeat;
  readonly service: string;
  readonly target: string;
  readonly incarnation: number;
  readonly sequence: number;
  /** The receiver's latest sequence that the sender has received; 0 for none. */
  readonly echo: number;
  /** The receiver's incarnation that `echo` belongs to. */
  readonly echoIncarnation: number;
  readonly state: AgentStateValue;
  /** Increases with each change of the sender's state. */
  readonly stateSequence: number;
  readonly tableRevision: number;
  readonly flows: number;
  readonly freeSlots: number;
  /** Load in thousandths. */
  readonly load: number;
  /** Milliseconds since the agent's back end began to serve. */
  readonly age: number;
  /** Peers that have not reported to the sender for PEER_TIMEOUT_MS. */
  readonly unheard: readonly string[];
  /** Flows in the receiver's buckets that have ended at the sender, as 6-byte endpoints. */
  readonly closed: Buffer;
}

/** Requests that a peer release buckets and report the flows it knows in them. */
export interface ClaimMessage {
  readonly type: typeof MessageType.claim;
  readonly service: string;
  readonly target: string;
  readonly claimId: number;
  readonly tableRevision: number;
  /** Bitmap, 32 bytes. */
  readonly buckets: Buffer;
}

/** One part of the answer to a {@link ClaimMessage}. */
export interface ClaimAnswerMessage {
  readonly type: typeof MessageType.claimAnswer;
  readonly service: string;
  readonly target: string;
  readonly claimId: number;
  /** Buckets that the sender does not release, as a bitmap. */
  readonly refused: Buffer;
  readonly part: number;
  readonly parts: number;
  /** Target names of hosts, to which the entries refer by index. */
  readonly hosts: readonly string[];
  /** Entries of 7 bytes: the caller's endpoint and an index into `hosts`. */
  readonly entries: Buffer;
}

/** The state of a target that is or has been draining or stopped. */
export interface TargetNotice {
  readonly target: string;
  readonly incarnation: number;
  /** Number of state changes of the agent; orders the notices of one incarnation. */
  readonly stateSequence: number;
  readonly state: AgentStateValue;
}

/** Periodic report of an agent to a balancer, and request for a newer table. */
export interface HelloMessage {
  readonly type: typeof MessageType.hello;
  readonly service: string;
  readonly target: string;
  readonly incarnation: number;
  readonly state: AgentStateValue;
  readonly stateSequence: number;
  readonly tableRevision: number;
  /** Peers that a quorum of the group considers dead, and peers that are draining. */
  readonly notices: readonly TargetNotice[];
}

/** A balancer's answer to a hello. */
export interface HelloAnswerMessage {
  readonly type: typeof MessageType.helloAnswer;
  readonly service: string;
  /** The service's table if it is newer than the agent's, else empty. */
  readonly tables: readonly ServiceTable[];
  /** Some live balancers for the agent to contact. */
  readonly balancers: readonly Endpoint[];
  /** The balancer's record of the agent itself, if it has one; the agent may have to refute it. */
  readonly notices: readonly TargetNotice[];
}

/** Requests all tables changed after a revision. */
export interface TableRequestMessage {
  readonly type: typeof MessageType.tableRequest;
  readonly haveThrough: number;
}

/** Tables changed after one revision, complete through another. */
export interface TableDeltaMessage {
  readonly type: typeof MessageType.tableDelta;
  readonly fromRevision: number;
  readonly throughRevision: number;
  readonly tables: readonly ServiceTable[];
  /** 1 for a push, which the receiver pushes to others; 0 for the answer to a request. */
  readonly pushed: number;
  /** Non-zero when the sender wants a {@link TableConfirmMessage}. */
  readonly confirmId: number;
}

/** Confirms that a delta has been applied. */
export interface TableConfirmMessage {
  readonly type: typeof MessageType.tableConfirm;
  readonly confirmId: number;
  readonly name: string;
}

/** States of a balancer in the view of its peers. */
export const MemberState = { alive: 1, suspect: 2, dead: 3, leaving: 4 } as const;
export type MemberStateValue = (typeof MemberState)[keyof typeof MemberState];

/** Membership record of one balancer. */
export interface MemberRecord {
  readonly name: string;
  readonly endpoint: Endpoint;
  readonly zone: string;
  /** Increased by the member itself to refute a suspicion; higher after each restart. */
  readonly incarnation: number;
  readonly state: MemberStateValue;
}

/** A change of an agent's state, gossiped among balancers. */
export interface ServiceTargetNotice extends TargetNotice {
  readonly service: string;
}

/** Fields that every message of the failure detector carries. */
export interface GossipFields {
  readonly sequence: number;
  readonly sender: MemberRecord;
  /** Revision through which the sender has all tables. */
  readonly haveThrough: number;
  /** Digest of the tables it has after that revision; 0 for none. */
  readonly beyond: number;
  readonly members: readonly MemberRecord[];
  readonly targets: readonly ServiceTargetNotice[];
}

/** Probes a member. */
export interface PingMessage extends GossipFields {
  readonly type: typeof MessageType.ping;
}

/** Answers a probe, directly or through another member. */
export interface PingAnswerMessage extends GossipFields {
  readonly type: typeof MessageType.pingAnswer;
}

/** Requests that another member probe `subject` for the sender. */
export interface PingRequestMessage extends GossipFields {
  readonly type: typeof MessageType.pingRequest;
  readonly subject: Endpoint;
}

/** Requests to join the group; answered by member lists. */
export interface JoinMessage {
  readonly type: typeof MessageType.join;
  readonly sender: MemberRecord;
  readonly haveThrough: number;
}

/** One part of the member list sent to a joining balancer. */
export interface MemberListMessage {
  readonly type: typeof MessageType.memberList;
  readonly members: readonly MemberRecord[];
  readonly targets: readonly ServiceTargetNotice[];
}

/** A request that the host of its flow passes to a target with a free slot. */
export interface PassedRequestMessage {
  readonly type: typeof MessageType.passedRequest;
  readonly service: string;
  readonly target: string;
  /** The only incarnation of the target that may run it; another one might run it a second time. */
  readonly targetIncarnation: number;
  readonly origin: string;
  readonly originIncarnation: number;
  readonly passId: number;
  /** Milliseconds for which the origin still waits. */
  readonly deadline: number;
  readonly payload: Buffer;
}

/** Outcome of a passed request. */
export const PassedOutcome = { answered: 1, refused: 2, unknown: 3 } as const;
export type PassedOutcomeValue = (typeof PassedOutcome)[keyof typeof PassedOutcome];

/** Answers a passed request. */
export interface PassedAnswerMessage {
  readonly type: typeof MessageType.passedAnswer;
  readonly service: string;
  readonly target: string;
  readonly passId: number;
  readonly outcome: PassedOutcomeValue;
  readonly freeSlots: number;
  readonly payload: Buffer;
}

/** Requests that the issuer of a permit revoke it, or report that it was used. */
export interface PermitQueryMessage {
  readonly type: typeof MessageType.permitQuery;
  readonly service: string;
  readonly target: string;
  readonly queryId: number;
  readonly issuerIncarnation: number;
  readonly serial: number;
  readonly expiresAt: number;
}

/** Answers a {@link PermitQueryMessage}. */
export interface PermitAnswerMessage {
  readonly type: typeof MessageType.permitAnswer;
  readonly service: string;
  readonly target: string;
  readonly queryId: number;
  /** 1: revoked, no request ran under the permit and none will; 0: one ran or may have run. */
  readonly burnt: number;
}

/** Notifies an agent that the machine list marks its machine as leaving; from a store reader. */
export interface DrainNoticeMessage {
  readonly type: typeof MessageType.drainNotice;
  readonly service: string;
  readonly target: string;
}

/** Requests that an agent end flows that another agent hosts; from the owner of their bucket. */
export interface FlowEvictionMessage {
  readonly type: typeof MessageType.flowEviction;
  readonly service: string;
  readonly target: string;
  /** 6-byte endpoints. */
  readonly callers: Buffer;
}

/** Any internal message. */
export type Message =
  | ForwardMessage
  | ReplyMessage
  | HeartbeatMessage
  | ClaimMessage
  | ClaimAnswerMessage
  | HelloMessage
  | HelloAnswerMessage
  | TableRequestMessage
  | TableDeltaMessage
  | TableConfirmMessage
  | PingMessage
  | PingAnswerMessage
  | PingRequestMessage
  | JoinMessage
  | MemberListMessage
  | PassedRequestMessage
  | PassedAnswerMessage
  | PermitQueryMessage
  | PermitAnswerMessage
  | DrainNoticeMessage
  | FlowEvictionMessage;

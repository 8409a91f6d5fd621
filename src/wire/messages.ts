/** The messages between hallhold's own processes. docs/PROTOCOL.md lists who sends each. */
import type { ServiceTable } from '../core/table';
import type { Endpoint } from '../environment';

/** Numeric message types as sent. */
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
  /** The agent this frame is meant for; any other drops it. */
  readonly target: string;
  readonly caller: Endpoint;
  /** The balancer that received the datagram. */
  readonly balancer: Endpoint;
  /** Revision of the service's table that the balancer routed by. */
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
  /** 1 when the sender hosts the flow, so that the balancer may learn it; 0 for a refusal. */
  readonly hosted: number;
  readonly caller: Endpoint;
  readonly payload: Buffer;
}

/** What an agent says of its readiness for new flows. */
export const AgentState = { serving: 1, draining: 2, stopped: 3 } as const;
export type AgentStateValue = (typeof AgentState)[keyof typeof AgentState];

/** Periodic report of an agent to a peer of its service. */
export interface HeartbeatMessage {
  readonly type: typeof MessageType.heartbeat;
  readonly service: string;
  readonly target: string;
  readonly incarnation: number;
  readonly sequence: number;
  /** The receiver's newest sequence that the sender has heard; 0 for none. */
  readonly echo: number;
  /** The receiver's incarnation that `echo` belongs to. */
  readonly echoIncarnation: number;
  readonly state: AgentStateValue;
  /** Rises with each change of the sender's state. */
  readonly stateSequence: number;
  readonly tableRevision: number;
  readonly flows: number;
  readonly freeSlots: number;
  /** Load in thousandths. */
  readonly load: number;
  /** Milliseconds since the agent's back end started serving. */
  readonly age: number;
  /** Peers the sender has not heard for {@link PEER_UNHEARD_AFTER}. */
  readonly unheard: readonly string[];
  /** Flows of the receiver's buckets that ended at the sender: 6-byte endpoints. */
  readonly closed: Buffer;
}

/** Asks a peer to release buckets and to tell which flows it knows in them. */
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
  /** Buckets the sender keeps, as a bitmap. */
  readonly refused: Buffer;
  readonly part: number;
  readonly parts: number;
  /** Host names that the entries point into. */
  readonly hosts: readonly string[];
  /** Entries of 7 bytes: the caller's endpoint and an index into `hosts`. */
  readonly entries: Buffer;
}

/** What an agent knows of a peer that is not simply serving. */
export interface TargetNotice {
  readonly target: string;
  readonly incarnation: number;
  /** The agent's own count of its state changes; orders notices of one incarnation. */
  readonly stateSequence: number;
  readonly state: AgentStateValue;
}

/** Periodic report of an agent to a balancer, which also polls for a newer table. */
export interface HelloMessage {
  readonly type: typeof MessageType.hello;
  readonly service: string;
  readonly target: string;
  readonly incarnation: number;
  readonly state: AgentStateValue;
  readonly stateSequence: number;
  readonly tableRevision: number;
  /** Peers a quorum of the group calls dead, and peers that drain. */
  readonly notices: readonly TargetNotice[];
}

/** A balancer's answer to a hello. */
export interface HelloAnswerMessage {
  readonly type: typeof MessageType.helloAnswer;
  readonly service: string;
  /** The service's table if newer than the agent's, else empty. */
  readonly tables: readonly ServiceTable[];
  /** A few live balancers for the agent to turn to. */
  readonly balancers: readonly Endpoint[];
  /** What the balancer believes of the asking agent, if it is not simply serving. */
  readonly notices: readonly TargetNotice[];
}

/** Asks for every table changed after a revision. */
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
  /** 1 for news that the receiver passes on; 0 for the answer to its own request. */
  readonly pushed: number;
  /** Non-zero when the sender wants a {@link TableConfirmMessage}. */
  readonly confirmId: number;
}

/** Confirms that the receiver of a delta holds it. */
export interface TableConfirmMessage {
  readonly type: typeof MessageType.tableConfirm;
  readonly confirmId: number;
  readonly name: string;
}

/** States of a balancer as its peers see it. */
export const MemberState = { alive: 1, suspect: 2, dead: 3, leaving: 4 } as const;
export type MemberStateValue = (typeof MemberState)[keyof typeof MemberState];

/** One balancer's entry in gossip. */
export interface MemberRecord {
  readonly name: string;
  readonly endpoint: Endpoint;
  readonly zone: string;
  /** Raised by the member itself to refute a suspicion; a restart starts higher. */
  readonly incarnation: number;
  readonly state: MemberStateValue;
}

/** A change of an agent's state, spread among balancers. */
export interface ServiceTargetNotice extends TargetNotice {
  readonly service: string;
}

/** Fields that every message of the failure detector carries. */
export interface GossipFields {
  readonly sequence: number;
  readonly sender: MemberRecord;
  /** The sender has all tables through this revision. */
  readonly haveThrough: number;
  /** Digest of the tables it has beyond that; 0 for none. */
  readonly beyond: number;
  readonly members: readonly MemberRecord[];
  readonly targets: readonly ServiceTargetNotice[];
}

/** A probe. */
export interface PingMessage extends GossipFields {
  readonly type: typeof MessageType.ping;
}

/** The answer to a probe, direct or through another member. */
export interface PingAnswerMessage extends GossipFields {
  readonly type: typeof MessageType.pingAnswer;
}

/** Asks another member to probe `subject` for the sender. */
export interface PingRequestMessage extends GossipFields {
  readonly type: typeof MessageType.pingRequest;
  readonly subject: Endpoint;
}

/** A balancer asks to join; answered by member lists. */
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

/** A request that its flow's host passes to a target with a free slot. */
export interface PassedRequestMessage {
  readonly type: typeof MessageType.passedRequest;
  readonly service: string;
  readonly target: string;
  /** The run of the target that may take it; another run might repeat what this one did. */
  readonly targetIncarnation: number;
  readonly origin: string;
  readonly originIncarnation: number;
  readonly passId: number;
  /** Milliseconds the origin still waits. */
  readonly deadline: number;
  readonly payload: Buffer;
}

/** How a passed request ended. */
export const PassedOutcome = { answered: 1, refused: 2, unknown: 3 } as const;
export type PassedOutcomeValue = (typeof PassedOutcome)[keyof typeof PassedOutcome];

/** The answer to a passed request. */
export interface PassedAnswerMessage {
  readonly type: typeof MessageType.passedAnswer;
  readonly service: string;
  readonly target: string;
  readonly passId: number;
  readonly outcome: PassedOutcomeValue;
  readonly freeSlots: number;
  readonly payload: Buffer;
}

/** Asks the issuer of a permit to burn it, or to tell that it was used. */
export interface PermitQueryMessage {
  readonly type: typeof MessageType.permitQuery;
  readonly service: string;
  readonly target: string;
  readonly queryId: number;
  readonly issuerIncarnation: number;
  readonly serial: number;
  readonly expiresAt: number;
}

/** The issuer's answer. */
export interface PermitAnswerMessage {
  readonly type: typeof MessageType.permitAnswer;
  readonly service: string;
  readonly target: string;
  readonly queryId: number;
  /** 1: no request ran under the permit and none will; 0: one ran or may have run. */
  readonly burnt: number;
}

/** A store reader tells an agent that the machine list has its machine as leaving. */
export interface DrainNoticeMessage {
  readonly type: typeof MessageType.drainNotice;
  readonly service: string;
  readonly target: string;
}

/** The owner of a bucket tells an agent to end flows that another agent hosts. */
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

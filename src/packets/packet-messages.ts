/** The messages between balancers and agents of the packet interface (docs/PACKETS.md). */
import type { Endpoint } from '../environment';
import type { ServiceProfiles } from './routing-table';
import type { StoreReader } from './store-readers';
import type { AnnouncedTerms } from './terms/route-terms';
import type { AnnouncedEvacuations } from './zone-evacuations';

/** Numeric message types as sent. */
export const PacketMessageType = {
  deliver: 101,
  notHeld: 102,
  held: 103,
  subscribe: 104,
  report: 105,
  peerStatus: 106,
  locate: 107,
  search: 108,
  noneHolds: 109,
  noneKnows: 110,
  detour: 111,
  received: 112,
  numberedDeliver: 113,
  numberedRefusal: 114,
  distanceProbe: 115,
  distanceReply: 116,
  eraSeen: 117,
  routeTerms: 118,
} as const;

/** Frames whose body is a bson document. */
export const FIRST_FRAME_VERSION = 1;
/** Frames of packets, with fields at fixed places (`packet-frames.ts`). */
export const COMPACT_FRAME_VERSION = 2;
/** Frames as of version 2, from an agent that also searches in groups ({@link SearchPhase}). */
export const GROUP_SEARCH_VERSION = 3;
/** Frames as of version 3, from an agent that also knows sure searches ({@link SearchPhase}). */
export const CONCLUSIVE_SEARCH_VERSION = 4;
/** Frames as of version 4, from a node that also knows the messages 112 to 116. */
export const HOP_REPAIR_VERSION = 5;
/** Frames as of version 5, from an agent that also knows the message 118. */
export const ROUTE_TERMS_VERSION = 6;
/** Agents in one search. */
export const MAXIMUM_SEARCH_AGENTS = 64;
/** Numbers in one acknowledgement. */
export const MAXIMUM_ACKNOWLEDGED_SEQUENCES = 64;

/** What an agent knows of its target. */
export const TargetState = {
  /** No heartbeat has reached this run of the agent yet. */
  unknown: 1,
  ready: 2,
  /** Takes no new flows; keeps those it has. */
  draining: 3,
  /** Has said that it leaves. */
  gone: 4,
  /** The agent itself is being restarted; its target goes on. */
  agentRestarting: 5,
} as const;
export type TargetStateValue = (typeof TargetState)[keyof typeof TargetState];

/** What an agent knows of the flows of its target. */
export const FlowKnowledge = {
  /** The target may hold flows that the agent has never seen. */
  partial: 0,
  /** The agent has seen every flow open that the target can hold. */
  complete: 1,
  /** Nobody listens at the target's address: there is no flow. */
  noTarget: 2,
} as const;
export type FlowKnowledgeValue = (typeof FlowKnowledge)[keyof typeof FlowKnowledge];

/** Why a target did not take a packet. */
export const RefusalReason = {
  /** The target returned it: it does not hold the flow, or cannot take one more. */
  returnedByTarget: 1,
  draining: 2,
  /** The target has ended. */
  noTarget: 3,
  /** The target belongs to a service that the route does not allow. */
  otherService: 4,
  /** The target has left every opening packet without an answer of late. */
  targetDown: 5,
  /** The target's zone is out of service and takes no new flows. */
  zoneEvacuated: 6,
  /** The target is cold and has got as many new flows of late as it bears. */
  coldLimit: 7,
} as const;
export type RefusalReasonValue = (typeof RefusalReason)[keyof typeof RefusalReason];

/** A client's packet for an agent's target. */
export interface Delivery {
  /** The search that this packet belongs to; 0 when the balancer knows the flow's agent. */
  readonly searchId: number;
  /** Services that may receive it. */
  readonly services: readonly string[];
  readonly payload: Buffer;
}

/** Balancer to agent: a client's packet for the agent's target. */
export interface DeliverMessage extends Delivery {
  readonly type: typeof PacketMessageType.deliver;
}

/** A packet whose flow the target does not hold, or did not open. */
export interface Refusal {
  readonly searchId: number;
  readonly reason: RefusalReasonValue;
  readonly payload: Buffer;
}

/** Agent to balancer: the target did not take a packet. */
export interface NotHeldMessage extends Refusal {
  readonly type: typeof PacketMessageType.notHeld;
}

/** The number of a message that its sender repeats until it is acknowledged. */
export interface HopNumber {
  /** Differs each time that a sender begins to number its messages to a node; 32 bits. */
  readonly session: number;
  /** Rises by one with each message to that node and wraps; 32 bits. */
  readonly sequence: number;
}

/** As {@link DeliverMessage}; the agent acknowledges it and takes it once. */
export interface NumberedDeliverMessage extends Delivery, HopNumber {
  readonly type: typeof PacketMessageType.numberedDeliver;
}

/** As {@link NotHeldMessage}; the balancer acknowledges it and takes it once. */
export interface NumberedRefusalMessage extends Refusal, HopNumber {
  readonly type: typeof PacketMessageType.numberedRefusal;
}

/** Agent to balancer and back: numbered messages of a session that have come. */
export interface ReceivedMessage {
  readonly type: typeof PacketMessageType.received;
  readonly session: number;
  /** At least one; bounded by `MAXIMUM_ACKNOWLEDGED`. */
  readonly sequences: readonly number[];
}

/** Agent to balancer: the target holds this flow. */
export interface HeldMessage {
  readonly type: typeof PacketMessageType.held;
  readonly flow: Buffer;
}

/** Balancer to agent: does your target hold this flow? Only an agent that knows it does answers. */
export interface LocateMessage {
  readonly type: typeof PacketMessageType.locate;
  readonly flow: Buffer;
}

/** What the agents of a search do when it comes to them. */
export const SearchPhase = {
  /** Take the packet only if the flow is known to be held. */
  query: 1,
  /** Offer the packet to the target. */
  offer: 2,
  /** As `ask`, but the last agent tells the balancer, which asks other groups at the same time. */
  queryOnly: 3,
  /**
   * Say for sure: an agent that has seen all flows of its target open goes by that; any other
   * offers the packet to its target. The last one tells the balancer that none holds the flow.
   */
  conclusive: 4,
} as const;
export type SearchPhaseValue = (typeof SearchPhase)[keyof typeof SearchPhase];

/**
 * Balancer to agent, then from agent to agent: a packet of an open flow whose holder is not
 * known. It goes through the listed agents in both phases until one takes it.
 */
export interface SearchMessage {
  readonly type: typeof PacketMessageType.search;
  readonly searchId: number;
  /** Who searches, and is told the outcome. */
  readonly balancer: Endpoint;
  readonly phase: SearchPhaseValue;
  /** Index of the agent in `agents` whose turn it is. */
  readonly position: number;
  /** All agents of the search in their order; bounded by `MAXIMUM_SEARCH_LENGTH`. */
  readonly agents: readonly Endpoint[];
  /** Services that may receive the packet. */
  readonly services: readonly string[];
  readonly payload: Buffer;
}

/** Last agent of a group that was only asked: none knows the flow; no target was offered it. */
export interface NoneKnowsMessage {
  readonly type: typeof PacketMessageType.noneKnows;
  readonly searchId: number;
  readonly agents: readonly Endpoint[];
  readonly payload: Buffer;
}

/** Last agent of a search to its balancer: the target of none of the agents holds the flow. */
export interface NoneHoldsMessage {
  readonly type: typeof PacketMessageType.noneHolds;
  readonly searchId: number;
  readonly agents: readonly Endpoint[];
  readonly payload: Buffer;
}

/** Balancer to balancer: a client's packet for a zone that the sender cannot reach. */
export interface DetourMessage {
  readonly type: typeof PacketMessageType.detour;
  /** The agent that holds the packet's flow, as far as the sender knows. */
  readonly agent: Endpoint;
  readonly payload: Buffer;
}

/** Balancer to agent: answer at once, so that the round trip between us shows how far you are. */
export interface DistanceProbeMessage {
  readonly type: typeof PacketMessageType.distanceProbe;
  /** Milliseconds by the balancer's clock, which only it can read. */
  readonly sentAt: number;
}

/** Agent to balancer: the answer to a probe. */
export interface DistanceReplyMessage {
  readonly type: typeof PacketMessageType.distanceReply;
  /** As in the probe. */
  readonly sentAt: number;
}

/** Agent to balancer: the earliest era of the store that this run of the agent has heard of. */
export interface EraSeenMessage {
  readonly type: typeof PacketMessageType.eraSeen;
  readonly era: number;
}

/** Balancer to agent: what callers of a route expect, ahead of the first flows of that route. */
export interface RouteTermsMessage extends AnnouncedTerms {
  readonly type: typeof PacketMessageType.routeTerms;
}

/** Whether the registry lists an agent, as far as a balancer knows. */
export const ListingState = {
  /** The balancer does not know the registry well enough to say. */
  unknown: 0,
  listed: 1,
  missing: 2,
} as const;
export type ListingStateValue = (typeof ListingState)[keyof typeof ListingState];

/** Balancer to agent: send me reports for some seconds. */
export interface SubscribeMessage {
  readonly type: typeof PacketMessageType.subscribe;
  readonly zone: string;
  /** Milliseconds between reports that the balancer wants. */
  readonly interval: number;
  /** Whether the registry lists the agent. */
  readonly listing: ListingStateValue;
  /** Zones out of service, as far as the balancer knows. */
  readonly evacuations: AnnouncedEvacuations;
  /** How targets behave after their start, by the balancer's routing table. */
  readonly profiles: ServiceProfiles;
  /** The store's era of the revision in this message; 0 from a balancer that tells none. */
  readonly storeEra: number;
  /** 1 when the balancer has just started and wants to know of earlier eras. */
  readonly asksEra: number;
  /** Latest version of frames that the balancer understands; 1 for one that names none. */
  readonly frameVersion: number;
}

/** Agent to balancer: state and load of the target. */
export interface ReportMessage {
  readonly type: typeof PacketMessageType.report;
  /** Differs from run to run of the agent. */
  readonly run: number;
  /** Rises with each report of a run, so that one overtaken by a later one is known. */
  readonly sequence: number;
  readonly service: string;
  readonly zone: string;
  readonly state: TargetStateValue;
  /** Requests that the target works on at a time; 0 while unknown. */
  readonly slots: number;
  /** Requests under way or waiting at the target. */
  readonly busyRequests: number;
  readonly openFlows: number;
  /** Milliseconds that the target takes for an answer of late; 0 when it has not told. */
  readonly answerTime: number;
  /**
   * Answers of late that `answerTime` rests on, fading with time; 0 from an agent that does not
   * count them.
   */
  readonly answers: number;
  /** Targets that the agent has had before this one in its run; 0 from an agent that does not say. */
  readonly targetChanges: number;
  /** Milliseconds for which the target is still slow after its start. */
  readonly coldLeft: number;
  /** Part of the target's requests that fail of late, in percent; 100 if it says nothing. */
  readonly failurePercent: number;
  /** Mean bytes of a flow of the target of late, both ways; 0 while unknown. */
  readonly flowBytes: number;
  /** Latest version of frames that the agent understands; 1 for one that names none. */
  readonly frameVersion: number;
  readonly flowKnowledge: FlowKnowledgeValue;
  /** Number of balancers that the agent reports to. */
  readonly balancerCount: number;
  /** Some of the balancers that the agent reports to. */
  readonly balancers: readonly Endpoint[];
}

/** An agent's entry as balancers tell it each other. */
export interface AgentRecord {
  readonly address: Endpoint;
  readonly service: string;
  readonly zone: string;
}

/** An agent's entry with the revision of its registration; 0 while the registry does not list it. */
export interface ListedAgent extends AgentRecord {
  readonly revision: number;
}

/** One change of the registry. */
export interface RegistryChange {
  readonly agent: ListedAgent;
  readonly removed: boolean;
}

/** What has changed in the registry between two of the store's revisions, in order. */
export interface RegistryDelta {
  readonly from: number;
  readonly to: number;
  readonly changes: readonly RegistryChange[];
}

/** Balancer to balancer: what the sender knows, so that the receiver can ask for what it lacks. */
export interface PeerStatusMessage {
  readonly type: typeof PacketMessageType.peerStatus;
  /** Version of the sender's routing table; 0 for none. */
  readonly routingVersion: number;
  /** 1 when the sender knows every agent. */
  readonly viewComplete: number;
  readonly zone: string;
  /** Where the sender takes clients' packets. */
  readonly packetAddress: Endpoint;
  /** Thousandths of a processor that the sender may use. */
  readonly capacity: number;
  /** 1 when the sender takes traffic. */
  readonly ready: number;
  /** 1 when the sender wants the receiver's status at once. */
  readonly replyWanted: number;
  /** Some balancers that the sender knows, so that balancers find each other. */
  readonly peers: readonly Endpoint[];
  /** Agents heard of that the registry does not list yet. */
  readonly unregistered: readonly AgentRecord[];
  /** The store's revision through which the sender knows the registry; 0 for none. */
  readonly registryRevision: number;
  /** The store's era of every revision in this message; 0 from a sender that tells none. */
  readonly storeEra: number;
  /** Balancers that read the store, as far as the sender knows. */
  readonly readers: readonly StoreReader[];
  /** The latest changes of the registry, from a sender that has just read them. */
  readonly delta: RegistryDelta | undefined;
  /** Zones out of service, as far as the sender knows. */
  readonly evacuations: AnnouncedEvacuations;
}

/** Any message of the packet interface. */
export type PacketMessage =
  | DeliverMessage
  | NotHeldMessage
  | HeldMessage
  | LocateMessage
  | SearchMessage
  | NoneHoldsMessage
  | NoneKnowsMessage
  | DetourMessage
  | ReceivedMessage
  | NumberedDeliverMessage
  | NumberedRefusalMessage
  | DistanceProbeMessage
  | DistanceReplyMessage
  | EraSeenMessage
  | RouteTermsMessage
  | SubscribeMessage
  | ReportMessage
  | PeerStatusMessage;

/** What an agent takes, its numbers taken off. */
export type MessageToAgent =
  | DeliverMessage
  | SearchMessage
  | LocateMessage
  | SubscribeMessage
  | DistanceProbeMessage
  | RouteTermsMessage;

/** What a balancer takes, its numbers taken off. */
export type MessageToBalancer =
  | NotHeldMessage
  | HeldMessage
  | NoneHoldsMessage
  | NoneKnowsMessage
  | DetourMessage
  | ReportMessage
  | PeerStatusMessage
  | DistanceReplyMessage
  | EraSeenMessage;

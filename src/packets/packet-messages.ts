/** The messages between balancers and agents of the packet interface (docs/PACKETS.md). */
import type { Endpoint } from '../environment';
import type { AnnouncedFormerService } from './former-services';
import type { ServiceProfiles } from './routing-table';
import type { StoreReader } from './store-readers';
import type { TargetIncarnation } from './target-incarnation';
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
  flowDestinations: 119,
} as const;

/** Frames whose body is a bson document. */
export const FIRST_FRAME_VERSION = 1;
/** Compact frames with fields at fixed offsets (`packet-frames.ts`). */
export const COMPACT_FRAME_VERSION = 2;
/** Frames of version 2, from an agent that also supports group searches ({@link SearchPhase}). */
export const GROUP_SEARCH_VERSION = 3;
/** As version 3, from an agent that also supports conclusive searches ({@link SearchPhase}). */
export const CONCLUSIVE_SEARCH_VERSION = 4;
/** As version 4, from a node that also understands the messages 112 to 116. */
export const HOP_REPAIR_VERSION = 5;
/** As version 5, from an agent that also understands the message 118. */
export const ROUTE_TERMS_VERSION = 6;
/** As version 6, from a node that also tells deregistered targets from ended ones. */
export const DEREGISTRATION_VERSION = 7;
/** Limit of agents in one search message. */
export const MAXIMUM_SEARCH_AGENTS = 64;
/** Limit of sequence numbers in one acknowledgement. */
export const MAXIMUM_ACKNOWLEDGED_SEQUENCES = 64;

/** State of an agent's target, as known to the agent. */
export const TargetState = {
  /** This incarnation of the agent has not received a heartbeat yet. */
  unknown: 1,
  ready: 2,
  /** Accepts no new flows; keeps its open flows. */
  draining: 3,
  /**
   * Has announced its shutdown; accepts no new flows. It keeps its open flows until it ends, which
   * {@link FlowKnowledge.noTarget} reports.
   */
  gone: 4,
  /** The agent itself is restarting; its target keeps running. */
  agentRestarting: 5,
} as const;
export type TargetStateValue = (typeof TargetState)[keyof typeof TargetState];

/** How much an agent knows about the flows of its target. */
export const FlowKnowledge = {
  /** The target may hold flows that the agent has not seen. */
  partial: 0,
  /** The agent has seen the opening of every flow that the target can hold. */
  complete: 1,
  /** Nothing listens at the target's address, so there are no flows. */
  noTarget: 2,
} as const;
export type FlowKnowledgeValue = (typeof FlowKnowledge)[keyof typeof FlowKnowledge];

/** Why a target did not accept a packet. */
export const RefusalReason = {
  /** The target returned it: it does not hold the flow, or cannot accept another one. */
  returnedByTarget: 1,
  draining: 2,
  /** The target has exited. */
  noTarget: 3,
  /** The target belongs to a service that the route does not allow. */
  otherService: 4,
  /** The target has not answered any recent opening packet (SYN). */
  targetDown: 5,
  /** The target's zone is out of service and accepts no new flows. */
  zoneEvacuated: 6,
  /** The target is cold and has reached its cold-start limit for new flows. */
  coldLimit: 7,
} as const;
export type RefusalReasonValue = (typeof RefusalReason)[keyof typeof RefusalReason];

/** A client packet for an agent's target. */
export interface Delivery {
  /** Search that this packet belongs to; 0 when the balancer knows the flow's agent. */
  readonly searchId: number;
  /** Services that may receive the packet. */
  readonly services: readonly string[];
  readonly payload: Buffer;
}

/** Balancer to agent: a client packet for the agent's target. */
export interface DeliverMessage extends Delivery {
  readonly type: typeof PacketMessageType.deliver;
}

/** A packet whose flow the target does not hold, or did not open. */
export interface Refusal {
  readonly searchId: number;
  readonly reason: RefusalReasonValue;
  readonly payload: Buffer;
}

/** Agent to balancer: the target did not accept a packet. */
export interface NotHeldMessage extends Refusal {
  readonly type: typeof PacketMessageType.notHeld;
}

/** Number of a message that its sender retransmits until it is acknowledged. */
export interface HopNumber {
  /** Changes each time a sender starts numbering its messages to a node; 32 bits. */
  readonly session: number;
  /** Incremented with each message to that node, wraps; 32 bits. */
  readonly sequence: number;
}

/** As {@link DeliverMessage}; the agent acknowledges it and processes it once. */
export interface NumberedDeliverMessage extends Delivery, HopNumber {
  readonly type: typeof PacketMessageType.numberedDeliver;
}

/** As {@link NotHeldMessage}; the balancer acknowledges it and processes it once. */
export interface NumberedRefusalMessage extends Refusal, HopNumber {
  readonly type: typeof PacketMessageType.numberedRefusal;
}

/** Both directions: acknowledges received numbered messages of a session. */
export interface ReceivedMessage {
  readonly type: typeof PacketMessageType.received;
  readonly session: number;
  /** At least one; bounded by `MAXIMUM_ACKNOWLEDGED_SEQUENCES`. */
  readonly sequences: readonly number[];
}

/** Agent to balancer: the target holds this flow. */
export interface HeldMessage {
  readonly type: typeof PacketMessageType.held;
  readonly flow: Buffer;
}

/** Balancer to agent: asks for the flow's holder. Only an agent whose target holds it answers. */
export interface LocateMessage {
  readonly type: typeof PacketMessageType.locate;
  readonly flow: Buffer;
}

/** What each agent of a search does with the packet. */
export const SearchPhase = {
  /** Accept the packet only if the target is known to hold the flow. */
  query: 1,
  /** Offer the packet to the target. */
  offer: 2,
  /** As `query`, but the last agent notifies the balancer, which queries groups in parallel. */
  queryOnly: 3,
  /**
   * An agent with complete knowledge of its target's flows decides by that; any other offers
   * the packet to its target. The last one reports to the balancer that none holds the flow.
   */
  conclusive: 4,
} as const;
export type SearchPhaseValue = (typeof SearchPhase)[keyof typeof SearchPhase];

/**
 * Balancer to agent, then from agent to agent: a packet of an open flow whose holder is unknown.
 * The listed agents forward it in order, in both phases, until one accepts it.
 */
export interface SearchMessage {
  readonly type: typeof PacketMessageType.search;
  readonly searchId: number;
  /** Balancer that runs the search and receives its outcome. */
  readonly balancer: Endpoint;
  readonly phase: SearchPhaseValue;
  /** Index in `agents` of the agent that handles the message. */
  readonly position: number;
  /** All agents of the search in order; bounded by `MAXIMUM_SEARCH_AGENTS`. */
  readonly agents: readonly Endpoint[];
  /** Services that may receive the packet. */
  readonly services: readonly string[];
  readonly payload: Buffer;
}

/** Last agent of a `queryOnly` group: no agent knows the flow; no target was offered the packet. */
export interface NoneKnowsMessage {
  readonly type: typeof PacketMessageType.noneKnows;
  readonly searchId: number;
  readonly agents: readonly Endpoint[];
  readonly payload: Buffer;
}

/** Last agent of a search to its balancer: no target of the listed agents holds the flow. */
export interface NoneHoldsMessage {
  readonly type: typeof PacketMessageType.noneHolds;
  readonly searchId: number;
  readonly agents: readonly Endpoint[];
  readonly payload: Buffer;
}

/** Balancer to balancer: a client packet for a zone that the sender cannot reach. */
export interface DetourMessage {
  readonly type: typeof PacketMessageType.detour;
  /** Agent that holds the packet's flow, as far as the sender knows. */
  readonly agent: Endpoint;
  readonly payload: Buffer;
}

/** Balancer to agent: asks for an immediate reply, to measure the round-trip time. */
export interface DistanceProbeMessage {
  readonly type: typeof PacketMessageType.distanceProbe;
  /** Milliseconds on the balancer's clock; the agent only echoes it. */
  readonly sentAt: number;
}

/** Agent to balancer: the reply to a distance probe. */
export interface DistanceReplyMessage {
  readonly type: typeof PacketMessageType.distanceReply;
  /** As in the probe. */
  readonly sentAt: number;
}

/** Agent to balancer: the earliest store era that this incarnation of the agent has received. */
export interface EraSeenMessage {
  readonly type: typeof PacketMessageType.eraSeen;
  readonly era: number;
}

/**
 * Agent to balancer, when asked by a subscription: the destinations of the flows that the agent's
 * target may hold.
 */
export interface FlowDestinationsMessage {
  readonly type: typeof PacketMessageType.flowDestinations;
  /** 1 when the target can hold no flow of another destination. */
  readonly complete: number;
  readonly destinations: readonly Endpoint[];
}

/** Balancer to agent: what callers of a route expect; sent before the route's first flows. */
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

/** Balancer to agent: asks for reports for some seconds. */
export interface SubscribeMessage {
  readonly type: typeof PacketMessageType.subscribe;
  readonly zone: string;
  /** Milliseconds between reports that the balancer asks for. */
  readonly interval: number;
  /** Whether the registry lists the agent. */
  readonly listing: ListingStateValue;
  /** Incarnation of its target that has deregistered, by the registry's entry. */
  readonly deregistered: TargetIncarnation | undefined;
  /** Zones out of service, as known to the balancer. */
  readonly evacuations: AnnouncedEvacuations;
  /** Cold-start behaviour of targets, from the balancer's routing table. */
  readonly profiles: ServiceProfiles;
  /** Store era of the revision in this message; 0 from a balancer that sends none. */
  readonly storeEra: number;
  /** 1 when the balancer has just started and asks for the earliest era known to the agent. */
  readonly asksEra: number;
  /** 1 when the balancer asks for the destinations of the flows at the agent's target. */
  readonly asksDestinations: number;
  /** Latest frame version that the balancer supports; 1 if it sends none. */
  readonly frameVersion: number;
}

/** Agent to balancer: state and load of the target. */
export interface ReportMessage {
  readonly type: typeof PacketMessageType.report;
  /** Incarnation of the agent; changes with each start. */
  readonly run: number;
  /** Rises with each report of an incarnation, so that reordered reports are detected. */
  readonly sequence: number;
  readonly service: string;
  readonly zone: string;
  readonly state: TargetStateValue;
  /** Requests that the target serves concurrently; 0 while unknown. */
  readonly slots: number;
  /** Requests in service or queued at the target. */
  readonly busyRequests: number;
  readonly openFlows: number;
  /** Recent response time of the target in milliseconds; 0 when unknown. */
  readonly answerTime: number;
  /**
   * Number of recent answers behind `answerTime`, decaying with time; 0 from an agent that does
   * not count them.
   */
  readonly answers: number;
  /** Earlier targets of this incarnation of the agent; 0 from an agent that sends none. */
  readonly targetChanges: number;
  /** Milliseconds until the target has warmed up after its start. */
  readonly coldLeft: number;
  /** Percentage of the target's recent requests that failed; 100 if it does not answer. */
  readonly failurePercent: number;
  /** Mean bytes of the target's recent flows, both directions; 0 while unknown. */
  readonly flowBytes: number;
  /** Latest frame version that the agent supports; 1 if it sends none. */
  readonly frameVersion: number;
  readonly flowKnowledge: FlowKnowledgeValue;
  /** Number of balancers that the agent reports to. */
  readonly balancerCount: number;
  /** Some of the balancers that the agent reports to. */
  readonly balancers: readonly Endpoint[];
}

/** An agent's entry as balancers exchange it. */
export interface AgentRecord {
  readonly address: Endpoint;
  readonly service: string;
  readonly zone: string;
  /** Incarnation of its target that has announced its shutdown; it gets no new flows. */
  readonly deregistered?: TargetIncarnation | undefined;
}

/** Agents whose entries name a deregistered target, beside a list of agents. */
export interface AgentDeregistration {
  readonly agent: Endpoint;
  readonly deregistered: TargetIncarnation;
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

/** Balancer to balancer: what the sender knows, so that the receiver can fetch what it lacks. */
export interface PeerStatusMessage {
  readonly type: typeof PacketMessageType.peerStatus;
  /** Version of the sender's routing table; 0 for none. */
  readonly routingVersion: number;
  /** 1 when the sender knows every agent. */
  readonly viewComplete: number;
  readonly zone: string;
  /** Where the sender receives client packets. */
  readonly packetAddress: Endpoint;
  /** CPU share of the sender in thousandths of a processor. */
  readonly capacity: number;
  /** 1 when the sender accepts traffic. */
  readonly ready: number;
  /** 1 when the sender asks for the receiver's status immediately. */
  readonly replyWanted: number;
  /** Some balancers known to the sender, for peer discovery. */
  readonly peers: readonly Endpoint[];
  /** Agents that report but are not in the registry yet. */
  readonly unregistered: readonly AgentRecord[];
  /** Store revision up to which the sender knows the registry; 0 for none. */
  readonly registryRevision: number;
  /** Store era of every revision in this message; 0 from a sender that sends none. */
  readonly storeEra: number;
  /** Balancers that read the store, as known to the sender. */
  readonly readers: readonly StoreReader[];
  /** Latest registry changes, from a sender that has just read them. */
  readonly delta: RegistryDelta | undefined;
  /** Deregistered targets of the agents in the delta. */
  readonly deregistrations: readonly AgentDeregistration[];
  /** Zones out of service, as known to the sender. */
  readonly evacuations: AnnouncedEvacuations;
  /** Services that routes no longer name, but whose targets may hold flows of theirs. */
  readonly formerServices: readonly AnnouncedFormerService[];
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
  | FlowDestinationsMessage
  | RouteTermsMessage
  | SubscribeMessage
  | ReportMessage
  | PeerStatusMessage;

/** Messages that an agent handles, without their hop numbers. */
export type MessageToAgent =
  | DeliverMessage
  | SearchMessage
  | LocateMessage
  | SubscribeMessage
  | DistanceProbeMessage
  | RouteTermsMessage;

/** Messages that a balancer handles, without their hop numbers. */
export type MessageToBalancer =
  | NotHeldMessage
  | HeldMessage
  | NoneHoldsMessage
  | NoneKnowsMessage
  | DetourMessage
  | ReportMessage
  | PeerStatusMessage
  | DistanceReplyMessage
  | EraSeenMessage
  | FlowDestinationsMessage;

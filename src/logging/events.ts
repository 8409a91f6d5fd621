/**
 * The catalogue of numbered log events.
 *
 * docs/EVENTS.md describes each one for operators; a test checks that both
 * lists are the same. Numbers are never reused.
 */

/** Log levels, in order of increasing severity. */
export type EventLevel = 'debug' | 'info' | 'warn' | 'error';

/** One entry of the event catalogue. */
export interface EventKind {
  readonly number: number;
  readonly name: string;
  readonly level: EventLevel;
}

/** Fields that an event adds to its log line. */
export type EventFields = Record<string, string | number | boolean | undefined>;

function event(number: number, name: string, level: EventLevel): EventKind {
  return { number, name, level };
}

/** All events that the processes log. */
export const Events = {
  processStarted: event(2001, 'process-started', 'info'),
  processStopping: event(2002, 'process-stopping', 'info'),
  processStopped: event(2003, 'process-stopped', 'info'),
  processFault: event(2004, 'process-fault', 'error'),
  processHandedOver: event(2005, 'process-handed-over', 'info'),
  processTookOver: event(2006, 'process-took-over', 'info'),
  keysReplaced: event(2007, 'keys-replaced', 'info'),
  settingsRefused: event(2008, 'settings-refused', 'error'),
  settingsReloaded: event(2009, 'settings-reloaded', 'info'),
  frameNotAuthentic: event(2101, 'frame-not-authentic', 'warn'),
  frameMalformed: event(2102, 'frame-malformed', 'warn'),
  frameWrongService: event(2103, 'frame-wrong-service', 'warn'),
  frameWrongTarget: event(2104, 'frame-wrong-target', 'warn'),
  frameHopLimit: event(2105, 'frame-hop-limit', 'warn'),
  frameUnexpected: event(2106, 'frame-unexpected', 'warn'),
  serviceUnknown: event(2107, 'service-unknown', 'warn'),
  callerMessageMalformed: event(2108, 'caller-message-malformed', 'debug'),
  backendMessageMalformed: event(2109, 'backend-message-malformed', 'warn'),
  sendFailed: event(2110, 'send-failed', 'warn'),
  tableApplied: event(2201, 'table-applied', 'info'),
  tableAccepted: event(2202, 'table-accepted', 'info'),
  tableRefused: event(2203, 'table-refused', 'warn'),
  tableOutcomeUnknown: event(2204, 'table-outcome-unknown', 'warn'),
  storeUnavailable: event(2301, 'store-unavailable', 'warn'),
  storeReaderStarted: event(2302, 'store-reader-started', 'info'),
  storeReaderStopped: event(2303, 'store-reader-stopped', 'info'),
  memberJoined: event(2401, 'member-joined', 'info'),
  memberSuspected: event(2402, 'member-suspected', 'warn'),
  memberDead: event(2403, 'member-dead', 'warn'),
  memberLeaving: event(2404, 'member-leaving', 'info'),
  bucketsClaimed: event(2501, 'buckets-claimed', 'debug'),
  bucketsOwned: event(2502, 'buckets-owned', 'info'),
  bucketsReleased: event(2503, 'buckets-released', 'info'),
  quorumLost: event(2504, 'quorum-lost', 'warn'),
  quorumRegained: event(2505, 'quorum-regained', 'info'),
  flowRefused: event(2601, 'flow-refused', 'warn'),
  requestRefused: event(2602, 'request-refused', 'warn'),
  requestOutcomeUnknown: event(2603, 'request-outcome-unknown', 'warn'),
  drainStarted: event(2604, 'drain-started', 'info'),
  drainEnded: event(2605, 'drain-ended', 'info'),
  packetMalformed: event(2701, 'packet-malformed', 'warn'),
  packetDropped: event(2702, 'packet-dropped', 'warn'),
  packetRefused: event(2703, 'packet-refused', 'info'),
  flowPlaced: event(2704, 'flow-placed', 'info'),
  flowReset: event(2705, 'flow-reset', 'info'),
  requestDelivered: event(2706, 'request-delivered', 'info'),
  hopRepairsLimited: event(2707, 'hop-repairs-limited', 'warn'),
  answerRepairsLimited: event(2708, 'answer-repairs-limited', 'warn'),
  zoneSpillChanged: event(2709, 'zone-spill-changed', 'info'),
  routingApplied: event(2711, 'routing-applied', 'info'),
  storeRegained: event(2712, 'store-regained', 'info'),
  viewComplete: event(2713, 'view-complete', 'info'),
  readinessChanged: event(2714, 'readiness-changed', 'info'),
  storeReadingStarted: event(2715, 'store-reading-started', 'info'),
  storeReadingStopped: event(2716, 'store-reading-stopped', 'info'),
  registryCallFailed: event(2717, 'registry-call-failed', 'warn'),
  zonesEvacuated: event(2718, 'zones-evacuated', 'info'),
  storeProbeFailed: event(2719, 'store-probe-failed', 'warn'),
  agentStateSeen: event(2721, 'agent-state-seen', 'info'),
  agentRegistered: event(2722, 'agent-registered', 'info'),
  agentRemoved: event(2723, 'agent-removed', 'warn'),
  targetStateChanged: event(2724, 'target-state-changed', 'info'),
  targetSetAside: event(2725, 'target-set-aside', 'warn'),
  targetRestored: event(2726, 'target-restored', 'info'),
  startupEnded: event(2727, 'startup-ended', 'info'),
  targetMissing: event(2728, 'target-missing', 'warn'),
  storeListed: event(2729, 'store-listed', 'info'),
  storeEraChanged: event(2730, 'store-era-changed', 'warn'),
  routingOutdated: event(2731, 'routing-outdated', 'info'),
  routesUnreadable: event(2732, 'routes-unreadable', 'warn'),
  entriesSkipped: event(2733, 'entries-skipped', 'warn'),
  heartbeatRefused: event(2734, 'heartbeat-refused', 'warn'),
  routeTermsMissing: event(2735, 'route-terms-missing', 'warn'),
  requestsGivenUp: event(2736, 'requests-given-up', 'info'),
  searchStalled: event(2737, 'search-stalled', 'warn'),
  relayingChanged: event(2738, 'relaying-changed', 'info'),
  packetReturned: event(2739, 'packet-returned', 'info'),
  searchRepeated: event(2740, 'search-repeated', 'info'),
  detourLost: event(2741, 'detour-lost', 'info'),
  agentForgotten: event(2742, 'agent-forgotten', 'info'),
  agentUnregistered: event(2743, 'agent-unregistered', 'info'),
  searchWidened: event(2744, 'search-widened', 'info'),
} as const satisfies Record<string, EventKind>;

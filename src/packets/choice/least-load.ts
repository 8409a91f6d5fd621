/**
 * Selects the agent whose target will be least loaded (setting `expectedWait` at 0). Every
 * disadvantage of a target adds to its load.
 */
import type { AgentEntry } from '../agent-directory';
import { CANDIDATE_COUNT } from '../flow-candidates';
import { TargetState, type ReportMessage } from '../packet-messages';
import {
  acceptsNewFlows,
  getPlacementClass,
  type Choice,
  type SelectionContext,
} from './selection';
import { DEFAULT_ANSWER_TIME_MS, DEFAULT_SLOTS } from './service-statistics';

/**
 * Answers of a target in whose time the weight of its reported queue decays to about a third.
 * Balancers that see an idle target all choose it: with 19 of them, one with 12 ms answer time got
 * 15 new flows in 100 ms and a queue of 180 ms, at a goal of 211 ms. Of 9,842 requests at 1,230/s
 * to 41 such targets 386 were late without decay, 321 with 40 ms, 372 with 120 ms.
 */
const REPORT_DECAY_ANSWERS = 3;
/** Load added while the target is slow after its start. */
const COLD_PENALTY = 0.5;
/** Load added while no heartbeat has confirmed that the target is ready. */
const UNKNOWN_STATE_PENALTY = 0.2;
/** Load added while the agent is unresponsive. */
const UNRESPONSIVE_PENALTY = 5;

/** Load added while other balancers may not know the agent yet and could not find its flows. */
const NEW_AGENT_PENALTY = 5;

/** Load added for a target whose requests all fail; a proportion of it for fewer failures. */
const FAILURE_PENALTY = 4;

/** Loads closer than this count as equal; ties are broken at random. */
const TIE_MARGIN = 0.1;

/** Mean number of busy requests per open flow of a service. */
function computeBusyPerFlow(entries: readonly AgentEntry[]): number {
  let busy = 0;
  let flows = 0;
  for (const { report } of entries) {
    busy += report?.busyRequests ?? 0;
    flows += report?.openFlows ?? 0;
  }
  return flows > 0 ? busy / flows : 0;
}

/** Milliseconds in which the weight of a reported queue decays to about a third. */
function computeDecayTime({ answerTime }: ReportMessage): number {
  return REPORT_DECAY_ANSWERS * (answerTime || DEFAULT_ANSWER_TIME_MS);
}

/** Mean number of busy requests at the agents that have reported. */
function computeMeanBusy(entries: readonly AgentEntry[]): number {
  const reports = entries.flatMap(({ report }) => (report ? [report] : []));
  const busy = reports.reduce((sum, { busyRequests }) => sum + busyRequests, 0);
  return reports.length > 0 ? busy / reports.length : 0;
}

/** Load figures over all agents of a service. */
interface ServiceLoad {
  /** Mean number of busy requests per open flow. */
  readonly busyPerFlow: number;
  /** Mean number of busy requests per agent. */
  readonly meanBusy: number;
  /** Fraction of the other balancers that choose among the same agents as this one. */
  readonly competingShare: number;
}

/**
 * Expected number of busy slots per slot of an agent's target.
 *
 * Balancers see the same reports and choose alike, so each new flow of this balancer that no report
 * includes yet stands for one of every balancer with the same candidates.
 */
function estimateUtilization(
  entry: AgentEntry,
  { busyPerFlow, competingShare, meanBusy }: ServiceLoad,
  context: SelectionContext,
): number {
  const balancers = Math.max(1, (entry.report?.balancerCount ?? 1) * competingShare);
  const openings = entry.recentOpenings.length * balancers;
  if (!entry.report) {
    return openings / DEFAULT_SLOTS;
  }
  const { busyRequests, openFlows, slots } = entry.report;
  const reportWeight = Math.exp(-context.getReportAge(entry) / computeDecayTime(entry.report));
  const queued = meanBusy + (busyRequests - meanBusy) * reportWeight;
  const busy = queued + openFlows * busyPerFlow + openings;
  return busy / (slots || DEFAULT_SLOTS);
}

/** Load per slot of an agent's target, penalties included; lower is better. */
function computeLoad(entry: AgentEntry, service: ServiceLoad, context: SelectionContext): number {
  const isCold = entry.report !== undefined && entry.report.coldLeft > 0;
  const isReady = entry.report?.state === TargetState.ready;
  let load = estimateUtilization(entry, service, context);
  load += computeTransferLoad(entry, context);
  load += isCold ? COLD_PENALTY : 0;
  load += isReady ? 0 : UNKNOWN_STATE_PENALTY;
  load += (FAILURE_PENALTY * (entry.report?.failurePercent ?? 0)) / 100;
  load += context.isHeard(entry) ? 0 : UNRESPONSIVE_PENALTY;
  load += context.isRecentlyAdded(entry) ? NEW_AGENT_PENALTY : 0;
  return load;
}

/** Network cost of an agent, in answer times of its target. */
function computeTransferLoad(entry: AgentEntry, context: SelectionContext): number {
  return context.getTransferCost(entry) / (entry.report?.answerTime || DEFAULT_ANSWER_TIME_MS);
}

interface ScoredAgent {
  readonly entry: AgentEntry;
  readonly load: number;
}

/**
 * Selects the least loaded of the first agents that accept new flows, and doubles their number
 * while even that one has no free slot. Undefined when none accepts any.
 * @param ordered agents in the candidate order of the flow
 */
export function selectLeastLoaded(
  ordered: readonly AgentEntry[],
  context: SelectionContext,
): Choice | undefined {
  const accepting = ordered.filter((entry) => acceptsNewFlows(entry));
  const service: ServiceLoad = {
    busyPerFlow: computeBusyPerFlow(ordered),
    meanBusy: computeMeanBusy(accepting),
    competingShare: Math.min(1, CANDIDATE_COUNT / accepting.length),
  };
  for (let count = CANDIDATE_COUNT; ; count *= 2) {
    const choice = chooseLeastLoaded(accepting.slice(0, count), service, context);
    const isGoodEnough = choice && choice.load < 1 + computeTransferLoad(choice.entry, context);
    if (count >= accepting.length || isGoodEnough) {
      return choice && createChoice(choice.entry, context);
    }
  }
}

function createChoice(entry: AgentEntry, context: SelectionContext): Choice {
  const placementClass = getPlacementClass(entry, context);
  return { entry, placementClass, isTrial: false, expectedTime: 0, reportedTime: 0 };
}

function chooseLeastLoaded(
  entries: readonly AgentEntry[],
  service: ServiceLoad,
  context: SelectionContext,
): ScoredAgent | undefined {
  let best: ScoredAgent | undefined;
  for (const entry of entries) {
    const load = computeLoad(entry, service, context) + context.random() * TIE_MARGIN;
    if (!best || load < best.load) {
      best = { entry, load };
    }
  }
  return best;
}

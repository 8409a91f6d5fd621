/**
 * Selects the agent for a new flow: of the best placement class among the candidates, the one with
 * the shortest expected answer time (docs/design/choice.md).
 */
import type { AgentEntry } from '../agent-directory';
import { CANDIDATE_COUNT } from '../flow-candidates';
import { TargetState } from '../packet-messages';
import { computeWaterLevel } from './water-filling';
import { estimateLaterWaits } from './persistent-flows';
import {
  acceptsNewFlows,
  PlacementClass,
  getPlacementClass,
  type Choice,
  type PlacementClassValue,
  type SelectionContext,
} from './selection';
import {
  estimateAnswerTime,
  computeServiceStatistics,
  getSlots,
  type ServiceStatistics,
} from './service-statistics';

/**
 * Answers, besides those to queued requests, in whose time the weight of a reported queue decays to
 * about a third: by then the queue has been worked off.
 */
const REPORT_DECAY_ANSWERS = 1;
/** Answers in whose time the weight of a flow that no report includes yet decays to a third. */
const OPENING_DECAY_ANSWERS = 2;
/** Fraction of the answer time within which ties are broken at random. */
const TIE_SHARE = 0.1;
/**
 * Minimum answer time of a cold target as a multiple of the service's median, whatever its first
 * ones were: at twice the median it gets flows while the others have a request each waiting.
 */
const COLD_FACTOR = 2;
/** Fraction of the answer time added while no heartbeat has shown that the target is ready. */
const UNKNOWN_STATE_SHARE = 0.2;
/**
 * Minimum cost of a failed request to its client, which retransmits after at least 200 ms (the
 * lowest retransmission timeout in common use, below the second of RFC 6298).
 */
const MINIMUM_FAILURE_COST_MS = 200;
/**
 * Minimum cost of a failed request in answer times, where these are long: the retry queues like the
 * first attempt, so a target that always fails is no better than a short queue elsewhere.
 */
const FAILURE_COST_ANSWERS = 4;
/** Wait at every healthy target, in answer times, beyond which a doubtful one is preferred. */
const DOUBTFUL_WAIT_ANSWERS = 5;
const PERCENT = 100;

/** An agent with the expected times of its target. */
interface Candidate {
  readonly entry: AgentEntry;
  readonly placementClass: PlacementClassValue;
  /** Milliseconds by which a request there delays others: answer time divided by slots. */
  readonly timePerRequest: number;
  /** Milliseconds to the answer to a request there, as of its report. */
  readonly reportedTime: number;
  /** Mean cost of its failures to the client of a request, in milliseconds. */
  readonly expectedFailureCost: number;
  /** Milliseconds of work from requests of this balancer that no report includes yet. */
  readonly unreportedTime: number;
}

/** A candidate with the expected times of a flow from this balancer. */
interface ScoredCandidate extends Candidate {
  /** Milliseconds to its first answer. */
  readonly time: number;
  /** Total wait of its later requests in milliseconds. */
  readonly laterWait: number;
}

/**
 * Selects the shortest expected answer time among the first agents that accept new flows: as many
 * as it takes to include a healthy one, and twice as many where those are worse than the service's
 * mean. Undefined when none accepts any.
 * @param ordered agents in the candidate order of the flow
 */
export function selectLeastWait(
  ordered: readonly AgentEntry[],
  context: SelectionContext,
): Choice | undefined {
  const accepting = ordered.filter((entry) => acceptsNewFlows(entry));
  const statistics = computeServiceStatistics(accepting, context.openingRate);
  const trial = findTrial(accepting.slice(0, CANDIDATE_COUNT), context);
  if (trial) {
    return createChoice(
      scoreCandidate(createCandidate(trial, statistics, context), 0, 0, context),
      true,
    );
  }
  const count = chooseCandidateCount(accepting, context);
  const candidates = scoreCandidates(accepting.slice(0, count), statistics, context);
  const best = chooseBest(candidates, statistics, context);
  if (!best || count >= accepting.length || isGoodEnough(best, statistics)) {
    return best && createChoice(best, false);
  }
  const more = scoreCandidates(accepting.slice(0, count * 2), statistics, context);
  const bestOfMore = chooseBest(more, statistics, context);
  return bestOfMore && createChoice(bestOfMore, false);
}

/** Number of agents to consider: ten, doubled until a healthy one is among them. */
function chooseCandidateCount(accepting: readonly AgentEntry[], context: SelectionContext): number {
  for (let count = CANDIDATE_COUNT; count < accepting.length; count *= 2) {
    const added = accepting.slice(count === CANDIDATE_COUNT ? 0 : count / 2, count);
    if (added.some((entry) => getPlacementClass(entry, context) === PlacementClass.healthy)) {
      return count;
    }
  }
  return accepting.length;
}

function findTrial(
  entries: readonly AgentEntry[],
  context: SelectionContext,
): AgentEntry | undefined {
  return entries.find((entry) => {
    const status = context.getOutlierStatus(entry);
    return status.kind === 'setAside' && status.isTrialDue && context.isHeard(entry);
  });
}

/** Whether more candidates are unlikely to include a better one. */
function isGoodEnough(
  { placementClass, time }: ScoredCandidate,
  statistics: ServiceStatistics,
): boolean {
  const { answerTime, meanWait } = statistics;
  return (
    placementClass === PlacementClass.healthy && time <= answerTime + Math.max(answerTime, meanWait)
  );
}

function scoreCandidates(
  entries: readonly AgentEntry[],
  statistics: ServiceStatistics,
  context: SelectionContext,
): ScoredCandidate[] {
  const candidates = entries.map((entry) => createCandidate(entry, statistics, context));
  const { requestsPerFlow, competingShare } = context;
  const competitors = (statistics.balancers - 1) * competingShare;
  const laterWaits = estimateLaterWaits(entries, statistics, {
    requestsPerFlow,
    competitors,
  });
  return Object.values(PlacementClass).flatMap((wanted) => {
    const ofClass = candidates.filter(({ placementClass }) => placementClass === wanted);
    const filledTime = estimateFilledTime(ofClass, competitors);
    return ofClass.map((candidate) =>
      scoreCandidate(candidate, filledTime, laterWaits.get(candidate.entry) ?? 0, context),
    );
  });
}

function createCandidate(
  entry: AgentEntry,
  statistics: ServiceStatistics,
  context: SelectionContext,
): Candidate {
  const { report } = entry;
  const coldTime = (report?.coldLeft ?? 0) > 0 ? statistics.answerTime * COLD_FACTOR : 0;
  const answerTime = Math.max(coldTime, estimateAnswerTime(entry, statistics));
  const timePerRequest = answerTime / getSlots(entry);
  const wait = timePerRequest * estimateRequestsAhead(entry, answerTime, statistics, context);
  const unknownStateCost =
    report?.state === TargetState.ready ? 0 : answerTime * UNKNOWN_STATE_SHARE;
  const failureCost = Math.max(
    MINIMUM_FAILURE_COST_MS,
    FAILURE_COST_ANSWERS * statistics.answerTime,
  );
  const expectedFailureCost = (failureCost * (report?.failurePercent ?? 0)) / PERCENT;
  return {
    entry,
    placementClass: getPlacementClass(entry, context),
    timePerRequest,
    reportedTime: answerTime + wait + unknownStateCost,
    expectedFailureCost,
    unreportedTime: timePerRequest * estimateUnreportedRequests(entry, answerTime, context.now),
  };
}

/**
 * Requests expected at a target as of its report, without those sent since by other balancers. As
 * the report ages, the mean load of its open flows takes its place; where a flow lasts for one
 * request, those have ended as well and the service's mean remains.
 */
function estimateRequestsAhead(
  entry: AgentEntry,
  answerTime: number,
  { typicalBusyRequests, meanOpenFlows, meanFlowLifetime }: ServiceStatistics,
  context: SelectionContext,
): number {
  const { report } = entry;
  if (!report) {
    return typicalBusyRequests;
  }
  const age = context.getReportAge(entry);
  const queue = Math.max(report.busyRequests, typicalBusyRequests) / getSlots(entry);
  const reportWeight = Math.exp(-age / (answerTime * (REPORT_DECAY_ANSWERS + queue)));
  const busyPerFlow = meanOpenFlows > 0 ? typicalBusyRequests / meanOpenFlows : 0;
  const extraFlows =
    (report.openFlows - meanOpenFlows) * Math.exp(-age / Math.max(1, meanFlowLifetime));
  const expectedBusy = Math.max(0, typicalBusyRequests + extraFlows * busyPerFlow);
  return report.busyRequests * reportWeight + expectedBusy * (1 - reportWeight);
}

/** Requests of this balancer that no report includes yet and that are still unanswered. */
function estimateUnreportedRequests(entry: AgentEntry, answerTime: number, now: number): number {
  let sum = 0;
  for (const at of entry.recentOpenings) {
    sum += Math.exp(-Math.max(0, now - at) / (OPENING_DECAY_ANSWERS * answerTime));
  }
  return sum;
}

/**
 * Answer time in milliseconds up to which other balancers have filled the best targets since the
 * reports that all of them have. They select as this one does, so its own recent flows tell how
 * many they have placed. These go first to targets reported as idle, which are so only for the
 * first of them.
 * @param competitors other balancers that place among the same agents
 */
function estimateFilledTime(candidates: readonly Candidate[], competitors: number): number {
  let requests = 0;
  for (const { timePerRequest, unreportedTime } of candidates) {
    requests += (unreportedTime / timePerRequest) * competitors;
  }
  const bins = candidates.map((one) => ({
    level: getComparedTime(one),
    width: 1 / one.timePerRequest,
  }));
  return computeWaterLevel(bins, requests);
}

/** Milliseconds by which all balancers compare a candidate, apart from their own costs. */
function getComparedTime({ reportedTime, expectedFailureCost }: Candidate): number {
  return reportedTime + expectedFailureCost;
}

function scoreCandidate(
  candidate: Candidate,
  filledTime: number,
  laterWait: number,
  context: SelectionContext,
): ScoredCandidate {
  const { entry, reportedTime, expectedFailureCost, unreportedTime } = candidate;
  const answeredAfter = Math.max(reportedTime, filledTime) + unreportedTime;
  const time = answeredAfter + expectedFailureCost + context.getTransferCost(entry);
  return { ...candidate, time, laterWait };
}

/** The best of the best class; a doubtful one where the wait at every healthy one is too long. */
function chooseBest(
  candidates: readonly ScoredCandidate[],
  statistics: ServiceStatistics,
  context: SelectionContext,
): ScoredCandidate | undefined {
  const tieWindow = statistics.answerTime * TIE_SHARE;
  const healthy = chooseOfClass(candidates, PlacementClass.healthy, tieWindow, context);
  const doubtful = chooseOfClass(candidates, PlacementClass.doubtful, tieWindow, context);
  const waitLimit = statistics.answerTime * DOUBTFUL_WAIT_ANSWERS;
  if (healthy && doubtful && healthy.time > doubtful.time + waitLimit) {
    return doubtful;
  }
  return (
    healthy ?? doubtful ?? chooseOfClass(candidates, PlacementClass.lastResort, tieWindow, context)
  );
}

/** @param tieWindow milliseconds of random spread among equal candidates */
function chooseOfClass(
  candidates: readonly ScoredCandidate[],
  wanted: PlacementClassValue,
  tieWindow: number,
  context: SelectionContext,
): ScoredCandidate | undefined {
  let best: ScoredCandidate | undefined;
  let bestTime = Infinity;
  for (const candidate of candidates) {
    if (candidate.placementClass !== wanted) {
      continue;
    }
    const time = candidate.time + candidate.laterWait + context.random() * tieWindow;
    if (time < bestTime) {
      best = candidate;
      bestTime = time;
    }
  }
  return best;
}

function createChoice(candidate: ScoredCandidate, isTrial: boolean): Choice {
  const { entry, placementClass, reportedTime, time } = candidate;
  return { entry, placementClass, isTrial, expectedTime: time, reportedTime };
}

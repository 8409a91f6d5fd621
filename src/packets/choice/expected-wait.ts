/**
 * Chooses the agent for a new flow: of the best class that has any among the candidates, the one
 * whose target will have answered first (docs/design/choice.md).
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
 * Answers of a target, besides those that wait, in whose time what a report says of its queue falls
 * to about a third: a queue that was seen is gone once it has been worked off.
 */
const REPORT_DECAY_ANSWERS = 1;
/** Answers in whose time the weight of an opening that no report shows yet falls to a third. */
const OPENING_DECAY_ANSWERS = 2;
/** Part of an answer's time by which equal targets are told apart at random. */
const TIE_SHARE = 0.1;
/**
 * Times the service's median that an answer of a cold target takes at least, whatever its first ones
 * took: twice keeps it for the moments in which the others have a request each waiting.
 */
const COLD_FACTOR = 2;
/** Part of an answer's time added while no heartbeat has confirmed that the target is ready. */
const UNKNOWN_STATE_SHARE = 0.2;
/**
 * Milliseconds that a failed request costs its client: it repeats after a timer of at least 200 ms
 * (the least retransmission timeout in common use, below the second of RFC 6298).
 */
const MINIMUM_FAILURE_COST_MS = 200;
/**
 * Answers that a failed request costs at least, where answers take long: the repeat waits its turn as
 * the first try did, so a target that always fails is worth no short queue elsewhere.
 */
const FAILURE_COST_ANSWERS = 4;
/** Answers of waiting at every able target for which a doubtful one is the better choice. */
const DOUBTFUL_WAIT_ANSWERS = 5;
const PERCENT = 100;

/** One agent with what is expected of its target. */
interface Candidate {
  readonly entry: AgentEntry;
  readonly placementClass: PlacementClassValue;
  /** Milliseconds of an answer there, for each of its slots: by so much a request delays others. */
  readonly timePerRequest: number;
  /** Milliseconds until the answer to a request there, as of its report. */
  readonly reportedTime: number;
  /** Milliseconds that its failures cost the client of a request in the mean. */
  readonly expectedFailureCost: number;
  /** Milliseconds for which requests keep it busy that this balancer sent and no report shows yet. */
  readonly unreportedTime: number;
}

/** A candidate with what a flow of this balancer would have there. */
interface ScoredCandidate extends Candidate {
  /** Milliseconds until its first answer. */
  readonly time: number;
  /** Milliseconds for which its later requests wait, all together. */
  readonly laterWait: number;
}

/**
 * The target that answers first among the first agents that take new flows: as many as it takes to
 * have an able one among them, and twice as many where those are worse than the service is in the
 * mean. Undefined when none takes any.
 * @param ordered agents in the order that belongs to the flow
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

/** How many agents to consider: ten, or so many more that one of them is able. */
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
    const standing = context.getOutlierStatus(entry);
    return standing.kind === 'setAside' && standing.isTrialDue && context.isHeard(entry);
  });
}

/** Whether more candidates would most likely bring nothing better. */
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
  const { requestsPerFlow, competingShare: rivalShare } = context;
  const competitors = (statistics.balancers - 1) * rivalShare;
  const laterWaits = estimateLaterWaits(entries, statistics, {
    requestsPerFlow,
    competitors: competitors,
  });
  return Object.values(PlacementClass).flatMap((wanted) => {
    const ofClass = candidates.filter(({ placementClass }) => placementClass === wanted);
    const level = estimateFilledTime(ofClass, competitors);
    return ofClass.map((candidate) =>
      scoreCandidate(candidate, level, laterWaits.get(candidate.entry) ?? 0, context),
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
  const delay = answerTime / getSlots(entry);
  const wait = delay * estimateRequestsAhead(entry, answerTime, statistics, context);
  const unknownStateCost =
    report?.state === TargetState.ready ? 0 : answerTime * UNKNOWN_STATE_SHARE;
  const failure = Math.max(MINIMUM_FAILURE_COST_MS, FAILURE_COST_ANSWERS * statistics.answerTime);
  const failureCost = (failure * (report?.failurePercent ?? 0)) / PERCENT;
  return {
    entry,
    placementClass: getPlacementClass(entry, context),
    timePerRequest: delay,
    reportedTime: answerTime + wait + unknownStateCost,
    expectedFailureCost: failureCost,
    unreportedTime: delay * estimateUnreportedRequests(entry, answerTime, context.now),
  };
}

/**
 * Requests to be expected at a target as of its report, without those that other balancers have
 * sent since. The older the report, the nearer to what its open flows bring in the mean; where a
 * flow lasts for one request, those have ended as well and the service's mean is left.
 */
function estimateRequestsAhead(
  entry: AgentEntry,
  answerTime: number,
  {
    typicalBusyRequests: usualBusy,
    meanOpenFlows: meanFlows,
    meanFlowLifetime: flowTime,
  }: ServiceStatistics,
  context: SelectionContext,
): number {
  const { report } = entry;
  if (!report) {
    return usualBusy;
  }
  const age = context.getReportAge(entry);
  const queue = Math.max(report.busyRequests, usualBusy) / getSlots(entry);
  const seen = Math.exp(-age / (answerTime * (REPORT_DECAY_ANSWERS + queue)));
  const busyPerFlow = meanFlows > 0 ? usualBusy / meanFlows : 0;
  const extraFlows = (report.openFlows - meanFlows) * Math.exp(-age / Math.max(1, flowTime));
  const lasting = Math.max(0, usualBusy + extraFlows * busyPerFlow);
  return report.busyRequests * seen + lasting * (1 - seen);
}

/** Requests of this balancer that no report shows yet and that are not answered by now. */
function estimateUnreportedRequests(entry: AgentEntry, answerTime: number, now: number): number {
  let sum = 0;
  for (const at of entry.recentOpenings) {
    sum += Math.exp(-Math.max(0, now - at) / (OPENING_DECAY_ANSWERS * answerTime));
  }
  return sum;
}

/**
 * Milliseconds until an answer up to which other balancers have filled the best targets since the
 * reports that all of them have seen. They choose as this one does, so its own openings of late tell
 * how many theirs are, and they go first to where a report shows room: a target that is reported
 * idle is so only for the first of them.
 * @param competitors other balancers that place among the same agents
 */
function estimateFilledTime(candidates: readonly Candidate[], competitors: number): number {
  let requests = 0;
  for (const { timePerRequest: delay, unreportedTime: ownTime } of candidates) {
    requests += (ownTime / delay) * competitors;
  }
  const bins = candidates.map((one) => ({
    level: getComparedTime(one),
    width: 1 / one.timePerRequest,
  }));
  return computeWaterLevel(bins, requests);
}

/** Milliseconds by which every balancer compares a candidate, each with its own costs besides. */
function getComparedTime({ reportedTime, expectedFailureCost: failureCost }: Candidate): number {
  return reportedTime + failureCost;
}

function scoreCandidate(
  candidate: Candidate,
  filledTime: number,
  laterWait: number,
  context: SelectionContext,
): ScoredCandidate {
  const {
    entry,
    reportedTime,
    expectedFailureCost: failureCost,
    unreportedTime: ownTime,
  } = candidate;
  const answeredAfter = Math.max(reportedTime, filledTime) + ownTime;
  const time = answeredAfter + failureCost + context.getTransferCost(entry);
  return { ...candidate, time, laterWait };
}

/** The best of the best class; a doubtful one where every able one makes flows wait too long. */
function chooseBest(
  candidates: readonly ScoredCandidate[],
  statistics: ServiceStatistics,
  context: SelectionContext,
): ScoredCandidate | undefined {
  const tieWindow = statistics.answerTime * TIE_SHARE;
  const able = chooseOfClass(candidates, PlacementClass.healthy, tieWindow, context);
  const doubtful = chooseOfClass(candidates, PlacementClass.doubtful, tieWindow, context);
  const waitLimit = statistics.answerTime * DOUBTFUL_WAIT_ANSWERS;
  if (able && doubtful && able.time > doubtful.time + waitLimit) {
    return doubtful;
  }
  return (
    able ?? doubtful ?? chooseOfClass(candidates, PlacementClass.lastResort, tieWindow, context)
  );
}

/** @param tieWindow milliseconds by which balancers that know the same tell equal offers apart */
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

/**
 * Which target receives a new flow: the one with the fewest flows per share.
 *
 * The owner of a bucket knows its peers' counts as of their last heartbeat, plus
 * what it placed since. Other owners place at the same time on the same stale
 * counts, so what this owner placed stands for what all owners placed.
 */

import type { Endpoint } from '../environment';

/** One target as the placing owner knows it. */
export interface PlacementCandidate {
  readonly target: string;
  readonly address: Endpoint;
  readonly share: number;
  /** Cap on flows. */
  readonly connections: number;
  /** Flows the target last reported. */
  readonly reportedFlows: number;
  /** Flows this owner placed there since that report. */
  readonly placedSince: number;
  /** Busy part of the target's slots, 0 to 1; only breaks near ties, since it lags and may lie. */
  readonly reportedLoad: number;
  /** 0 just after a cold start, 1 once warm. */
  readonly warmth: number;
}

/** Load weighs less than one flow, so that a lying report cannot shift balance. */
const LOAD_WEIGHT = 0.5;

function estimatedFlows(candidate: PlacementCandidate, owners: number): number {
  return candidate.reportedFlows + candidate.placedSince * owners;
}

function meanFlowsPerShare(candidates: readonly PlacementCandidate[], owners: number): number {
  const flows = candidates.reduce((sum, candidate) => sum + estimatedFlows(candidate, owners), 0);
  const shares = candidates.reduce((sum, candidate) => sum + candidate.share, 0);
  return flows / shares;
}

/**
 * Chooses a target, or undefined when every candidate is at its cap.
 * @param owners how many owners place at once on the same counts
 * @param tieBreak uniform in [0, 1)
 */
export function chooseTarget(
  candidates: readonly PlacementCandidate[],
  owners: number,
  tieBreak: number,
): PlacementCandidate | undefined {
  const open = candidates.filter(
    (candidate) =>
      candidate.share > 0 &&
      candidate.reportedFlows + candidate.placedSince < candidate.connections,
  );
  if (open.length === 0) {
    return undefined;
  }
  const mean = meanFlowsPerShare(open, owners);
  const start = Math.floor(tieBreak * open.length);
  let best: PlacementCandidate | undefined;
  let bestScore = Infinity;
  for (let step = 0; step < open.length; step++) {
    const candidate = open[(start + step) % open.length]!;
    const score = scoreOf(candidate, owners, mean);
    if (score < bestScore) {
      best = candidate;
      bestScore = score;
    }
  }
  return best;
}

/** Flows per share; a cold target counts as fuller than it is, so that it is not rushed. */
function scoreOf(candidate: PlacementCandidate, owners: number, mean: number): number {
  const flows = estimatedFlows(candidate, owners) + LOAD_WEIGHT * candidate.reportedLoad;
  const coldFloor = mean * (1 - candidate.warmth);
  return Math.max(flows / candidate.share, coldFloor);
}

/**
 * Which target receives a new flow: the one with the fewest flows per share.
 *
 * The owner of a bucket knows its peers' counts as of their last heartbeat, plus
 * what it placed since. In a burst the other owners place at the same time on the same
 * stale counts, so what this owner placed stands for a part of what they placed.
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

/**
 * Placements of an owner since the last reports at which half of what it placed is
 * taken to have been placed by every other owner too: one placement is chance, many
 * at once are a burst that all owners see. Chosen by `bench balance` (docs/DESIGN.md).
 */
const BURST_HALF = 2;

/** Among targets that are all cold the emptier one still goes first. */
const TIE_WEIGHT = 1e-6;

/** Load weighs less than one flow, so that a lying report cannot shift balance. */
const LOAD_WEIGHT = 0.5;

/** How many flows stand for one that this owner placed, from 1 up to the number of owners. */
function placementWeight(candidates: readonly PlacementCandidate[], owners: number): number {
  const placed = candidates.reduce((sum, candidate) => sum + candidate.placedSince, 0);
  const burst = placed / (placed + BURST_HALF);
  return 1 + (owners - 1) * burst;
}

function estimatedFlows(candidate: PlacementCandidate, weight: number): number {
  return candidate.reportedFlows + candidate.placedSince * weight;
}

function meanFlowsPerShare(candidates: readonly PlacementCandidate[], weight: number): number {
  const flows = candidates.reduce((sum, candidate) => sum + estimatedFlows(candidate, weight), 0);
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
  const weight = placementWeight(candidates, owners);
  const mean = meanFlowsPerShare(open, weight);
  const start = Math.floor(tieBreak * open.length);
  let best: PlacementCandidate | undefined;
  let bestScore = Infinity;
  for (let step = 0; step < open.length; step++) {
    const candidate = open[(start + step) % open.length]!;
    const score = scoreOf(candidate, weight, mean);
    if (score < bestScore) {
      best = candidate;
      bestScore = score;
    }
  }
  return best;
}

/** Flows per share; a cold target counts as fuller than it is, so that it is not rushed. */
function scoreOf(candidate: PlacementCandidate, weight: number, mean: number): number {
  const flows = estimatedFlows(candidate, weight) + LOAD_WEIGHT * candidate.reportedLoad;
  const perShare = flows / candidate.share;
  const coldFloor = mean * (1 - candidate.warmth);
  return Math.max(perShare, coldFloor) + TIE_WEIGHT * perShare;
}

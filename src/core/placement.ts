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
const HALF_BURST_PLACEMENTS = 2;

/** Among targets that are all cold the emptier one still goes first. */
const TIE_BREAK_WEIGHT = 1e-6;

/** Load weighs less than one flow, so that a lying report cannot shift balance. */
const LOAD_WEIGHT = 0.5;

/** How many flows stand for one that this owner placed, from 1 up to the number of owners. */
function computePlacementWeight(candidates: readonly PlacementCandidate[], owners: number): number {
  const placed = candidates.reduce((sum, candidate) => sum + candidate.placedSince, 0);
  const burst = placed / (placed + HALF_BURST_PLACEMENTS);
  return 1 + (owners - 1) * burst;
}

function estimateFlows(candidate: PlacementCandidate, weight: number): number {
  return candidate.reportedFlows + candidate.placedSince * weight;
}

function computeMeanFlowsPerShare(
  candidates: readonly PlacementCandidate[],
  weight: number,
): number {
  const flows = candidates.reduce((sum, candidate) => sum + estimateFlows(candidate, weight), 0);
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
  const available = candidates.filter(
    (candidate) =>
      candidate.share > 0 &&
      candidate.reportedFlows + candidate.placedSince < candidate.connections,
  );
  if (available.length === 0) {
    return undefined;
  }
  const weight = computePlacementWeight(candidates, owners);
  const mean = computeMeanFlowsPerShare(available, weight);
  const start = Math.floor(tieBreak * available.length);
  let best: PlacementCandidate | undefined;
  let bestScore = Infinity;
  for (let step = 0; step < available.length; step++) {
    const candidate = available[(start + step) % available.length]!;
    const score = computeScore(candidate, weight, mean);
    if (score < bestScore) {
      best = candidate;
      bestScore = score;
    }
  }
  return best;
}

/** Flows per share; a cold target counts as fuller than it is, so that it is not rushed. */
function computeScore(candidate: PlacementCandidate, weight: number, mean: number): number {
  const flows = estimateFlows(candidate, weight) + LOAD_WEIGHT * candidate.reportedLoad;
  const perShare = flows / candidate.share;
  const coldMinimum = mean * (1 - candidate.warmth);
  return Math.max(perShare, coldMinimum) + TIE_BREAK_WEIGHT * perShare;
}

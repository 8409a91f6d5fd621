/**
 * Placement of new flows: the target with the fewest flows per share.
 *
 * The owner of a bucket knows its peers' counts as of their last heartbeat, plus its own
 * placements since. In a burst the other owners place on the same stale counts at the same time,
 * so their placements are estimated from this owner's.
 */

import type { Endpoint } from '../environment';

/** State of one target as known to the placing owner. */
export interface PlacementCandidate {
  readonly target: string;
  readonly address: Endpoint;
  readonly share: number;
  /** Maximum number of flows. */
  readonly connections: number;
  /** Flows the target last reported. */
  readonly reportedFlows: number;
  /** Flows this owner placed there since that report. */
  readonly placedSince: number;
  /** Fraction of busy slots; only breaks near ties, since it lags and may be wrong. */
  readonly reportedLoad: number;
  /** 0 just after a cold start, 1 once warm. */
  readonly warmth: number;
}

/**
 * Placements of an owner since the last reports at which every other owner is assumed to have
 * placed half as many: one placement is chance, many at once are a burst that reaches all owners.
 * `bench balance` compares values (docs/DESIGN.md).
 */
const HALF_BURST_PLACEMENTS = 2;

/** Among targets that are all cold, the one with fewer flows is still preferred. */
const TIE_BREAK_WEIGHT = 1e-6;

/** Load weighs less than one flow, so that a wrong report cannot shift the balance. */
const LOAD_WEIGHT = 0.5;

/** Estimated placements by all owners per placement by this one, from 1 to the number of owners. */
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
 * Chooses a target; undefined when every candidate is at its maximum.
 * @param owners number of owners that place concurrently on the same counts
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

/** Flows per share; a cold target scores higher, so that it is not overloaded during warm-up. */
function computeScore(candidate: PlacementCandidate, weight: number, mean: number): number {
  const flows = estimateFlows(candidate, weight) + LOAD_WEIGHT * candidate.reportedLoad;
  const perShare = flows / candidate.share;
  const coldMinimum = mean * (1 - candidate.warmth);
  return Math.max(perShare, coldMinimum) + TIE_BREAK_WEIGHT * perShare;
}

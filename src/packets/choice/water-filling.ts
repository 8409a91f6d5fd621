/** Where load goes that others place by the same figures: to the lowest levels first. */

/** One place that load goes to. */
export interface FillableBin {
  readonly level: number;
  /** Load that raises its level by one. */
  readonly width: number;
}

/**
 * The level up to which places are filled once some load has been poured over the lowest of them; 0
 * without places or load.
 */
export function computeWaterLevel(bins: readonly FillableBin[], load: number): number {
  const sortedBins = [...bins].sort((one, other) => one.level - other.level);
  let remainingLoad = load;
  let level = 0;
  let width = 0;
  for (const bin of sortedBins) {
    const requiredLoad = (bin.level - level) * width;
    if (requiredLoad >= remainingLoad) {
      break;
    }
    remainingLoad -= requiredLoad;
    level = bin.level;
    width += bin.width;
  }
  return width > 0 ? level + remainingLoad / width : 0;
}

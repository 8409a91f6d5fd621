/** Water-filling: distributes load over bins, lowest level first. */

/** A bin that takes load. */
export interface FillableBin {
  readonly level: number;
  /** Load that raises the level by one. */
  readonly width: number;
}

/**
 * Computes the level to which the lowest bins are filled once the load is distributed; 0 without
 * bins or load.
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

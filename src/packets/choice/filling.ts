/** Where load goes that others place by the same figures: to the lowest levels first. */

/** One place that load goes to. */
export interface FillingPlace {
  readonly level: number;
  /** Load that raises its level by one. */
  readonly width: number;
}

/**
 * The level up to which places are filled once some load has been poured over the lowest of them; 0
 * without places or load.
 */
export function fillUp(places: readonly FillingPlace[], load: number): number {
  const rising = [...places].sort((one, other) => one.level - other.level);
  let left = load;
  let level = 0;
  let width = 0;
  for (const place of rising) {
    const needed = (place.level - level) * width;
    if (needed >= left) {
      break;
    }
    left -= needed;
    level = place.level;
    width += place.width;
  }
  return width > 0 ? level + left / width : 0;
}

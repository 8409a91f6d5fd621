/** Straight lines through measurements, with how far they are off. */

/** One measurement: y at x. */
export interface Point {
  readonly x: number;
  readonly y: number;
}

/** y = intercept + slope * x. */
export interface Fit {
  readonly slope: number;
  readonly intercept: number;
  /** Largest distance of a point from the line, as a part of the largest y. */
  readonly residual: number;
}

/** Least squares. Needs two different x. */
export function fitLine(points: readonly Point[]): Fit {
  const count = points.length;
  const meanX = points.reduce((sum, { x }) => sum + x, 0) / count;
  const meanY = points.reduce((sum, { y }) => sum + y, 0) / count;
  const covariance = points.reduce((sum, { x, y }) => sum + (x - meanX) * (y - meanY), 0);
  const variance = points.reduce((sum, { x }) => sum + (x - meanX) ** 2, 0);
  const slope = covariance / variance;
  const intercept = meanY - slope * meanX;
  const distances = points.map(({ x, y }) => Math.abs(y - intercept - slope * x));
  const largest = Math.max(...points.map(({ y }) => Math.abs(y)));
  return { slope, intercept, residual: Math.max(...distances) / (largest || 1) };
}

/** The line's y at x. */
export function valueAt(fit: Fit, x: number): number {
  return fit.intercept + fit.slope * x;
}

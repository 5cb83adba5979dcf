/** A measured point. */
export interface Point {
  readonly x: number;
  readonly y: number;
}

/** A straight line fitted to points, and its deviation from them. */
export interface LinearFit {
  readonly slope: number;
  readonly intercept: number;
  /** Maximum vertical distance of a point from the line, as a fraction of the range of y. */
  readonly spread: number;
}

/**
 * Fits a straight line by least squares.
 *
 * @param points - at least two points
 * @returns the fitted line
 */
export function fitLine(points: readonly Point[]): LinearFit {
  const count = points.length;
  const meanX = points.reduce((sum, { x }) => sum + x, 0) / count;
  const meanY = points.reduce((sum, { y }) => sum + y, 0) / count;
  const covariance = points.reduce((sum, { x, y }) => sum + (x - meanX) * (y - meanY), 0);
  const variance = points.reduce((sum, { x }) => sum + (x - meanX) ** 2, 0);
  const slope = variance === 0 ? 0 : covariance / variance;
  const intercept = meanY - slope * meanX;
  const ys = points.map(({ y }) => y);
  const range = Math.max(...ys) - Math.min(...ys);
  const maxDeviation = Math.max(...points.map(({ x, y }) => Math.abs(y - intercept - slope * x)));
  return { slope, intercept, spread: range === 0 ? 0 : maxDeviation / range };
}

/**
 * Computes the median; of an even number of values, the upper of the two in the middle.
 *
 * @param values - measured values
 * @returns the median, or 0 if there are no values
 */
export function computeMedian(values: readonly number[]): number {
  const sorted = [...values].sort((left, right) => left - right);
  return sorted[Math.floor(sorted.length / 2)] ?? 0;
}

/** A cost measured several times. */
export interface MeasuredCost {
  readonly median: number;
  /** Maximum distance of a run from the median, as a fraction of the median. */
  readonly spread: number;
}

/**
 * Repeats a measurement.
 *
 * @param runs - number of runs
 * @param measure - returns the cost of one run
 * @returns the median cost and its spread
 */
export function repeatMeasurement(runs: number, measure: () => number): MeasuredCost {
  const values = Array.from({ length: runs }, () => measure());
  const median = computeMedian(values);
  const maxDeviation = Math.max(...values.map((value) => Math.abs(value - median)));
  return { median, spread: median === 0 ? 0 : maxDeviation / median };
}

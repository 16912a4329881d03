/**
Fits a line through points by least squares.
*/

/** `y = intercept + slope · x`; `r2` is the share of the variance that the line explains. */
type Line = {readonly slope: number; readonly intercept: number; readonly r2: number};

type Point = readonly [x: number, y: number];

const computeMean = (values: readonly number[]): number => values.reduce((sum, value) => sum + value, 0) / values.length;

/** Returns undefined if the points have fewer than two different values of x. */
export const fitLine = (points: readonly Point[]): Line | undefined => {
	const meanX = computeMean(points.map(([x]) => x));
	const meanY = computeMean(points.map(([, y]) => y));
	let sumXx = 0;
	let sumXy = 0;
	let sumYy = 0;
	for (const [x, y] of points) {
		sumXx += (x - meanX) ** 2;
		sumXy += (x - meanX) * (y - meanY);
		sumYy += (y - meanY) ** 2;
	}

	if (points.length < 2 || sumXx === 0) {
		return undefined;
	}

	const slope = sumXy / sumXx;
	return {slope, intercept: meanY - (slope * meanX), r2: sumYy === 0 ? 1 : (sumXy ** 2) / (sumXx * sumYy)};
};

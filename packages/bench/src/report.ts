/** One measured value of a benchmark. */
export type Measurement = {
	readonly bench: string;
	readonly value: number;
	readonly unit: string;
	/** The value that the compared policy or configuration reached in the same run. */
	readonly baseline?: number;
	/** Upper bound of the value, or lower bound where `isLowerBound` is set. A measurement without one never fails. */
	readonly bound?: number;
	readonly isLowerBound?: boolean;
};

/** Callback that is called with each measurement as soon as it is available. */
export type ReportMeasurement = (measurement: Measurement) => void;

/** The benchmark of one area. */
export type Benchmark = {
	readonly area: string;
	/** Whether it runs when no area is given on the command line. */
	readonly isDefault: boolean;
	readonly description: string;
	readonly run: (report: ReportMeasurement) => Promise<void>;
};

/** Returns whether a measurement is within its bound. */
export function isWithinBound({value, bound, isLowerBound = false}: Measurement): boolean {
	if (bound === undefined) {
		return true;
	}

	return isLowerBound ? value >= bound : value <= bound;
}

const significantDigits = 4;

/** Formats a measurement as one line: JSON, or plain text for a terminal. */
export function formatMeasurement(measurement: Measurement, isJson: boolean): string {
	const isPassed = isWithinBound(measurement);
	const value = Number(measurement.value.toPrecision(significantDigits));

	if (isJson) {
		return JSON.stringify({
			bench: measurement.bench, value, unit: measurement.unit, baseline: measurement.baseline, bound: measurement.bound, pass: isPassed,
		});
	}

	const baseline = measurement.baseline === undefined ? '' : `, against ${Number(measurement.baseline.toPrecision(significantDigits))}`;
	const bound = measurement.bound === undefined ? '' : `, bound ${measurement.bound}${isPassed ? '' : ' OUT OF BOUNDS'}`;

	return `${measurement.bench.padEnd(56)} ${value} ${measurement.unit}${baseline}${bound}`;
}

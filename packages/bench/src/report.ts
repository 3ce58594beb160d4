/** One figure of a benchmark. */
export type Figure = {
	readonly bench: string;
	readonly value: number;
	readonly unit: string;
	/** The same figure of what it is compared with, from the same run. */
	readonly baseline?: number;
	/** The value must not be above this; or, with `isFloor`, not below it. */
	readonly bound?: number;
	readonly isFloor?: boolean;
};

/** Takes figures as they come. */
export type Report = (figure: Figure) => void;

/** A benchmark of one area. */
export type Benchmark = {
	readonly area: string;
	/** Run when no area is named. */
	readonly isDefault: boolean;
	readonly description: string;
	readonly run: (report: Report) => Promise<void>;
};

/** Tells whether a figure keeps within its bound. */
export function isWithinBound({value, bound, isFloor = false}: Figure): boolean {
	if (bound === undefined) {
		return true;
	}

	return isFloor ? value >= bound : value <= bound;
}

const significantDigits = 4;

/** Formats a figure: one JSON line, or a line for people. */
export function formatFigure(figure: Figure, isJson: boolean): string {
	const isPassed = isWithinBound(figure);
	const value = Number(figure.value.toPrecision(significantDigits));

	if (isJson) {
		return JSON.stringify({
			bench: figure.bench, value, unit: figure.unit, baseline: figure.baseline, bound: figure.bound, pass: isPassed,
		});
	}

	const baseline = figure.baseline === undefined ? '' : `, against ${Number(figure.baseline.toPrecision(significantDigits))}`;
	const bound = figure.bound === undefined ? '' : `, bound ${figure.bound}${isPassed ? '' : ' PAST ITS BOUND'}`;

	return `${figure.bench.padEnd(56)} ${value} ${figure.unit}${baseline}${bound}`;
}

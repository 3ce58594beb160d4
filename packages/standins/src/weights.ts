export type WeightsOptions = {
	readonly initialVersion: string;
	readonly loadDurationMs: number;
	readonly checksFencing: boolean;
	/** Key that a sender of orders must present; `undefined` if none is required. */
	readonly orderKey: string | undefined;
	readonly onLoaded: () => void;
};

export type WeightOrder = {
	readonly weightVersion: string;
	readonly fencingNumber: number;
	readonly key: string | undefined;
};

/** The weights that a simulated engine serves, and the handling of orders to load others. */
export type Weights = {
	readonly getVersion: () => string;
	/** Accepts or rejects an order to load weights; returns the HTTP status of the response. */
	readonly order: (order: WeightOrder) => number;
};

/** Creates the weights. While new weights load, the engine serves the old ones; a later order supersedes a load in progress. */
export function createWeights({initialVersion, loadDurationMs, checksFencing, orderKey, onLoaded}: WeightsOptions): Weights {
	let version = initialVersion;
	let highestFencingNumber = 0;
	let latestOrderNumber = 0;

	return {
		getVersion: () => version,
		order({weightVersion, fencingNumber, key}) {
			if (orderKey !== undefined && key !== orderKey) {
				return 403;
			}

			if (checksFencing && fencingNumber <= highestFencingNumber) {
				return 409;
			}

			highestFencingNumber = Math.max(highestFencingNumber, fencingNumber);
			latestOrderNumber++;
			const orderNumber = latestOrderNumber;
			setTimeout(() => {
				if (orderNumber === latestOrderNumber) {
					version = weightVersion;
					onLoaded();
				}
			}, loadDurationMs);

			return 202;
		},
	};
}

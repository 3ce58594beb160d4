export type WeightsOptions = {
	readonly initialVersion: string;
	readonly loadMs: number;
	readonly checksFencing: boolean;
	/** Key that a giver must show; absent where anyone may order. */
	readonly orderKey: string | undefined;
	readonly onLoaded: () => void;
};

export type WeightOrder = {
	readonly weightVersion: string;
	readonly fencingNumber: number;
	readonly key: string | undefined;
};

/** The weights of an engine stand-in and the orders it takes. */
export type Weights = {
	readonly getVersion: () => string;
	/** Returns the HTTP status of the answer. */
	readonly order: (order: WeightOrder) => number;
};

/** Creates the weights. Loading takes a while, during which the old version serves on. */
export function createWeights({initialVersion, loadMs, checksFencing, orderKey, onLoaded}: WeightsOptions): Weights {
	let version = initialVersion;
	let highestNumber = 0;
	let latestOrder = 0;

	return {
		getVersion: () => version,
		order({weightVersion, fencingNumber, key}) {
			if (orderKey !== undefined && key !== orderKey) {
				return 403;
			}

			if (checksFencing && fencingNumber <= highestNumber) {
				return 409;
			}

			highestNumber = Math.max(highestNumber, fencingNumber);
			latestOrder++;
			const current = latestOrder;
			setTimeout(() => {
				if (current === latestOrder) {
					version = weightVersion;
					onLoaded();
				}
			}, loadMs);

			return 202;
		},
	};
}

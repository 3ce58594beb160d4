/** Retries that may be made: a share of what has succeeded, so that they never amplify an overload. */
export type RetryBudget = {
	readonly balance: number;
	readonly capacity: number;
	/** What one success adds. */
	readonly sharePerSuccess: number;
};

const defaultCapacity = 20;
const defaultShare = 0.1;

/**
Creates a budget with its whole capacity to begin with.

@example
```
const budget = createRetryBudget({sharePerSuccess: 0.1});
```
*/
export function createRetryBudget({capacity = defaultCapacity, sharePerSuccess = defaultShare}: Partial<RetryBudget> = {}): RetryBudget {
	return {balance: capacity, capacity, sharePerSuccess};
}

/** Adds a success. */
export function depositSuccess(budget: RetryBudget): RetryBudget {
	return {...budget, balance: Math.min(budget.capacity, budget.balance + budget.sharePerSuccess)};
}

/** Takes one retry, if there is one. */
export function withdrawRetry(budget: RetryBudget): {readonly budget: RetryBudget; readonly isAllowed: boolean} {
	return budget.balance < 1 ? {budget, isAllowed: false} : {budget: {...budget, balance: budget.balance - 1}, isAllowed: true};
}

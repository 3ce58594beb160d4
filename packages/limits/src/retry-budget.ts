/** Budget that limits retries to a share of successful requests, so that retries cannot amplify an overload. */
export type RetryBudget = {
	readonly balance: number;
	readonly capacity: number;
	/** Amount that each success adds to the balance. */
	readonly sharePerSuccess: number;
};

const defaultCapacity = 20;
const defaultShare = 0.1;

/**
Creates a budget that starts at full capacity.

@example
```
const budget = createRetryBudget({sharePerSuccess: 0.1});
```
*/
export function createRetryBudget({capacity = defaultCapacity, sharePerSuccess = defaultShare}: Partial<RetryBudget> = {}): RetryBudget {
	return {balance: capacity, capacity, sharePerSuccess};
}

/** Records a successful request. */
export function depositSuccess(budget: RetryBudget): RetryBudget {
	return {...budget, balance: Math.min(budget.capacity, budget.balance + budget.sharePerSuccess)};
}

/** Whether the balance allows a retry. */
export function hasRetry({balance}: RetryBudget): boolean {
	return balance >= 1;
}

/** Takes one retry from the budget if the balance allows it. */
export function withdrawRetry(budget: RetryBudget): {readonly budget: RetryBudget; readonly isAllowed: boolean} {
	return hasRetry(budget) ? {budget: {...budget, balance: budget.balance - 1}, isAllowed: true} : {budget, isAllowed: false};
}

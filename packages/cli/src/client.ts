import {createTRPCClient, httpLink, TRPCClientError} from '@trpc/client';
import {type OperatorRouter} from '@fescuestair/control';
import {BaseError} from '@fescuestair/core';

export type ClientOptions = {
	/** Operator addresses of control replicas, tried in this order. */
	readonly addresses: readonly string[];
	readonly key: string;
};

type Client = ReturnType<typeof createTRPCClient<OperatorRouter>>;

/**
Calls the control replicas in turn until one answers. An error in an answer is thrown at once; only an unreachable replica is
skipped.

@example
```
const status = await callControl(options, async client => client.status.query());
```
*/
export async function callControl<Result>(options: ClientOptions, call: (client: Client) => Promise<Result>): Promise<Result> {
	const failures: string[] = [];

	for (const address of options.addresses) {
		const client = createTRPCClient<OperatorRouter>({
			links: [httpLink({url: `http://${address}`, headers: {authorization: `Bearer ${options.key}`}})],
		});

		try {
			return await call(client);
		} catch (error) {
			if (!(error instanceof TRPCClientError) || error.data) {
				throw error;
			}

			failures.push(`${address}: ${error.message}`);
		}
	}

	throw new BaseError('unreachable', `no control replica answered:\n${failures.join('\n')}`);
}

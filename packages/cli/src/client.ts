import {createTRPCClient, httpLink, TRPCClientError} from '@trpc/client';
import {type OperatorRouter} from '@fescuestair/control';
import {BaseError} from '@fescuestair/core';

export type ClientOptions = {
	/** Operator listeners, tried in order. */
	readonly addresses: readonly string[];
	readonly key: string;
};

type Client = ReturnType<typeof createTRPCClient<OperatorRouter>>;

/**
Calls the first control replica that answers. An answer with an error ends the search; a replica that cannot be reached
does not.

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

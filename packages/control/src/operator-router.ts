import {initTRPC, TRPCError} from '@trpc/server';
import {z} from 'zod';
import {BaseError} from '@fescuestair/core';
import {type RequestHistory} from '@fescuestair/protocol';
import {
	type CommandResponse, CommandKind, CommandResponseKind, findInvalidItems, itemSchemas, type ConfigItem, type HistoryEntry, type CommandRequest,
} from '@fescuestair/state';
import {type InstanceRow, type StatusReport} from './reports.js';

/** Operations of the replica that the procedures call. */
export type OperatorBackend = {
	readonly getStatus: () => StatusReport;
	readonly listInstances: () => readonly InstanceRow[];
	readonly getConfig: () => {readonly version: number; readonly inForce: string | undefined; readonly items: readonly ConfigItem[]};
	readonly getHistory: () => readonly HistoryEntry[];
	readonly propose: (request: CommandRequest) => Promise<CommandResponse>;
	readonly traceRequest: (requestId: string) => Promise<RequestHistory | undefined>;
	readonly initialize: () => Promise<void>;
	readonly addReplica: (name: string, replacesName?: string) => Promise<void>;
	readonly removeReplica: (name: string) => Promise<void>;
};

/** `actor` is the owner of the operator key that the request carried. */
export type OperatorContext = {readonly actor: string};

const {router, procedure} = initTRPC.context<OperatorContext>().create();
const itemSchema = z.union(Object.values(itemSchemas));
const changeSchema = z.object({
	changeId: z.string().min(8).max(100),
	expectedVersion: z.number().int().nonnegative(),
	upserts: z.array(z.tuple([z.string(), itemSchema])).max(10_000),
	removals: z.array(z.string()).max(10_000),
	presetInForce: z.string().optional(),
	summary: z.string().max(2000),
});

async function runProcedure<Result>(call: () => Promise<Result>): Promise<Result> {
	try {
		return await call();
	} catch (error) {
		throw new TRPCError({code: 'PRECONDITION_FAILED', message: error instanceof BaseError ? error.message : 'internal error', cause: error});
	}
}

/**
Creates the tRPC procedures for operators.

@example
```
createHTTPHandler({router: createOperatorRouter(backend), createContext: () => ({actor})});
```
*/
export function createOperatorRouter(backend: OperatorBackend) {
	return router({
		status: procedure.query(() => backend.getStatus()),
		instances: procedure.query(() => backend.listInstances()),
		config: procedure.query(() => backend.getConfig()),
		history: procedure.query(() => backend.getHistory()),
		trace: procedure.input(z.object({requestId: z.string().max(100)})).query(async ({input}) => runProcedure(async () => backend.traceRequest(input.requestId))),
		change: procedure.input(changeSchema).mutation(async ({input, ctx}) => runProcedure(async () => {
			const {version, items} = backend.getConfig();
			// A change of another version is refused by the group, or was accepted before.
			const reason = input.expectedVersion === version ? findInvalidItems(items, input) : undefined;

			return reason === undefined ? backend.propose({kind: CommandKind.ChangeConfig, ...input, actor: ctx.actor}) : {kind: CommandResponseKind.Invalid, reason};
		})),
		initialize: procedure.mutation(async () => runProcedure(backend.initialize)),
		addReplica: procedure.input(z.object({name: z.string(), replacesName: z.string().optional()}))
			.mutation(async ({input}) => runProcedure(async () => backend.addReplica(input.name, input.replacesName))),
		removeReplica: procedure.input(z.object({name: z.string()})).mutation(async ({input}) => runProcedure(async () => backend.removeReplica(input.name))),
	});
}

export type OperatorRouter = ReturnType<typeof createOperatorRouter>;

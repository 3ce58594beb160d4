import {
	isHelloReply, type GreetingRole, type Hello, type HelloReply, type HomeList, type NewsCursor,
} from '@fescuestair/instances';
import {
	callChecked, LinkKind, requireChecked, type LinkCaller,
} from '@fescuestair/protocol';

export type GreeterOptions = {
	readonly links: LinkCaller;
	readonly timeoutMs: number;
	readonly getHello: () => Pick<Hello, 'card' | 'publishedRevision' | 'configVersion'>;
	readonly onReply: (address: string, reply: HelloReply) => void;
	readonly onLost: (address: string, error: unknown) => void;
};

export type Greeting = {
	readonly greeting: GreetingRole;
	readonly wantsNews?: boolean;
	readonly wantsFleet?: boolean;
	readonly homes?: HomeList;
};

/** Tells coordinators of a daemon, and asks them for what it lacks. */
export type Greeter = {
	readonly greet: (address: string, greeting: Greeting) => void;
	/** Whether a hello to an address has no answer yet. */
	readonly isAwaiting: (address: string) => boolean;
};

/**
Creates the greeter of a daemon.

@example
```
const greeter = createGreeter({links, timeoutMs: 1500, getHello, onReply, onLost});
greeter.greet('10.0.0.1:7200', {greeting: GreetingRole.Visitor, wantsNews: true});
```
*/
export function createGreeter({links, timeoutMs, getHello, onReply, onLost}: GreeterOptions): Greeter {
	const cursors = new Map<string, NewsCursor>();
	const awaiting = new Map<string, number>();

	const call = async (address: string, {greeting, wantsNews = true, wantsFleet = false, homes}: Greeting) => {
		const hello: Hello = {
			...getHello(), greeting, wantsFleet, newsAfter: wantsNews ? cursors.get(address) ?? {bootId: undefined, revision: 0} : undefined,
			...(homes !== undefined && {homes}),
		};
		awaiting.set(address, (awaiting.get(address) ?? 0) + 1);

		try {
			const answer = await callChecked(links, {address, message: {kind: LinkKind.Hello, hello}, timeoutMs});

			if (answer.kind !== 'hello') {
				return;
			}

			const reply = requireChecked(answer.reply, isHelloReply, address);
			onReply(address, reply);

			if (reply.news !== undefined) {
				cursors.set(address, reply.news.cursor);
			}
		} catch (error) {
			onLost(address, error);
		} finally {
			awaiting.set(address, awaiting.get(address)! - 1);
		}
	};

	return {
		greet(address, greeting) {
			void call(address, greeting);
		},
		isAwaiting: address => (awaiting.get(address) ?? 0) > 0,
	};
}

import {
	pickNewsSources, type Hello, type HelloReply, type NewsCursor,
} from '@fescuestair/instances';
import {LinkKind, type LinkMessage, type LinkReply} from '@fescuestair/protocol';
import {type Links} from '@fescuestair/transport';

export type GreeterOptions = {
	readonly links: Pick<Links, 'call'>;
	readonly timeoutMs: number;
	readonly getHello: () => Omit<Hello, 'newsAfter'>;
	readonly onReply: (address: string, reply: HelloReply) => void;
	readonly onLost: (address: string, error: unknown) => void;
};

/** Tells coordinators of a daemon, and asks them in turns for what it lacks. */
export type Greeter = {
	/** Says hello to all of them; where the daemon knows nothing yet, all are asked for news: the first that knows is the best. */
	readonly greetAll: (addresses: readonly string[], options: {readonly knowsNothing: boolean}) => void;
};

/**
Creates the greeter of a daemon.

@example
```
const greeter = createGreeter({links, timeoutMs: 1500, getHello, onReply, onLost});
greeter.greetAll(['10.0.0.1:7200'], {knowsNothing: true});
```
*/
export function createGreeter({links, timeoutMs, getHello, onReply, onLost}: GreeterOptions): Greeter {
	const cursors = new Map<string, NewsCursor>();
	let round = 0;

	const greet = async (address: string, isSource: boolean) => {
		const hello: Hello = {
			...getHello(), newsAfter: isSource ? cursors.get(address) ?? {bootId: undefined, revision: 0} : undefined,
		};

		try {
			const answer = await links.call(address, {kind: LinkKind.Hello, hello} satisfies LinkMessage, timeoutMs) as LinkReply;

			if (answer.kind !== 'hello') {
				return;
			}

			const reply = answer.reply as HelloReply;
			onReply(address, reply);

			if (reply.news !== undefined) {
				cursors.set(address, reply.news.cursor);
			}
		} catch (error) {
			onLost(address, error);
		}
	};

	return {
		greetAll(addresses, {knowsNothing}) {
			const sources = pickNewsSources(addresses, round++);

			for (const address of addresses) {
				void greet(address, knowsNothing || sources.has(address));
			}
		},
	};
}

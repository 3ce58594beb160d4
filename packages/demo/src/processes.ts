import {spawn, type ChildProcess as NodeChildProcess} from 'node:child_process';
import {once} from 'node:events';
import process from 'node:process';

/** A process of the system, started by a script. */
export type ChildProcess = {
	readonly pid: number;
	/** What it has printed so far. */
	readonly readOutput: () => string;
	readonly kill: (signal: NodeJS.Signals) => void;
	/** Resolves with the exit code; `undefined` where a signal ended it. */
	readonly waitForExit: () => Promise<number | undefined>;
	readonly isRunning: () => boolean;
};

/** Starts a built program with Node. */
export function startProcess(file: string, flags: readonly string[], environment: Readonly<Record<string, string>> = {}): ChildProcess {
	const child: NodeChildProcess = spawn(process.execPath, [file, ...flags], {
		env: {...process.env, ...environment}, stdio: ['ignore', 'pipe', 'pipe'],
	});
	const exit = once(child, 'exit');
	let output = '';

	const collect = (text: string) => {
		output += text;
	};

	child.stdout?.setEncoding('utf8').on('data', collect);
	child.stderr?.setEncoding('utf8').on('data', collect);

	return {
		pid: child.pid!,
		readOutput: () => output,
		kill(signal) {
			child.kill(signal);
		},
		async waitForExit() {
			const [code] = await exit as [number | undefined];

			return code ?? undefined;
		},
		isRunning: () => child.exitCode === null && child.signalCode === null,
	};
}

import {spawn, type ChildProcess as NodeChildProcess} from 'node:child_process';
import {once} from 'node:events';
import process from 'node:process';

/** A child process that runs a built program. */
export type ChildProcess = {
	readonly pid: number;
	/** Returns all that the process has written to stdout and stderr so far. */
	readonly readOutput: () => string;
	readonly kill: (signal: NodeJS.Signals) => void;
	/** Resolves with the exit code, or `undefined` if a signal ended the process. */
	readonly waitForExit: () => Promise<number | undefined>;
	readonly isRunning: () => boolean;
};

/** Starts a built program with Node.js and collects its output. */
export function startProcess(file: string, commandArguments: readonly string[], environment: Readonly<Record<string, string>> = {}): ChildProcess {
	const child: NodeChildProcess = spawn(process.execPath, [file, ...commandArguments], {
		env: {...process.env, ...environment}, stdio: ['ignore', 'pipe', 'pipe'],
	});
	const exit = once(child, 'exit');
	let output = '';

	const appendOutput = (text: string) => {
		output += text;
	};

	child.stdout?.setEncoding('utf8').on('data', appendOutput);
	child.stderr?.setEncoding('utf8').on('data', appendOutput);

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

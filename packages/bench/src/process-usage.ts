import fs from 'node:fs/promises';

/** Processor time since the start of a process, and its resident memory. */
export type ProcessUsage = {readonly cpuSeconds: number; readonly residentBytes: number};

const ticksPerSecond = 100;
const pageBytes = 4096;

/** Reads the processor time and resident memory of a process from `/proc`. */
export async function readProcessUsage(pid: number): Promise<ProcessUsage> {
	const text = await fs.readFile(`/proc/${pid}/stat`, 'utf8');
	// The command name in parentheses may contain spaces, so fields are split after it; the first of them is field 3 of proc(5).
	const fields = text.slice(text.lastIndexOf(')') + 2).split(' ');

	return {cpuSeconds: (Number(fields[11]) + Number(fields[12])) / ticksPerSecond, residentBytes: Number(fields[21]) * pageBytes};
}

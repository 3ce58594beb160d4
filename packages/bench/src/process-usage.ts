import fs from 'node:fs/promises';

/** What a process has used so far. */
export type ProcessUsage = {readonly cpuSeconds: number; readonly residentBytes: number};

const ticksPerSecond = 100;
const pageBytes = 4096;

/** Reads the processor time and memory of a process from the operating system. */
export async function readProcessUsage(pid: number): Promise<ProcessUsage> {
	const text = await fs.readFile(`/proc/${pid}/stat`, 'utf8');
	// The name in parentheses may hold spaces; the fields after it are counted from 3.
	const fields = text.slice(text.lastIndexOf(')') + 2).split(' ');

	return {cpuSeconds: (Number(fields[11]) + Number(fields[12])) / ticksPerSecond, residentBytes: Number(fields[21]) * pageBytes};
}

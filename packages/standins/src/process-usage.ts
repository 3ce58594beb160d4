import fs from 'node:fs/promises';

const kibibytesPerMegabyte = 1000 / 1.024;

/** Reads the most memory that a process has had resident since its start. */
export async function readPeakMegabytes(pid: number): Promise<number> {
	const status = await fs.readFile(`/proc/${pid}/status`, 'utf8');

	return Number(/^VmHWM:\s+(?<size>\d+) kB$/mv.exec(status)!.groups!.size) / kibibytesPerMegabyte;
}

/** Counts the descriptors that a process has open. */
export async function countDescriptors(pid: number): Promise<number> {
	const descriptors = await fs.readdir(`/proc/${pid}/fd`);

	return descriptors.length;
}

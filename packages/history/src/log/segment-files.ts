/**
Names of the segment files in a data folder.
*/
import {readdir} from 'node:fs/promises';
import path from 'node:path';

const SEGMENT_PATTERN = /^history-(\d{8})\.log$/v;
const SEGMENT_DIGITS = 8;

/** File names by segment number. */
export const segmentFiles = {
	pathOf: (folder: string, segment: number): string => path.join(folder, `history-${String(segment).padStart(SEGMENT_DIGITS, '0')}.log`),
	/** Numbers of the segments that exist, oldest first. */
	async list(folder: string): Promise<number[]> {
		const names = await readdir(folder);
		return names
			.map(name => Number(SEGMENT_PATTERN.exec(name)?.[1] ?? Number.NaN))
			.filter(segment => !Number.isNaN(segment))
			.toSorted((a, b) => a - b);
	},
};

/**
Maps segment numbers to file names in a data folder.
*/
import {readdir} from 'node:fs/promises';
import path from 'node:path';

const SEGMENT_PATTERN = /^history-(\d{8})\.log$/v;
const SEGMENT_DIGITS = 8;

/** Builds paths of segment files and lists the segments of a folder. */
export const segmentFiles = {
	getPath: (folder: string, segment: number): string => path.join(folder, `history-${String(segment).padStart(SEGMENT_DIGITS, '0')}.log`),
	/** Returns the numbers of the existing segments, oldest first. */
	async list(folder: string): Promise<number[]> {
		const names = await readdir(folder);
		return names
			.map(name => Number(SEGMENT_PATTERN.exec(name)?.[1] ?? Number.NaN))
			.filter(segment => !Number.isNaN(segment))
			.toSorted((a, b) => a - b);
	},
};

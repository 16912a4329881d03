/**
Reads the id of a disk, or generates it when its folder is used for the first
time.
*/
import {randomUUID} from 'node:crypto';
import {open, readFile, rename} from 'node:fs/promises';
import path from 'node:path';
import {syncFolder} from '@siskinhub/history/log/sync-folder.js';

const DISK_ID_FILE = 'disk-id';

const isNotFoundError = (error: unknown): boolean => (error as NodeJS.ErrnoException).code === 'ENOENT';

/** Returns an empty string if the file does not exist. */
const readIfExists = async (file: string): Promise<string> => {
	try {
		return await readFile(file, 'utf8');
	} catch (error) {
		if (isNotFoundError(error)) {
			return '';
		}

		throw error;
	}
};

/** The id is synced to the disk before anything else is written, so a folder without an id is an empty disk. Rejects if the disk fails. */
export const readDiskId = async (folder: string): Promise<{readonly diskId: string; readonly isNew: boolean}> => {
	const file = path.join(folder, DISK_ID_FILE);
	const existing = await readIfExists(file);
	if (existing !== '') {
		return {diskId: existing, isNew: false};
	}

	const diskId = randomUUID();
	const temporary = `${file}.new`;
	const handle = await open(temporary, 'w');
	try {
		await handle.writeFile(diskId);
		await handle.sync();
	} finally {
		await handle.close();
	}

	await rename(temporary, file);
	await syncFolder(folder);
	return {diskId, isNew: true};
};

/**
Makes the creation and removal of files in a folder durable.
*/
import {open} from 'node:fs/promises';

/** Calls fsync on the folder itself, because fsync on a file does not cover its directory entry. */
export const syncFolder = async (folder: string): Promise<void> => {
	const handle = await open(folder, 'r');
	try {
		await handle.sync();
	} finally {
		await handle.close();
	}
};

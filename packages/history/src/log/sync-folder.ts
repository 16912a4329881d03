/**
Makes created and removed file names last.
*/
import {open} from 'node:fs/promises';

/** Fsyncs the folder itself. */
export const syncFolder = async (folder: string): Promise<void> => {
	const handle = await open(folder, 'r');
	try {
		await handle.sync();
	} finally {
		await handle.close();
	}
};

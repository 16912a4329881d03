/**
Makes the next slot of a log free to be written.
*/
import type {PlatformClient} from '../platform-client.js';
import {createBackoff} from './create-backoff.js';
import type {LogLayout} from './log-layout.js';
import type {LogView} from './log-view.js';
import {writeSnapshot} from './write-snapshot.js';

type RoomRequest = {
	readonly client: PlatformClient;
	readonly layout: LogLayout;
	readonly view: LogView<never, unknown>;
	/** Whether nobody waits for the slot any more. */
	readonly isAbandoned: () => boolean;
};

/** Writes the snapshot until it contains the slot's present entry; returns whether it does. */
export const makeRoom = async ({client, layout, view, isAbandoned}: RoomRequest): Promise<boolean> => {
	const wait = createBackoff();
	while (view.needsSnapshot() && !isAbandoned()) {
		await writeSnapshot({client, layout, view});
		if (view.needsSnapshot()) {
			await wait();
		}
	}

	return !view.needsSnapshot();
};

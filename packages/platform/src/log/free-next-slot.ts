/**
Ensures that the next slot of a log can be overwritten, which is safe once the
snapshot contains the entry that the slot holds.
*/
import type {PlatformClient} from '../platform-client.js';
import {createBackoff} from './create-backoff.js';
import type {LogLayout} from './log-layout.js';
import type {LogView} from './log-view.js';
import {writeSnapshot} from './write-snapshot.js';

type FreeSlotRequest = {
	readonly client: PlatformClient;
	readonly layout: LogLayout;
	readonly view: LogView<never, unknown>;
	/** Whether no append needs the slot any longer. */
	readonly isAbandoned: () => boolean;
};

/** Tries to write the snapshot, with backoff, until it contains the slot's current entry or the attempt is abandoned; returns whether it contains it. */
export const freeNextSlot = async ({client, layout, view, isAbandoned}: FreeSlotRequest): Promise<boolean> => {
	const waitBeforeRetry = createBackoff();
	while (view.needsSnapshot() && !isAbandoned()) {
		await writeSnapshot({client, layout, view});
		if (view.needsSnapshot()) {
			await waitBeforeRetry();
		}
	}

	return !view.needsSnapshot();
};

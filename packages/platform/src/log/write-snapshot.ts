/**
Stores a log's state as its snapshot, so that the slots of the entries that it
contains may be overwritten.
*/
import {Buffer} from 'node:buffer';
import type {PlatformClient} from '../platform-client.js';
import type {LogLayout} from './log-layout.js';
import type {LogView} from './log-view.js';
import {parseSnapshot} from './parse-snapshot.js';

type SnapshotRequest = {
	readonly client: PlatformClient;
	readonly layout: LogLayout;
	readonly view: LogView<never, unknown>;
};

/** Makes one attempt and returns the length of the snapshot's record as UTF-8 JSON, in bytes. Whether it succeeded shows in `view.snapshot()`. */
export const writeSnapshot = async ({client, layout, view}: SnapshotRequest): Promise<number> => {
	const through = view.index();
	const value = JSON.stringify({through, state: view.state()});
	const answer = await client.put({key: layout.snapshotKey, value, expectedVersion: view.snapshot().version});
	const outcome = answer.unwrapOr(undefined);
	if (outcome?.kind === 'stored') {
		view.setSnapshot({through, version: outcome.version});
	} else if (outcome?.current) {
		// Another writer's snapshot, or ours if the response to an earlier attempt was lost.
		const stored = parseSnapshot(outcome.current.value);
		if (stored) {
			view.setSnapshot({through: stored.through, version: outcome.current.version});
		}
	}

	return Buffer.byteLength(value);
};

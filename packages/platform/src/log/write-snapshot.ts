/**
Stores a log's state, so that the slots of the entries it contains may be
written again.
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

/** Tries once and returns the length of the state as JSON in UTF-8; what the view knows of the stored snapshot tells whether it succeeded. */
export const writeSnapshot = async ({client, layout, view}: SnapshotRequest): Promise<number> => {
	const through = view.index();
	const value = JSON.stringify({through, state: view.state()});
	const answer = await client.put({key: layout.snapshotKey, value, expectedVersion: view.snapshot().version});
	const outcome = answer.unwrapOr(undefined);
	if (outcome?.kind === 'stored') {
		view.noteSnapshot({through, version: outcome.version});
	} else if (outcome?.current) {
		// Another writer's snapshot, or ours whose answer was lost.
		const stored = parseSnapshot(outcome.current.value);
		if (stored) {
			view.noteSnapshot({through: stored.through, version: outcome.current.version});
		}
	}

	return Buffer.byteLength(value);
};

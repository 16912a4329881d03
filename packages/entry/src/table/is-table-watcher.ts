/**
Chooses the entries that watch the table's log.
*/
import type {PlatformHost} from '@siskinhub/platform/platform-host.js';

const WATCHERS_PER_DATA_CENTRE = 2;

/** True for the first few live entries of each data centre, by id; the others learn from neighbours. */
export const isTableWatcher = (host: string, dataCentre: string, entries: readonly PlatformHost[]): boolean => {
	const local = entries
		.filter(entry => entry.dataCentre === dataCentre && entry.state === 'live')
		.map(entry => entry.id)
		.toSorted();
	const place = local.indexOf(host);
	// An entry that the lagging list does not name yet watches for itself.
	return place === -1 || place < WATCHERS_PER_DATA_CENTRE;
};

/**
Chooses the entries that watch the table's log on the platform; the others
receive changes from their neighbours.
*/
import type {PlatformHost} from '@siskinhub/platform/platform-host.js';

const WATCHERS_PER_DATA_CENTRE = 2;

/** True for the first `WATCHERS_PER_DATA_CENTRE` live entries of each data centre, by id. */
export const isTableWatcher = (host: string, dataCentre: string, entries: readonly PlatformHost[]): boolean => {
	const local = entries
		.filter(entry => entry.dataCentre === dataCentre && entry.state === 'live')
		.map(entry => entry.id)
		.toSorted();
	const position = local.indexOf(host);
	// The host list lags, so an entry that is not in it yet watches the log itself.
	return position === -1 || position < WATCHERS_PER_DATA_CENTRE;
};

/**
Chooses the entries to which an entry keeps a link in any case, so that it
learns of table changes also while the platform's service is out of its reach.
*/
import type {PlatformHost} from '@siskinhub/platform/platform-host.js';

const LOCAL_NEIGHBOURS = 2;
const REMOTE_NEIGHBOURS = 1;

/** The next entries after this one, by id and round the end: two of its data centre and one of another. */
export const chooseNeighbours = (host: string, dataCentre: string, entries: readonly PlatformHost[]): readonly PlatformHost[] => {
	const others = entries.filter(entry => entry.id !== host && entry.state === 'live').toSorted((a, b) => a.id < b.id ? -1 : 1);
	const next = [...others.filter(entry => entry.id > host), ...others.filter(entry => entry.id < host)];
	return [
		...next.filter(entry => entry.dataCentre === dataCentre).slice(0, LOCAL_NEIGHBOURS),
		...next.filter(entry => entry.dataCentre !== dataCentre).slice(0, REMOTE_NEIGHBOURS),
	];
};

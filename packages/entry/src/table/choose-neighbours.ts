/**
Chooses the entries to which an entry always keeps a link, so that it learns of
table changes even while it cannot reach the platform's service.
*/
import type {PlatformHost} from '@siskinhub/platform/platform-host.js';

const LOCAL_NEIGHBOURS = 2;
const REMOTE_NEIGHBOURS = 1;

/** Returns the live entries that follow this one in a ring ordered by id: two of its own data centre and one of another. */
export const chooseNeighbours = (host: string, dataCentre: string, entries: readonly PlatformHost[]): readonly PlatformHost[] => {
	const others = entries.filter(entry => entry.id !== host && entry.state === 'live').toSorted((a, b) => a.id < b.id ? -1 : 1);
	const next = [...others.filter(entry => entry.id > host), ...others.filter(entry => entry.id < host)];
	return [
		...next.filter(entry => entry.dataCentre === dataCentre).slice(0, LOCAL_NEIGHBOURS),
		...next.filter(entry => entry.dataCentre !== dataCentre).slice(0, REMOTE_NEIGHBOURS),
	];
};

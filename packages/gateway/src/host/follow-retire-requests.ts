/**
Collects the hosts that operators have asked to be emptied of copies.
*/
import type {DeclaredView} from '@siskinhub/declared/declared-view.js';
import type {DeclaredKeys} from './declared-keys.js';

/** The returned set follows the view. Call it before the view's first change. */
export const followRetireRequests = (view: DeclaredView, keys: Pick<DeclaredKeys, 'decodeRetireRequest'>): ReadonlySet<string> => {
	const retiring = new Set<string>();
	view.onChange(({key, value}) => {
		const host = keys.decodeRetireRequest(key);
		if (host === undefined) {
			return;
		}

		if (value === undefined) {
			retiring.delete(host);
		} else {
			retiring.add(host);
		}
	});
	return retiring;
};

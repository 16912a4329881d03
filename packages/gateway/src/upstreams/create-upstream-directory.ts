/**
Keeps the list of upstreams by service.

Reports may come late or out of order, so within one start the higher sequence
counts and a leaving upstream stays leaving. Entries that lapsed while the list
could not be written come back shortly after: until `graceUntil` a removal is
held back.
*/
import type {Upstream} from './upstream.js';
import type {UpstreamDirectory} from './upstream-directory.js';

type DirectoryOptions = {
	/** Until when removals are held back, by the runtime's clock; 0 while they count at once. */
	readonly graceUntil: () => number;
};

const isOlder = (next: Upstream, known: Upstream): boolean =>
	next.bornAtMs < known.bornAtMs || (next.bornAtMs === known.bornAtMs && next.sequence < known.sequence);

/** Creates an empty directory. */
export const createUpstreamDirectory = ({graceUntil}: DirectoryOptions): UpstreamDirectory => {
	const byId = new Map<string, Upstream>();
	const byService = new Map<string, Upstream[]>();
	const pendingRemovals = new Map<string, NodeJS.Timeout>();
	const listeners: Array<(upstream: Upstream) => void> = [];

	const refreshService = (service: string): void => {
		byService.set(service, [...byId.values()].filter(upstream => upstream.service === service && !upstream.isLeaving));
	};

	const removeNow = (id: string): void => {
		pendingRemovals.delete(id);
		const known = byId.get(id);
		if (!known) {
			return;
		}

		byId.delete(id);
		refreshService(known.service);
		for (const listener of listeners) {
			listener(known);
		}
	};

	return {
		update(next) {
			clearTimeout(pendingRemovals.get(next.id));
			pendingRemovals.delete(next.id);
			const known = byId.get(next.id);
			if (known && isOlder(next, known)) {
				return;
			}

			const isSameStart = known?.bornAtMs === next.bornAtMs;
			byId.set(next.id, isSameStart && known.isLeaving ? {...next, isLeaving: true} : next);
			if (known && known.service !== next.service) {
				refreshService(known.service);
			}

			refreshService(next.service);
		},
		remove(id) {
			const waitMs = graceUntil() - Date.now();
			if (waitMs <= 0 || byId.get(id)?.isLeaving) {
				removeNow(id);
			} else if (!pendingRemovals.has(id)) {
				pendingRemovals.set(id, setTimeout(removeNow, waitMs, id).unref());
			}
		},
		list: service => byService.get(service) ?? [],
		get: id => byId.get(id),
		onGone(listener) {
			listeners.push(listener);
		},
	};
};

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

const isOlder = (next: Upstream, held: Upstream): boolean =>
	next.bornAtMs < held.bornAtMs || (next.bornAtMs === held.bornAtMs && next.sequence < held.sequence);

/** Creates an empty directory. */
export const createUpstreamDirectory = ({graceUntil}: DirectoryOptions): UpstreamDirectory => {
	const byId = new Map<string, Upstream>();
	const byService = new Map<string, Upstream[]>();
	const removals = new Map<string, NodeJS.Timeout>();
	const listeners: Array<(upstream: Upstream) => void> = [];

	const refresh = (service: string): void => {
		byService.set(service, [...byId.values()].filter(upstream => upstream.service === service && !upstream.isLeaving));
	};

	const drop = (id: string): void => {
		removals.delete(id);
		const held = byId.get(id);
		if (!held) {
			return;
		}

		byId.delete(id);
		refresh(held.service);
		for (const listener of listeners) {
			listener(held);
		}
	};

	return {
		update(next) {
			clearTimeout(removals.get(next.id));
			removals.delete(next.id);
			const held = byId.get(next.id);
			if (held && isOlder(next, held)) {
				return;
			}

			const isSameStart = held?.bornAtMs === next.bornAtMs;
			byId.set(next.id, isSameStart && held.isLeaving ? {...next, isLeaving: true} : next);
			if (held && held.service !== next.service) {
				refresh(held.service);
			}

			refresh(next.service);
		},
		remove(id) {
			const waitMs = graceUntil() - Date.now();
			if (waitMs <= 0 || byId.get(id)?.isLeaving) {
				drop(id);
			} else if (!removals.has(id)) {
				removals.set(id, setTimeout(drop, waitMs, id).unref());
			}
		},
		list: service => byService.get(service) ?? [],
		get: id => byId.get(id),
		onGone(listener) {
			listeners.push(listener);
		},
	};
};

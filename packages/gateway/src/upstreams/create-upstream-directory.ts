/**
Keeps the list of upstreams by service.

Reports may arrive late or out of order. So, within one start of an upstream, the
report with the higher sequence wins, and an upstream that is leaving stays so, also
if it only said so in an answer and its entry lapses and comes back.
Entries that expired while the list of upstreams could not be written return
shortly after the outage, so removals are delayed until `graceUntil`.
*/
import {identifyStart} from './identify-start.js';
import type {Upstream} from './upstream.js';
import type {UpstreamDirectory} from './upstream-directory.js';

/** Starts that said that they are leaving; beyond this the earliest are forgotten, which have long ended. */
const MAX_LEAVING_STARTS = 10_000;

type DirectoryOptions = {
	/** Wall-clock time in milliseconds until which removals are delayed; 0 if they take effect at once. */
	readonly graceUntil: () => number;
};

const isOlder = (next: Upstream, known: Upstream): boolean =>
	next.bornAtMs < known.bornAtMs || (next.bornAtMs === known.bornAtMs && next.sequence < known.sequence);

/** An upstream that is leaving is always removed at once. */
export const createUpstreamDirectory = ({graceUntil}: DirectoryOptions): UpstreamDirectory => {
	const byId = new Map<string, Upstream>();
	// Rebuilt when a list is asked for after a change: all upstreams report at about the same time.
	const byService = new Map<string, readonly Upstream[]>();
	const pendingRemovals = new Map<string, NodeJS.Timeout>();
	// Starts that have said so in an answer, as `identifyStart` names them.
	const leavingStarts = new Set<string>();
	const listeners: Array<(upstream: Upstream) => void> = [];

	const list = (service: string): readonly Upstream[] => {
		const listed = byService.get(service) ?? [...byId.values()].filter(upstream => upstream.service === service && !upstream.isLeaving);
		byService.set(service, listed);
		return listed;
	};

	const tellEnd = (ended: Upstream): void => {
		for (const listener of listeners) {
			listener(ended);
		}
	};

	const removeNow = (id: string): void => {
		pendingRemovals.delete(id);
		const known = byId.get(id);
		if (!known) {
			return;
		}

		byId.delete(id);
		byService.delete(known.service);
		tellEnd(known);
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
			const isLeaving = next.isLeaving || (isSameStart && known.isLeaving) || leavingStarts.has(identifyStart(next));
			byId.set(next.id, {...next, isLeaving});
			byService.delete(known?.service ?? next.service);
			byService.delete(next.service);
			if (known && !isSameStart) {
				tellEnd(known);
			}
		},
		remove(id) {
			const waitMs = graceUntil() - Date.now();
			if (waitMs <= 0 || byId.get(id)?.isLeaving) {
				removeNow(id);
			} else if (!pendingRemovals.has(id)) {
				pendingRemovals.set(id, setTimeout(removeNow, waitMs, id).unref());
			}
		},
		markLeaving(upstream) {
			const start = identifyStart(upstream);
			if (leavingStarts.has(start)) {
				return false;
			}

			leavingStarts.add(start);
			const [earliest] = leavingStarts;
			if (leavingStarts.size > MAX_LEAVING_STARTS && earliest !== undefined) {
				leavingStarts.delete(earliest);
			}

			const known = byId.get(upstream.id);
			if (known && identifyStart(known) === start) {
				byId.set(known.id, {...known, isLeaving: true});
				byService.delete(known.service);
			}

			return true;
		},
		list,
		get: id => byId.get(id),
		onEnd(listener) {
			listeners.push(listener);
		},
	};
};

/**
Learns for each route and service when an answer is slow, and keeps the extra copies
within their limit.

Load: single slow answers of a service that has room. Copies are for plain requests
that may be repeated; a stream, a turn or a request with a prompt gets none, since its
state would be in two places.
*/
import type {CallPlan} from '../forward/call-plan.js';
import {computeRoom} from './compute-room.js';
import {createCopyAccount} from './create-copy-account.js';
import {createWaitWindow} from './create-wait-window.js';
import type {ExtraCopies} from './extra-copies.js';
import {listCopyCandidates} from './list-copy-candidates.js';

/** Far more than any deployment sends to within minutes; each takes some kilobytes. */
const MAX_WINDOWS = 500;

type ExtraCopiesOptions = {
	/** Largest share of copies among the sends; 0 for none. */
	readonly maxShare: number;
	readonly quantile: number;
	/** Milliseconds for which calls have recently waited at the service. */
	readonly meanWaitMs: (service: string) => number;
	/** Reads a monotonic clock, in milliseconds. */
	readonly now: () => number;
};

const mayHaveCopy = ({call, route}: CallPlan): boolean => route.kind === 'idempotent' && route.maxRuns > 1 && !call.prompt;

/** Returns `undefined` if there are no copies, so that requests take the path without any. */
export const createExtraCopies = ({maxShare, quantile, meanWaitMs, now}: ExtraCopiesOptions): ExtraCopies | undefined => {
	if (maxShare === 0) {
		return undefined;
	}

	const account = createCopyAccount(maxShare);
	const windows = new Map<string, ReturnType<typeof createWaitWindow>>();
	const counts = {
		sends: 0, copies: 0, won: 0, withheld: 0,
	};

	const getWindow = ({route, service}: CallPlan): ReturnType<typeof createWaitWindow> => {
		const key = `${route.name} ${service}`;
		const existing = windows.get(key);
		if (existing) {
			return existing;
		}

		if (windows.size >= MAX_WINDOWS) {
			windows.clear();
		}

		const window = createWaitWindow(quantile);
		windows.set(key, window);
		return window;
	};

	return {
		counts,
		watch(plan) {
			if (!mayHaveCopy(plan)) {
				return undefined;
			}

			const {route, service, deadlineAt} = plan;
			const window = getWindow(plan);
			const beganAt = now();
			counts.sends++;
			account.earn(computeRoom(meanWaitMs(service), route.objectiveMs));
			return {
				slowAfterMs: window.slowAfterMs(),
				listCandidates(first, loads) {
					const hasTime = Date.now() + window.usualMs() < deadlineAt;
					return hasTime && computeRoom(meanWaitMs(service), route.objectiveMs) > 0 ? listCopyCandidates(first, loads) : [];
				},
				trySpend() {
					const mayCopy = account.trySpend();
					counts[mayCopy ? 'copies' : 'withheld']++;
					return mayCopy;
				},
				end(isAnswered, copy) {
					if (copy === 'won') {
						counts.won++;
						window.record(Infinity);
					} else if (isAnswered) {
						window.record(now() - beganAt);
					}
				},
			};
		},
	};
};

/**
Counts upstream crashes by request fingerprint, so that a request that is resent
under a new id or through another entry is recognised.
*/
import {decideCrashIsolation} from '@siskinhub/core/decide/decide-crash-isolation.js';
import type {SuspectTracker} from './suspect-tracker.js';

/** Crashes while other requests ran on the upstream too, and while the request ran alone. */
type CrashCounts = {
	shared: number;
	alone: number;
};

/** Beyond this number the oldest suspect is evicted. */
const MAX_SUSPECTS = 10_000;

/** Creates an empty tracker; `announce` tells the other owners of a new crash. */
export const createSuspectTracker = (announce: (fingerprint: string, crashesAlone: number) => void): SuspectTracker => {
	const suspects = new Map<string, CrashCounts>();

	const getOrCreateCounts = (fingerprint: string): CrashCounts => {
		const counts = suspects.get(fingerprint) ?? {shared: 0, alone: 0};
		suspects.set(fingerprint, counts);
		if (suspects.size > MAX_SUSPECTS) {
			const [oldest] = suspects.keys();
			suspects.delete(oldest ?? '');
		}

		return counts;
	};

	return {
		classify: fingerprint => decideCrashIsolation(suspects.get(fingerprint) ?? {shared: 0, alone: 0}),
		noteCrash(fingerprint, wasAlone) {
			const counts = getOrCreateCounts(fingerprint);
			if (wasAlone) {
				counts.alone++;
			} else {
				counts.shared++;
			}

			announce(fingerprint, counts.alone);
		},
		noteSuccess(fingerprint) {
			if ((suspects.get(fingerprint)?.alone ?? 0) === 0) {
				suspects.delete(fingerprint);
			}
		},
		merge(fingerprint, crashesAlone) {
			const counts = getOrCreateCounts(fingerprint);
			counts.shared = Math.max(1, counts.shared);
			counts.alone = Math.max(counts.alone, crashesAlone);
		},
	};
};

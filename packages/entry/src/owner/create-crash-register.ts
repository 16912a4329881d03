/**
Remembers suspects by fingerprint, so that a request sent again under a new id
or through another entry is known again.
*/
import {decideSuspect} from '@siskinhub/core/decide/decide-suspect.js';
import type {CrashRegister} from './crash-register.js';

type Crashes = {
	shared: number;
	alone: number;
};

/** Oldest suspects go first beyond this. */
const MAX_SUSPECTS = 10_000;

/** Creates an empty register; `announce` tells the other owners of a new crash. */
export const createCrashRegister = (announce: (fingerprint: string, crashesAlone: number) => void): CrashRegister => {
	const suspects = new Map<string, Crashes>();

	const recordOf = (fingerprint: string): Crashes => {
		const record = suspects.get(fingerprint) ?? {shared: 0, alone: 0};
		suspects.set(fingerprint, record);
		if (suspects.size > MAX_SUSPECTS) {
			const [oldest] = suspects.keys();
			suspects.delete(oldest ?? '');
		}

		return record;
	};

	return {
		judge: fingerprint => decideSuspect(suspects.get(fingerprint) ?? {shared: 0, alone: 0}),
		noteCrash(fingerprint, wasAlone) {
			const record = recordOf(fingerprint);
			if (wasAlone) {
				record.alone++;
			} else {
				record.shared++;
			}

			announce(fingerprint, record.alone);
		},
		noteSuccess(fingerprint) {
			if ((suspects.get(fingerprint)?.alone ?? 0) === 0) {
				suspects.delete(fingerprint);
			}
		},
		merge(fingerprint, crashesAlone) {
			const record = recordOf(fingerprint);
			record.shared = Math.max(1, record.shared);
			record.alone = Math.max(record.alone, crashesAlone);
		},
	};
};

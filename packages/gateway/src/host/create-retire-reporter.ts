/**
Reports to operators whether the copies of a retiring host have been moved.
*/
import type {DeclarationStore} from '@siskinhub/declared/declaration-store.js';
import type {DeclaredView} from '@siskinhub/declared/declared-view.js';
import type {Logger} from '@siskinhub/observe/logger.js';
import type {DeclaredKeys} from './declared-keys.js';

type ReporterOptions = {
	readonly view: DeclaredView;
	readonly store: DeclarationStore;
	readonly keys: Pick<DeclaredKeys, 'encodeRetireStatus'>;
	readonly log: Logger;
};

/** A write that failed is repeated after this time; each one is a counted call. */
const RETRY_INTERVAL_MS = 1000;

/** The returned function may be called repeatedly; it writes only a status that differs from the declared one. */
export const createRetireReporter = ({view, store, keys, log}: ReporterOptions) => {
	const triedAt = new Map<string, number>();

	const write = async (host: string, key: string, value: string): Promise<void> => {
		const written = await store.commit([{key, value}]);
		log.info('retire status of a host sent to the platform service', {host, status: value, isWritten: written !== undefined});
		if (written) {
			view.apply({entries: written, revision: 0, isWhole: false});
		}
	};

	return (host: string, isEmptied: boolean): void => {
		const {key, value} = keys.encodeRetireStatus(host, isEmptied);
		const attempt = `${key} ${value}`;
		if (view.get(key)?.value === value || performance.now() - (triedAt.get(attempt) ?? -Infinity) < RETRY_INTERVAL_MS) {
			return;
		}

		triedAt.set(attempt, performance.now());
		void write(host, key, value);
	};
};

/**
Decides how a request is refused whose caller may not be served, or is not known to be
one who may.
*/
import type {CallerIdentity} from './caller-identity.js';

const STATUS_UNKNOWN_KEY = 401;
const STATUS_UNAVAILABLE = 503;
/** Another process may know the declared state. */
const RETRY_OTHER_PROCESS_MS = 100;

type CallerRefusal = {readonly status: number; readonly outcome: string; readonly retryAfterMs?: number};

/** Returns nothing for callers who may be served. A key is called unknown only by a process that knows which there are. */
export const decideCallerRefusal = ({kind}: CallerIdentity): CallerRefusal | undefined => {
	switch (kind) {
		case 'workspace':
		case 'open': {
			return undefined;
		}

		case 'unknown-key': {
			return {status: STATUS_UNKNOWN_KEY, outcome: 'unknown-key'};
		}

		case 'undeclared': {
			return {status: STATUS_UNAVAILABLE, outcome: 'keys-unknown', retryAfterMs: RETRY_OTHER_PROCESS_MS};
		}
	}
};

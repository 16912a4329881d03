/**
Takes the declared state over from a relay for as long as the relay keeps reading
the platform's service.
*/
import type {DeclarationRelay} from './declaration-relay.js';
import type {DeclaredChanges} from './declared-changes.js';

type FollowRelayOptions = {
	readonly relay: DeclarationRelay;
	/** Revision up to which no change is missing. */
	readonly readRevision: () => number;
	readonly onRead: (changes: DeclaredChanges) => void;
	/** Whether this relay should still be followed; asked after each read. */
	readonly isWanted: () => boolean;
	/** The relay counts as failed once it has passed on no read for so many milliseconds. */
	readonly silenceMs: number;
	readonly signal: AbortSignal;
};

/** A relay drops its followers unless they ask again. */
const RENEW_INTERVAL_MS = 3000;

/** Resolves to `failed` if the relay is lost or silent, and to `ended` if it is no longer wanted or the signal aborts. */
export const followRelay = async ({relay, readRevision, onRead, isWanted, silenceMs, signal}: FollowRelayOptions): Promise<'failed' | 'ended'> => new Promise(resolve => {
	const end = (result: 'failed' | 'ended'): void => {
		clearTimeout(silenceTimer);
		clearInterval(renewTimer);
		signal.removeEventListener('abort', handleAbort);
		following.close();
		resolve(result);
	};

	const handleAbort = (): void => {
		end('ended');
	};

	const handleSilence = (): void => {
		end('failed');
	};

	const start = () => relay.follow(readRevision(), changes => {
		clearTimeout(silenceTimer);
		onRead(changes);
		if (isWanted()) {
			silenceTimer = setTimeout(handleSilence, silenceMs);
		} else {
			end('ended');
		}
	}, handleSilence);

	let silenceTimer = setTimeout(handleSilence, silenceMs);
	const renewTimer = setInterval(() => {
		following.close();
		following = start();
	}, RENEW_INTERVAL_MS);
	signal.addEventListener('abort', handleAbort);
	let following = start();
});

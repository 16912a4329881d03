/**
What a sidecar asks of its upstream, whichever kind it is.
*/
import type {RunOutcome} from './run-outcome.js';
import type {RunRequest} from './run-request.js';

type HeldPrefix = {
	readonly program: string;
	readonly tokens: number;
};

/** The adapter to one upstream. No method rejects. */
export type UpstreamClient = {
	/** Runs one call; `onText` receives the answer piece by piece. Aborting `signal` cancels it. */
	readonly run: (request: RunRequest, onText: (text: string) => void, signal: AbortSignal) => Promise<RunOutcome>;
	/** Releases a program's prefix; true once the upstream no longer holds it. */
	readonly releasePrefix: (program: string, fencingNumber: bigint) => Promise<boolean>;
	/** Whether the upstream answers at all. */
	readonly probe: () => Promise<boolean>;
	/** What the upstream says it holds; undefined while it does not answer. */
	readonly listPrefixes: () => Promise<readonly HeldPrefix[] | undefined>;
};

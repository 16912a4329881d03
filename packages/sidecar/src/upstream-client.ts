/**
Interface between a sidecar and its upstream, either a model engine or a plain
service.
*/
import type {RunOutcome} from './run-outcome.js';
import type {RunRequest} from './run-request.js';

type HeldPrefix = {
	readonly program: string;
	readonly tokens: number;
};

/** Client of one upstream. No method rejects. */
export type UpstreamClient = {
	/** Runs one call. `onText` receives the answer in chunks. Aborting `signal` cancels the call. */
	readonly run: (request: RunRequest, onText: (text: string) => void, signal: AbortSignal) => Promise<RunOutcome>;
	/** Releases a program's prefix. Resolves to true once the upstream no longer holds it. */
	readonly releasePrefix: (program: string, fencingNumber: bigint) => Promise<boolean>;
	/** Resolves to whether the upstream responds at all. */
	readonly probe: () => Promise<boolean>;
	/** Resolves to the prefixes that the upstream reports, or undefined if the request failed. */
	readonly listPrefixes: () => Promise<readonly HeldPrefix[] | undefined>;
};

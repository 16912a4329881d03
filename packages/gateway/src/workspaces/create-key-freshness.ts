/**
Tells whether the keys that a process knows may be too old to serve anybody by them.

Expected load: keys are revoked while single processes are cut off from the platform's
service and from every process that reads it. Where revocation is strict, such a process
serves no one by a key rather than somebody by a revoked one; else it goes on with what
it knows, since an outage of the service would stop everything.
*/
import type {HostConfig} from '../host/host-config.js';

type FreshnessOptions = {
	readonly revocation: HostConfig['revocation'];
	/** How old news of the declared state may be when it comes, in milliseconds. */
	readonly newsAgeMs: number;
	/** The time of the last news, by `performance.now()`; `-Infinity` before any. */
	readonly lastNewsAt: () => number;
};

/** The returned function must be called for each decision. */
export const createKeyFreshness = ({revocation: {isStrict, withinMs}, newsAgeMs, lastNewsAt}: FreshnessOptions): (() => boolean) =>
	() => isStrict && performance.now() - lastNewsAt() > Math.max(0, withinMs - newsAgeMs);

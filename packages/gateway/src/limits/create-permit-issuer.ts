/**
Divides the requests that a limited upstream takes among the processes that send
to it: one permit a request, issued by a token bucket at one copy holder.

Expected load: up to a thousand gateways and limits of 2 to 6 requests a second,
with demand at any of the gateways. A share for each gateway would be a fraction
of a request and lie idle where there is no demand; here the message that asks for
a permit costs as little as the limit is small.

Processes may see different holders as reachable, so several may issue permits for
one upstream at the same time. The holder that comes first in the order of the
upstream issues the whole limit and each following one a third of the one before
it. The sum of 1 + 1/3 + 1/9 + … is 1.5, so all of them together never issue more
than one and a half times the limit. A bucket starts empty, as the holder that
issued before may just have issued what it had.
*/
import type {Permit} from './permit.js';

/** Share of the limit that each holder issues of what the one before it in the order issues. */
const NEXT_ISSUER_SHARE = 1 / 3;
/** Permits that may be issued at once after a pause. */
const MIN_BURST = 2;
/** The same for high limits, as time in which the limit provides them. */
const BURST_S = 0.1;
/** An upstream that takes next to nothing still gets a request every few seconds: only its answers tell when its limit ends. */
const MIN_PER_SECOND = 0.2;
const MAX_WAIT_MS = 1000;
const MS_PER_S = 1000;
const MAX_BUCKETS = 10_000;

type Bucket = {
	tokens: number;
	filledAt: number;
	/** Requests for a permit that were denied since the last one was issued; all of these wait for the next permits. */
	waiting: number;
};

type PermitRequest = {
	/** Identified by `identifyStart`. */
	readonly upstream: string;
	readonly perSecond: number;
	/** Position of this holder in the upstream's order of issuers, from 0. */
	readonly position: number;
};

/** `now` reads a monotonic clock, in milliseconds. */
export const createPermitIssuer = (now: () => number): ((request: PermitRequest) => Permit) => {
	const buckets = new Map<string, Bucket>();

	const getBucket = (upstream: string): Bucket => {
		const bucket = buckets.get(upstream) ?? {tokens: 0, filledAt: now(), waiting: 0};
		buckets.delete(upstream);
		buckets.set(upstream, bucket);
		if (buckets.size > MAX_BUCKETS) {
			const [leastRecentlyUsed] = buckets.keys();
			buckets.delete(leastRecentlyUsed!);
		}

		return bucket;
	};

	return ({upstream, perSecond, position}) => {
		const bucket = getBucket(upstream);
		const issuedPerMs = Math.max(MIN_PER_SECOND, perSecond) * (NEXT_ISSUER_SHARE ** position) / MS_PER_S;
		const burst = Math.max(MIN_BURST, perSecond * BURST_S);
		bucket.tokens = Math.min(burst, bucket.tokens + ((now() - bucket.filledAt) * issuedPerMs));
		bucket.filledAt = now();
		if (bucket.tokens >= 1) {
			bucket.tokens--;
			bucket.waiting = 0;
			return {kind: 'granted'};
		}

		const waitMs = Math.min(MAX_WAIT_MS, (1 - bucket.tokens + bucket.waiting) / issuedPerMs);
		bucket.waiting++;
		return {kind: 'denied', waitMs};
	};
};

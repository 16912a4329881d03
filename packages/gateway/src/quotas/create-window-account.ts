/**
Counts, for one workspace at one issuer, the requests that may have run in the last
window or may still run.

Load: a hot workspace uses grants of a few requests as fast as they are issued, at
tens of gateways. A grant counts until its end and one window after it. Once a
gateway has said how many requests it ran on the grant, these count until one window
after the last of them, and the rest no more. Any window then has no more requests
than what was counted when the last grant used in it was issued.
*/

const BUCKET_MS = 50;

type Outstanding = {readonly count: number; readonly endsAt: number};

/** Times are on one monotonic clock, in milliseconds. */
export const createWindowAccount = (windowMs: number) => {
	// Requests by the number of the bucket in which the last of them may have run.
	const used = new Map<number, number>();
	// In the order of their ends, which is that of the grants.
	const outstanding = new Map<string, Outstanding>();
	let firstBucket = -Infinity;
	let total = 0;

	const endOf = (bucket: number): number => (bucket * BUCKET_MS) + windowMs;

	const prune = (now: number): void => {
		for (const [gateway, {count, endsAt}] of outstanding) {
			if (endsAt + windowMs >= now) {
				break;
			}

			outstanding.delete(gateway);
			total -= count;
		}

		if (endOf(firstBucket) >= now) {
			return;
		}

		firstBucket = Infinity;
		for (const [bucket, count] of used) {
			if (endOf(bucket) < now) {
				used.delete(bucket);
				total -= count;
			} else {
				firstBucket = Math.min(firstBucket, bucket);
			}
		}

		if (used.size === 0) {
			firstBucket = -Infinity;
		}
	};

	return {
		/** Requests that count at this time. */
		count(now: number): number {
			prune(now);
			return total;
		},
		/** Counts requests that ran until `at`. */
		addUsed(count: number, at: number): void {
			if (count <= 0) {
				return;
			}

			const bucket = Math.ceil(at / BUCKET_MS);
			used.set(bucket, (used.get(bucket) ?? 0) + count);
			firstBucket = used.size === 1 ? bucket : Math.min(firstBucket, bucket);
			total += count;
		},
		/** Replaces what the gateway may still run; returns what it might run before. */
		setOutstanding(gateway: string, count: number, endsAt: number): number {
			const before = outstanding.get(gateway)?.count ?? 0;
			total += count - before;
			outstanding.delete(gateway);
			if (count > 0) {
				outstanding.set(gateway, {count, endsAt});
			}

			return before;
		},
		/** Milliseconds until the first of what counts no longer does. */
		waitMs(now: number): number {
			prune(now);
			const [grant] = outstanding.values();
			return Math.max(0, Math.min(grant ? grant.endsAt + windowMs : Infinity, used.size > 0 ? endOf(firstBucket) : Infinity) - now);
		},
		isEmpty(now: number): boolean {
			prune(now);
			return total === 0;
		},
	};
};

/**
Leases of the platform stand-in. A lease that is not renewed in time expires.
*/

type LeaseStore = {
	/** Grants a lease for `ttlSeconds` and returns its id. */
	readonly grant: (ttlSeconds: number) => string;
	/** Renews a lease and returns its time to live in seconds, or 0 if the lease does not exist any more. */
	readonly renew: (lease: string) => number;
	readonly revoke: (lease: string) => void;
	readonly isAlive: (lease: string) => boolean;
	/** Stops all timers, so that no further lease expires. */
	readonly close: () => void;
};

/** Creates an empty lease store. `onEnd` is called when a lease expires or is revoked, for example to delete its keys. */
export const createLeaseStore = (onEnd: (lease: string) => void): LeaseStore => {
	const leases = new Map<string, {readonly ttlSeconds: number; timer: NodeJS.Timeout}>();
	let lastLease = 0;

	const end = (lease: string) => {
		clearTimeout(leases.get(lease)?.timer);
		if (leases.delete(lease)) {
			onEnd(lease);
		}
	};

	const startTimer = (lease: string, ttlSeconds: number) => setTimeout(() => {
		end(lease);
	}, ttlSeconds * 1000);

	return {
		grant(ttlSeconds) {
			lastLease++;
			const lease = String(lastLease);
			leases.set(lease, {ttlSeconds, timer: startTimer(lease, ttlSeconds)});
			return lease;
		},
		renew(lease) {
			const found = leases.get(lease);
			if (!found) {
				return 0;
			}

			clearTimeout(found.timer);
			found.timer = startTimer(lease, found.ttlSeconds);
			return found.ttlSeconds;
		},
		revoke: end,
		isAlive: lease => leases.has(lease),
		close() {
			for (const {timer} of leases.values()) {
				clearTimeout(timer);
			}
		},
	};
};

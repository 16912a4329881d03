/**
Holds the single lease of an entry and, under it, the key that announces what the
entry owns. The lease expires if the process dies; under a new lease everything
is announced again.
*/
import type {PlatformClient} from '@siskinhub/platform/platform-client.js';
import {err, ok, type Result} from 'neverthrow';

type LeaseOptions = {
	readonly platform: Pick<PlatformClient, 'grantLease' | 'renewLease' | 'revokeLease' | 'put'>;
	readonly key: string;
	/** Time to live, in milliseconds; the service counts in whole seconds. */
	readonly ttlMs: number;
};

/** Creates the lease without a timer: it is renewed and announced only on call. */
export const createOwnerLease = ({platform, key, ttlMs}: LeaseOptions) => {
	let lease: string | undefined;
	let announced = '';
	let version = 0;
	return {
		isHeld: (): boolean => lease !== undefined,
		/** Renews the lease, or requests a new one if it has expired. */
		async renew(): Promise<Result<void, string>> {
			if (lease !== undefined) {
				const renewed = await platform.renewLease(lease);
				if (renewed.isErr()) {
					return err(renewed.error.message);
				}

				if (renewed.value.alive) {
					return ok();
				}
			}

			const granted = await platform.grantLease(ttlMs);
			if (granted.isErr()) {
				return err(granted.error.message);
			}

			lease = granted.value.lease;
			announced = '';
			version = 0;
			return ok();
		},
		/** Writes the value under the lease unless it is already there. */
		async announce(value: string): Promise<void> {
			if (value === announced || lease === undefined) {
				return;
			}

			const put = await platform.put({
				key, value, expectedVersion: version, lease,
			});
			if (put.isErr()) {
				return;
			}

			if (put.value.kind === 'stored') {
				({version} = put.value);
				announced = value;
			} else {
				// The reply to an earlier write was lost; the next call overwrites that value.
				version = put.value.current?.version ?? 0;
			}
		},
		/** Revokes the lease; the platform's service deletes the key with it. */
		async revoke(): Promise<void> {
			if (lease !== undefined) {
				await platform.revokeLease(lease);
			}
		},
	};
};

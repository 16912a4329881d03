/**
The one lease of an entry and the key under it, which announces what the entry
owns. Lapses with the process; a new lease announces everything again.
*/
import type {PlatformClient} from '@siskinhub/platform/platform-client.js';
import {err, ok, type Result} from 'neverthrow';

type LeaseOptions = {
	readonly platform: Pick<PlatformClient, 'grantLease' | 'renewLease' | 'revokeLease' | 'put'>;
	readonly key: string;
	/** Time to live, in milliseconds; the service counts in whole seconds. */
	readonly ttlMs: number;
};

/** Renews and announces only when it is told to. */
export const createOwnerLease = ({platform, key, ttlMs}: LeaseOptions) => {
	let lease: string | undefined;
	let announced = '';
	let version = 0;
	return {
		isHeld: (): boolean => lease !== undefined,
		/** Renews the lease, or asks for another where it has lapsed. */
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
		/** Writes the value under the lease unless it stands there already. */
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
				// The answer to an earlier write was lost; the next beat writes over it.
				version = put.value.current?.version ?? 0;
			}
		},
		/** The key vanishes with the lease. */
		async revoke(): Promise<void> {
			if (lease !== undefined) {
				await platform.revokeLease(lease);
			}
		},
	};
};

/**
The one lease of a process, renewed as long as the process runs and granted
anew after it lapsed.
*/
import type {PlatformClient} from '../platform-client.js';
import type {LeaseState} from './lease-state.js';

const RENEWALS_PER_TTL = 3;
const RETRY_MS = 500;

type LeaseOptions = {
	readonly client: Pick<PlatformClient, 'grantLease' | 'renewLease' | 'revokeLease'>;
	/** Time to live, in milliseconds; the service counts in whole seconds. */
	readonly ttlMs: number;
	/** Called with each new lease, under which the process writes its keys again. */
	readonly onGranted: (lease: string) => void;
	/** Called when the service says that a lease has lapsed. */
	readonly onLapsed: (lease: string) => void;
};

type RenewingLease = {
	/** Computed at the time of the call, so that a process that was paused finds out at once. */
	readonly state: () => LeaseState;
	/** Stops renewing and revokes the lease, so that its keys vanish at once. */
	readonly close: () => Promise<void>;
};

/** Starts to ask for a lease; while the service is down it keeps trying. */
export const createRenewingLease = ({client, ttlMs, onGranted, onLapsed}: LeaseOptions): RenewingLease => {
	let lease: string | undefined;
	// When the call that renewed the lease last began: the service's clock for it cannot have started earlier.
	let renewedAt = 0;
	let isClosed = false;
	let timer: NodeJS.Timeout | undefined;

	const grant = async () => {
		const startedAt = Date.now();
		const granted = await client.grantLease(ttlMs);
		if (granted.isErr()) {
			return RETRY_MS;
		}

		({lease} = granted.value);
		renewedAt = startedAt;
		if (!isClosed) {
			onGranted(lease);
		}

		return ttlMs / RENEWALS_PER_TTL;
	};

	const renew = async (current: string) => {
		const startedAt = Date.now();
		const renewed = await client.renewLease(current);
		if (renewed.isErr()) {
			return RETRY_MS;
		}

		if (renewed.value.alive) {
			renewedAt = startedAt;
			return ttlMs / RENEWALS_PER_TTL;
		}

		lease = undefined;
		onLapsed(current);
		return 0;
	};

	const run = async () => {
		const delayMs = lease === undefined ? await grant() : await renew(lease);
		if (isClosed) {
			await revoke();
			return;
		}

		timer = setTimeout(() => {
			running = run();
		}, delayMs);
	};

	const revoke = async () => {
		if (lease !== undefined) {
			await client.revokeLease(lease);
			lease = undefined;
		}
	};

	let running = run();

	return {
		state() {
			if (lease === undefined) {
				return {kind: 'none'};
			}

			return {kind: Date.now() < renewedAt + ttlMs ? 'held' : 'uncertain', lease};
		},
		async close() {
			isClosed = true;
			clearTimeout(timer);
			await running;
			await revoke();
		},
	};
};

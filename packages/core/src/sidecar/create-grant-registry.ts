/**
Remembers the grants that were admitted or refused, up to a maximum number.

Grants of one shard and epoch are numbered in sequence. Beyond the maximum the
oldest record is dropped and its number is kept as the highest forgotten one. A
grant with that number or a lower one may have run here, so it is neither
started nor reported as not run. The registry does not depend on any clock.
*/
import type {ClaimId} from '../ids/claim-id.js';
import type {InstanceId} from '../ids/instance-id.js';
import type {GrantRegistry} from './grant-registry.js';

type GrantRecord = {
	readonly series: string;
	readonly sequence: number;
	refused: boolean;
};

type RegistryOptions = {
	readonly instance: InstanceId;
	readonly maxRecords: number;
};

/** Creates an empty registry for one instance of a sidecar. */
export const createGrantRegistry = ({instance, maxRecords}: RegistryOptions): GrantRegistry => {
	// A Map iterates in insertion order, so its first record is the oldest.
	const records = new Map<ClaimId, GrantRecord>();
	const highestForgotten = new Map<string, number>();
	const highestEpoch = new Map<number, number>();

	const forgetOldest = () => {
		for (const [claim, record] of records) {
			if (records.size <= maxRecords) {
				return;
			}

			records.delete(claim);
			highestForgotten.set(record.series, Math.max(record.sequence, highestForgotten.get(record.series) ?? 0));
		}
	};

	const remember = (claim: ClaimId, record: GrantRecord) => {
		records.set(claim, record);
		forgetOldest();
	};

	const isCurrent: GrantRegistry['isCurrent'] = (shard, epoch) => epoch >= (highestEpoch.get(shard) ?? 0);

	return {
		admit(grant, isAccepting) {
			const known = records.get(grant.claim);
			if (known) {
				return known.refused ? {kind: 'refuse', reason: 'the grant was refused before'} : {kind: 'attach'};
			}

			if (grant.sidecarInstance !== instance) {
				return {kind: 'unknown', reason: 'the grant names an earlier lifetime of this sidecar'};
			}

			const series = `${grant.shard}/${grant.claimEpoch}`;
			if (grant.sequence <= (highestForgotten.get(series) ?? 0)) {
				return {kind: 'unknown', reason: 'the grant is older than what this sidecar remembers'};
			}

			const isOutdated = !isCurrent(grant.shard, grant.epoch);
			if (isOutdated || grant.attachOnly || !isAccepting) {
				remember(grant.claim, {series, sequence: grant.sequence, refused: true});
				return {kind: 'refuse', reason: isOutdated ? 'a later owner has spoken for the shard' : 'the upstream takes no such call'};
			}

			highestEpoch.set(grant.shard, grant.epoch);
			remember(grant.claim, {series, sequence: grant.sequence, refused: false});
			return {kind: 'run'};
		},
		markRefused(claim) {
			const record = records.get(claim);
			if (record) {
				record.refused = true;
			}
		},
		isCurrent,
		observeEpoch(shard, epoch) {
			if (!isCurrent(shard, epoch)) {
				return false;
			}

			highestEpoch.set(shard, epoch);
			return true;
		},
		size: () => records.size,
	};
};

/**
Remembers every grant that was admitted or refused, up to a bound.

Grants of one shard and epoch are numbered. When the bound is passed the oldest
record goes and its number stays as the highest forgotten one: a grant at or
below it may have run here, so it is neither started nor called "not run".
No clock takes part in this.
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

/** Creates the registry of one lifetime of a sidecar. */
export const createGrantRegistry = ({instance, maxRecords}: RegistryOptions): GrantRegistry => {
	// A Map keeps the order of insertion, so its first entry is the oldest.
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
		refuseLater(claim) {
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

/**
Polls for shards without a live owner and takes over those for which this entry
ranks first. Each lower rank waits some polls longer, so that usually one entry
tries at a time; if two try together, the shard's log lets only one succeed.

An entry keeps one lease, not one for each shard, and announces its shards in
one key under it.
*/
import {setTimeout as delay} from 'node:timers/promises';
import type {Result} from 'neverthrow';
import type {ShardId} from '@siskinhub/core/ids/shard-id.js';
import type {Logger} from '@siskinhub/observe/logger.js';
import type {PlatformClient} from '@siskinhub/platform/platform-client.js';
import type {PlatformHost} from '@siskinhub/platform/platform-host.js';
import type {ShardOwner} from '../owner/shard-owner.js';
import type {Ownership} from './ownership.js';
import {ownerRecordSchema} from './owner-record.js';
import {createOwnerLease} from './create-owner-lease.js';
import {createTakeoverGuard} from './create-takeover-guard.js';
import type {ShardMap} from './shard-map.js';

const OWNERS_PREFIX = 'owners/';
const POLL_INTERVAL_MS = 500;
const COPY_RETRY_MS = 2000;
/** Additional polls that each lower rank waits before it takes a shard over. */
const POLLS_PER_RANK = 3;
/** Entries that watch for the loss of a shard's owner; all others ask these, which keeps load off the platform's service. */
const CANDIDATES_PER_SHARD = 3;

type OwnershipOptions = {
	readonly shards: number;
	readonly host: string;
	readonly instance: string;
	readonly peerAddress: string;
	readonly platform: PlatformClient;
	/** The entries in the order in which they may take a shard over. */
	readonly rank: (shard: ShardId) => readonly PlatformHost[];
	readonly map: ShardMap;
	readonly leaseTtlMs: number;
	readonly leaseRenewEveryMs: number;
	/** Takes one shard over; fails with the reason. */
	readonly takeOver: (shard: ShardId, isAlive: (instance: string) => boolean) => Promise<Result<ShardOwner, string>>;
	/** Called when this entry has become the owner of a shard. */
	readonly onOwned: () => void;
	/** Whether the shard's history holders must be replaced; called at each poll. */
	readonly shouldReplaceHolders: (owner: ShardOwner) => boolean;
	readonly log: Logger;
};

/** Starts polling and renewing the lease. */
export const createOwnership = (options: OwnershipOptions): Ownership => {
	const {shards, host, instance, peerAddress, platform, map, log} = options;
	const owned = new Map<ShardId, ShardOwner>();
	const pollsWithoutOwner = new Map<ShardId, number>();
	let liveInstances = new Set<string>();
	let liveOwners = new Map<ShardId, {readonly instance: string; readonly epoch: number}>();
	const lease = createOwnerLease({platform, key: `${OWNERS_PREFIX}${instance}`, ttlMs: options.leaseTtlMs});
	let isPlatformUp = false;
	let isLeaving = false;
	let isPolling = false;
	// Every owner renews within `leaseRenewEveryMs`, so one poll later all are announced again.
	const guard = createTakeoverGuard(options.leaseRenewEveryMs + POLL_INTERVAL_MS);

	const readOwners = async (): Promise<boolean> => {
		const listed = await platform.list(OWNERS_PREFIX);
		if (listed.isErr()) {
			return false;
		}

		liveInstances = new Set();
		liveOwners = new Map();
		for (const {value} of listed.value) {
			const record = ownerRecordSchema.parse(JSON.parse(value));
			liveInstances.add(record.instance);
			for (const {shard, epoch} of record.shards) {
				if (epoch >= (liveOwners.get(shard as ShardId)?.epoch ?? 0)) {
					liveOwners.set(shard as ShardId, {instance: record.instance, epoch});
				}

				map.note(shard as ShardId, {host: record.host, peerAddress: record.peerAddress, epoch});
			}
		}

		return true;
	};

	const announce = async (): Promise<void> => lease.announce(JSON.stringify({
		host, instance, peerAddress, shards: [...owned.values()].map(({shard, epoch}) => ({shard, epoch})),
	}));

	const findOwnRank = (shard: ShardId): number => options.rank(shard).slice(0, CANDIDATES_PER_SHARD).findIndex(entry => entry.id === host);

	const shouldTryTakeover = (shard: ShardId): boolean => {
		const rank = findOwnRank(shard);
		const polls = (pollsWithoutOwner.get(shard) ?? 0) + 1;
		pollsWithoutOwner.set(shard, polls);
		return rank !== -1 && polls > rank * POLLS_PER_RANK;
	};

	const hasOtherOwner = (shard: ShardId): boolean => (liveOwners.get(shard)?.instance ?? instance) !== instance;

	/** Retries until it succeeds: while earlier holders are still needed, losing one of them can block the next takeover. */
	const copyHistoriesUntilDone = async (owner: ShardOwner): Promise<void> => {
		while (owned.get(owner.shard) === owner && !await owner.copyHistories()) {
			await delay(COPY_RETRY_MS);
		}
	};

	const tryTakeover = async (shard: ShardId): Promise<void> => {
		const taken = await options.takeOver(shard, other => liveInstances.has(other));
		if (taken.isErr()) {
			log.debug('shard not taken over', {shard, reason: taken.error});
			return;
		}

		if (isLeaving) {
			await taken.value.handOver();
			return;
		}

		owned.get(shard)?.deactivate();
		owned.set(shard, taken.value);
		options.onOwned();
		void copyHistoriesUntilDone(taken.value);
		pollsWithoutOwner.delete(shard);
		map.note(shard, {host, peerAddress, epoch: taken.value.epoch});
		log.info('shard taken over', {shard, epoch: taken.value.epoch});
	};

	/** Detects a replaced owner before its next append to the log fails, so that it stops answering from outdated state. */
	const isReplaced = ({shard, epoch}: ShardOwner): boolean => hasOtherOwner(shard) && (liveOwners.get(shard)?.epoch ?? 0) > epoch;

	const dropLostShards = (): void => {
		for (const [shard, owner] of owned) {
			if (owner.isFenced() || isReplaced(owner)) {
				owner.deactivate();
				owned.delete(shard);
				map.forget(shard, owner.epoch);
				log.warn('shard lost to another owner', {shard, epoch: owner.epoch});
			}
		}
	};

	const isCandidateForAny = (): boolean => {
		for (let shard = 0; shard < shards; shard++) {
			if (findOwnRank(shard as ShardId) !== -1) {
				return true;
			}
		}

		return false;
	};

	/** Entries that own no shard and are candidates for none do not renew, which keeps load off the platform's service. */
	const renewAndAnnounce = async (): Promise<void> => {
		if (owned.size === 0 && !lease.isHeld() && !isCandidateForAny()) {
			return;
		}

		const renewed = await lease.renew();
		if (renewed.isErr()) {
			log.warn('failed to renew the owner lease', {reason: renewed.error});
		} else {
			await announce();
		}
	};

	const takeOverUnownedShards = async (): Promise<void> => {
		if (!isCandidateForAny()) {
			return;
		}

		isPlatformUp = await readOwners();
		const hasRecovered = guard.noteAnswer(isPlatformUp);
		if (!isPlatformUp || isLeaving) {
			return;
		}

		dropLostShards();
		// Without a lease, this entry's shards would not be announced and others would take them over.
		if (!lease.isHeld() || hasRecovered) {
			await renewAndAnnounce();
		}

		if (!lease.isHeld() || !guard.isTakeoverAllowed()) {
			return;
		}

		for (let shard = 0; shard < shards; shard++) {
			const id = shard as ShardId;
			if (hasOtherOwner(id) || isLeaving) {
				pollsWithoutOwner.delete(id);
			} else if (!owned.has(id) && shouldTryTakeover(id)) {
				await tryTakeover(id);
			}
		}

		await announce();
	};

	/** Takes shards of this entry over again if their holders must be replaced; a takeover selects new ones. */
	const replaceHolders = async (): Promise<void> => {
		for (const [shard, owner] of owned) {
			if (!isLeaving && options.shouldReplaceHolders(owner)) {
				log.warn('replacing the history holders of a shard', {shard});
				await tryTakeover(shard);
			}
		}
	};

	const poll = async (): Promise<void> => {
		if (isPolling) {
			return;
		}

		isPolling = true;
		try {
			dropLostShards();
			await takeOverUnownedShards();
			await replaceHolders();
		} catch (error) {
			log.error('failed to poll the ownership of the shards', {error: String(error)});
		} finally {
			isPolling = false;
		}
	};

	const pollTimer = setInterval(() => {
		void poll();
	}, POLL_INTERVAL_MS);
	const leaseTimer = setInterval(() => {
		void renewAndAnnounce();
	}, options.leaseRenewEveryMs);
	void renewAndAnnounce();

	const stop = () => {
		clearInterval(pollTimer);
		clearInterval(leaseTimer);
	};

	return {
		get: shard => owned.get(shard),
		owned: () => [...owned.values()],
		isPlatformUp: () => isPlatformUp,
		async leave() {
			isLeaving = true;
			await Promise.all([...owned.values()].map(async owner => owner.handOver()));
			owned.clear();
			await announce();
			await lease.revoke();
			stop();
		},
		stop,
	};
};

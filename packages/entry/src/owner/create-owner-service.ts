/**
Dispatches messages for the owner of a shard to the owner in this process, or
replies `not-owner` if the shard is not owned here. Also answers what concerns
all shards: concurrency slots, known owners and crash counts.
*/
import type {ProgramId} from '@siskinhub/core/ids/program-id.js';
import type {ShardId} from '@siskinhub/core/ids/shard-id.js';
import type {RowKey} from '@siskinhub/core/table/row-key.js';
import type {MessageBody} from '@siskinhub/peer/message-body.js';
import type {MessageBodyInit} from '@siskinhub/peer/message-body-init.js';
import type {Ownership} from '../ownership/ownership.js';
import type {ShardMap} from '../ownership/shard-map.js';
import type {SuspectTracker} from './suspect-tracker.js';
import type {SlotTable} from './slot-table.js';
import type {ShardOwner} from './shard-owner.js';

type ServiceOptions = {
	readonly ownership: () => Ownership;
	readonly map: ShardMap;
	readonly crashes: SuspectTracker;
	readonly slots: SlotTable;
	readonly getProgramShard: (program: ProgramId) => ShardId | undefined;
};

/** Creates the handler; it returns undefined for messages of other kinds. */
export const createOwnerService = ({ownership, map, crashes, slots, getProgramShard}: ServiceOptions) => {
	const withOwner = async (program: string, ask: (owner: ShardOwner) => Promise<MessageBodyInit>): Promise<MessageBodyInit> => {
		const shard = getProgramShard(program as ProgramId);
		const owner = shard === undefined ? undefined : ownership().get(shard);
		return owner ? ask(owner) : {case: 'notOwner', value: {shard: shard ?? 0}};
	};

	const listAlive = async (programs: readonly string[]): Promise<MessageBodyInit> => {
		const alive: string[] = [];
		const epochs: Record<number, bigint> = {};
		for (const program of programs) {
			const shard = getProgramShard(program as ProgramId);
			const owner = shard === undefined ? undefined : ownership().get(shard);
			if (owner) {
				epochs[owner.shard] = BigInt(owner.epoch);
				alive.push(...await owner.listAlive([program]));
			} else if (shard !== undefined && !map.ownerOf(shard)) {
				// Without a known owner nothing shows that the program has ended.
				alive.push(program);
			}
		}

		return {case: 'programsAlive', value: {programs: alive, epochs}};
	};

	const describeOwner = (shard: ShardId): MessageBodyInit => {
		const owner = map.ownerOf(shard);
		return {
			case: 'owners',
			value: {
				owners: owner
					? [{
						shard, epoch: BigInt(owner.epoch), host: owner.host, peerAddress: owner.peerAddress,
					}]
					: [],
			},
		};
	};

	return async (body: MessageBody): Promise<MessageBodyInit | undefined> => {
		switch (body.case) {
			case 'startProgram': {
				return withOwner(body.value.program, async owner => owner.startProgram(body.value));
			}

			case 'getProgram': {
				return withOwner(body.value.program, async owner => owner.getProgram(body.value));
			}

			case 'endProgram': {
				return withOwner(body.value.program, async owner => owner.endProgram(body.value));
			}

			case 'grantRequest': {
				return withOwner(body.value.program, async owner => owner.grant(body.value));
			}

			case 'attachCall': {
				return withOwner(body.value.program, async owner => owner.attach(body.value));
			}

			case 'settle': {
				return withOwner(body.value.program, async owner => owner.settle(body.value));
			}

			case 'release': {
				return withOwner(body.value.program, async owner => owner.release(body.value));
			}

			case 'restoreHistory': {
				return withOwner(body.value.program, async owner => owner.restore(body.value));
			}

			case 'cancelCall': {
				return withOwner(body.value.program, async owner => owner.cancel(body.value));
			}

			case 'acquireSlot': {
				const {shard, row, slot, limit} = body.value;
				if (!ownership().get(shard as ShardId)) {
					return {case: 'notOwner', value: {shard}};
				}

				return slots.acquire(row as RowKey, slot, limit)
					? {case: 'acknowledged', value: {}}
					: {case: 'refused', value: {code: 'limit-reached', message: 'All slots of the row are taken.'}};
			}

			case 'releaseSlot': {
				slots.release(body.value.row as RowKey, body.value.slot);
				return {case: 'acknowledged', value: {}};
			}

			case 'programsAlive': {
				return listAlive(body.value.programs);
			}

			case 'ownersSince': {
				return describeOwner(body.value.shard as ShardId);
			}

			case 'quarantine': {
				crashes.merge(body.value.fingerprint, body.value.crashesAlone);
				return {case: 'acknowledged', value: {}};
			}

			default: {
				return undefined;
			}
		}
	};
};

/**
Keeps one index of records for each replica group of which a disk has any.
*/
import type {Record as WireRecord} from '@siskinhub/proto/gen/siskinhub/peer/v1/peer_pb.js';
import type {GroupId} from '../membership/group-id.js';
import {createCopyIndex} from './create-copy-index.js';

/** Creates empty indexes. */
export const createGroupIndexes = () => {
	const indexes = new Map<GroupId, ReturnType<typeof createCopyIndex>>();

	const get = (group: GroupId): ReturnType<typeof createCopyIndex> => {
		const existing = indexes.get(group);
		if (existing) {
			return existing;
		}

		const index = createCopyIndex();
		indexes.set(group, index);
		return index;
	};

	return {
		get,
		/** Merges the record into its group; returns whether it changed anything but an expiry. */
		add: (record: WireRecord): boolean => get(record.group as GroupId).add(record),
		/** Drops records that have expired or been superseded and returns the rest. */
		records: (): readonly WireRecord[] => [...indexes.values()].flatMap(index => index.records()),
		forgetExpired(now: number): void {
			for (const index of indexes.values()) {
				index.forgetExpired(now);
			}
		},
		size: (): number => [...indexes.values()].reduce((sum, index) => sum + index.size(), 0),
	};
};

import {expect, test} from 'vitest';
import type {HostId} from '@siskinhub/core/ids/host-id.js';
import type {HistoryHolder} from '@siskinhub/core/owner/history-holder.js';
import {updateHolderSets} from '../update-holder-sets.js';

const holder = (host: string, dataFolderId = `folder-${host}`): HistoryHolder => ({host: host as HostId, peerAddress: host, dataFolderId});
const [a, b, c, d] = ['a', 'b', 'c', 'd'].map(host => holder(host)) as [HistoryHolder, HistoryHolder, HistoryHolder, HistoryHolder];

test('a shard without holders gets all that are available', () => {
	expect(updateHolderSets({holders: [], sources: []}, [a, b])).toEqual({holders: [a, b], sources: []});
});

test('holders are kept while all of them can be reached', () => {
	const before = {holders: [a, b, c], sources: [[d]]};
	expect(updateHolderSets(before, [b, c, a])).toBe(before);
});

test('a single holder is joined by others once they are available, and the result is stable', () => {
	const after = updateHolderSets({holders: [a], sources: []}, [a, b]);
	expect(after).toEqual({holders: [a, b], sources: [[a]]});
	expect(updateHolderSets(after, [b, a])).toBe(after);
});

test('a lost holder or a replaced data folder is replaced', () => {
	expect(updateHolderSets({holders: [a, b, c], sources: []}, [a, c, d])).toEqual({holders: [a, c, d], sources: [[a, b, c]]});
	expect(updateHolderSets({holders: [a, b], sources: []}, [a, holder('b', 'new')])).toEqual({holders: [a, holder('b', 'new')], sources: [[a, b]]});
});

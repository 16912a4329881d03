/**
Guards against a delayed takeover: an owner that stops as planned hands its shards
over while the platform's list still has it as live. The next in rank must not
wait for it.
*/
import type {ShardId} from '@siskinhub/core/ids/shard-id.js';
import type {PlatformHost} from '@siskinhub/platform/platform-host.js';
import {expect, it} from 'vitest';
import {createLeavingHostTracker} from '../../directory/create-leaving-host-tracker.js';
import {createCandidateRanking} from '../create-candidate-ranking.js';

const SHARD = 1 as ShardId;
const entries: readonly PlatformHost[] = ['e1', 'e2', 'e3'].map(id => ({
	id, role: 'entry', peerAddress: id, dataCentre: 'delta-a', state: 'live',
}));
const hash = (text: string): number => text.codePointAt(text.length - 1)!;

const createRank = () => {
	const leaving = createLeavingHostTracker();
	const rank = createCandidateRanking({entries: () => entries, hash, isLeaving: leaving.isLeaving});
	return {leaving, list: () => rank(SHARD).map(({id}) => id)};
};

it('skips a host that announced that it is leaving although the list has it as live', () => {
	const {leaving, list} = createRank();
	expect(list()).toEqual(['e3', 'e2', 'e1']);
	leaving.recordHeartbeat({host: 'e3', instance: 'i1'}, true);
	expect(list()).toEqual(['e2', 'e1']);
});

it('includes a host again after the first heartbeat of its next process', () => {
	const {leaving, list} = createRank();
	leaving.recordHeartbeat({host: 'e3', instance: 'i1'}, true);
	leaving.recordHeartbeat({host: 'e3', instance: 'i2'}, false);
	expect(list()).toEqual(['e3', 'e2', 'e1']);
});

it('ignores a late heartbeat of the leaving process', () => {
	const {leaving, list} = createRank();
	leaving.recordHeartbeat({host: 'e3', instance: 'i1'}, true);
	leaving.recordHeartbeat({host: 'e3', instance: 'i1'}, false);
	expect(list()).toEqual(['e2', 'e1']);
});

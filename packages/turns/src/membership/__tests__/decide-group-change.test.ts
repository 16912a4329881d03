import {describe, expect, it} from 'vitest';
import {countGroupsByDisk} from '../count-groups-by-disk.js';
import {decideGroupChange} from '../decide-group-change.js';
import type {GroupId} from '../group-id.js';
import type {Holder} from '../holder.js';
import type {HolderList} from '../holder-list.js';
import type {PlannerView} from '../planner-view.js';

const GROUP = 1 as GroupId;
const [a, b, c, d] = ['a', 'b', 'c', 'd'].map(name => ({
	diskId: name, host: `host-${name}`, address: `http://${name}`, dataCentre: 'z',
})) as [Holder, Holder, Holder, Holder];

/** Every disk is a candidate unless it is lost, unreachable or retiring. */
const decide = (list: HolderList | undefined, rest: Partial<PlannerView> = {}) => {
	const reachable = rest.reachable ?? new Set(['a', 'b', 'c', 'd']);
	const retiring = rest.retiring ?? new Set<string>();
	return decideGroupChange({
		candidates: [a, b, c, d].filter(({diskId, host}) => reachable.has(diskId) && !retiring.has(host)), lost: new Set(), losses: 1, groupsByDisk: countGroupsByDisk(list ? [list] : []), ...rest, reachable, retiring,
	}, GROUP, list);
};

const summarize = (change: ReturnType<typeof decide>) => change.kind === 'propose'
	? {current: change.list.current.map(({diskId}) => diskId).join(''), next: change.list.next?.map(({diskId}) => diskId).join('')}
	: change.kind;

const REACHABLE_WITHOUT_C = {lost: new Set(['c']), reachable: new Set(['a', 'b', 'd'])};

describe('decideGroupChange', () => {
	it('gives a new group its members at once, and none while a write could not survive a loss', () => {
		const first = decide(undefined, {candidates: [a, b, c]});
		expect(first.kind === 'propose' && first.list.current.map(({diskId}) => diskId).toSorted()).toEqual(['a', 'b', 'c']);
		expect(first.kind === 'propose' && first.list.next).toBeUndefined();
		expect(summarize(decide(undefined, {candidates: [a]}))).toBe('none');
	});

	it('fills a group that is too small', () => {
		expect(summarize(decide({version: 3, current: [a, b]}, {candidates: [a, b, d]}))).toEqual({current: 'ab', next: 'abd'});
	});

	it('leaves a healthy group alone, however many other disks there are', () => {
		expect(summarize(decide({version: 3, current: [a, b, c]}))).toBe('none');
	});

	it('replaces a lost disk with another one in one step', () => {
		expect(summarize(decide({version: 3, current: [a, b, c]}, REACHABLE_WITHOUT_C))).toEqual({current: 'abc', next: 'abd'});
	});

	it('keeps a lost disk on the list while there is none to replace it, since it may come back', () => {
		expect(summarize(decide({version: 3, current: [a, b, c]}, {...REACHABLE_WITHOUT_C, candidates: [a, b]}))).toBe('none');
	});

	it('does nothing for a group of which no read quorum is reachable', () => {
		const cutOff = {lost: new Set(['b', 'c']), reachable: new Set(['a', 'd'])};
		expect(summarize(decide({version: 3, current: [a, b, c]}, cutOff))).toBe('none');
		expect(summarize(decide({version: 4, current: [a, b, c], next: [a, b, d]}, cutOff))).toBe('none');
	});

	it('moves the copies of a retiring host, also without a replacement if enough others stay', () => {
		const retiring = new Set(['host-b']);
		expect(summarize(decide({version: 3, current: [a, b, c]}, {retiring}))).toEqual({current: 'abc', next: 'acd'});
		expect(summarize(decide({version: 3, current: [a, b, c]}, {retiring, candidates: [a, c]}))).toEqual({current: 'abc', next: 'ac'});
		expect(summarize(decide({version: 3, current: [a, b]}, {retiring, candidates: [a]}))).toBe('none');
	});

	it('has every remaining disk copy when one leaves, but only the new disk when one joins', () => {
		expect(decide({version: 4, current: [a, b], next: [a, b, c]})).toMatchObject({kind: 'complete', copying: [c], list: {version: 5, current: [a, b, c]}});
		expect(decide({version: 4, current: [a, b, c], next: [a, c]})).toMatchObject({kind: 'complete', copying: [a, c]});
	});

	it('cancels a change if a disk that must copy is lost, whether it joins or stays', () => {
		expect(summarize(decide({version: 4, current: [a, b], next: [a, b, d]}, {lost: new Set(['d'])}))).toEqual({current: 'ab', next: undefined});
		expect(summarize(decide({version: 4, current: [a, b, c], next: [a, b, d]}, {lost: new Set(['b'])}))).toEqual({current: 'abc', next: undefined});
	});
});

import {describe, expect, it} from 'vitest';
import {decideHolderChange} from '../decide-holder-change.js';
import type {Holder} from '../holder.js';
import type {HolderList} from '../holder-list.js';

const [a, b, c, d] = ['a', 'b', 'c', 'd'].map(name => ({diskId: name, host: `host-${name}`, address: `http://${name}`})) as [Holder, Holder, Holder, Holder];

type View = Parameters<typeof decideHolderChange>[0];

const decide = (self: Holder, list: HolderList | undefined, rest: Partial<Omit<View, 'self' | 'list'>> = {}) => decideHolderChange({
	self, list, reachable: new Set(['a', 'b', 'c', 'd']), lost: new Set(), retiring: new Set(), losses: 1, ...rest,
});

const idsOf = (change: ReturnType<typeof decide>) => change.kind === 'propose'
	? {current: change.list.current.map(({diskId}) => diskId).join(''), next: change.list.next?.map(({diskId}) => diskId).join('')}
	: change.kind;

describe('decideHolderChange', () => {
	it('begins the list with the first disk', () => {
		expect(idsOf(decide(a, undefined))).toEqual({current: 'a', next: undefined});
	});

	it('adds a new disk beside holders that answer', () => {
		expect(idsOf(decide(d, {version: 3, current: [a, b, c]}))).toEqual({current: 'abc', next: 'abcd'});
	});

	it('replaces the disk that the same host had before', () => {
		const wiped = {...c, diskId: 'x'};
		expect(idsOf(decide(wiped, {version: 3, current: [a, b, c]}))).toEqual({current: 'abc', next: 'abx'});
	});

	it('replaces a lost disk by a new one in one step', () => {
		expect(idsOf(decide(d, {version: 3, current: [a, b, c]}, {lost: new Set(['c']), reachable: new Set(['a', 'b', 'd'])}))).toEqual({current: 'abc', next: 'abd'});
	});

	it('waits with a join until a read quorum answers', () => {
		expect(idsOf(decide(d, {version: 3, current: [a, b, c]}, {reachable: new Set(['a', 'd'])}))).toBe('none');
	});

	it('joins through the one that is left of two', () => {
		const wiped = {...b, diskId: 'x'};
		expect(idsOf(decide(wiped, {version: 3, current: [a, b]}, {reachable: new Set(['a', 'x'])}))).toEqual({current: 'ab', next: 'ax'});
	});

	it('lets only one change be under way', () => {
		expect(idsOf(decide(d, {version: 3, current: [a, b], next: [a, b, c]}))).toBe('none');
	});

	it('removes a lost disk only where enough others are left to lose one more', () => {
		const lost = {lost: new Set(['d']), reachable: new Set(['a', 'b', 'c'])};
		expect(idsOf(decide(a, {version: 3, current: [a, b, c, d]}, lost))).toEqual({current: 'abcd', next: 'abc'});
		expect(idsOf(decide(a, {version: 3, current: [a, b, d]}, {lost: new Set(['d']), reachable: new Set(['a', 'b'])}))).toBe('none');
	});

	it('removes nobody where this host is the one that is cut off', () => {
		expect(idsOf(decide(a, {version: 3, current: [a, b, c]}, {lost: new Set(['b', 'c']), reachable: new Set(['a'])}))).toBe('none');
	});

	it('removes nobody in a split into halves', () => {
		expect(idsOf(decide(a, {version: 3, current: [a, b, c, d]}, {lost: new Set(['c', 'd']), reachable: new Set(['a', 'b'])}))).toBe('none');
	});

	it('empties a host that operators want emptied, as long as enough others stay', () => {
		const retiring = {retiring: new Set(['host-b'])};
		expect(idsOf(decide(a, {version: 3, current: [a, b, c]}, retiring))).toEqual({current: 'abc', next: 'ac'});
		expect(idsOf(decide(a, {version: 3, current: [a, b]}, retiring))).toBe('none');
	});

	it('does not let an emptied host join again', () => {
		expect(idsOf(decide(d, {version: 3, current: [a, b, c]}, {retiring: new Set(['host-d'])}))).toBe('none');
	});

	it('has every disk that stays copy where one leaves, and only the new one where none does', () => {
		const joining = decide(a, {version: 4, current: [a, b, c], next: [a, b, c, d]});
		expect(joining).toMatchObject({kind: 'complete', copying: [d], list: {version: 5, current: [a, b, c, d]}});
		const leaving = decide(a, {version: 4, current: [a, b, c], next: [a, c]});
		expect(leaving).toMatchObject({kind: 'complete', copying: [a, c]});
	});

	it('takes a join back whose disk is gone again', () => {
		expect(idsOf(decide(a, {version: 4, current: [a, b, c], next: [a, b, c, d]}, {lost: new Set(['d'])}))).toEqual({current: 'abc', next: undefined});
	});

	it('leaves the work to the first holder that is reachable', () => {
		const list = {version: 4, current: [a, b, c], next: [a, b, c, d]};
		expect(decide(b, list).kind).toBe('none');
		expect(decide(b, list, {reachable: new Set(['b', 'c', 'd'])}).kind).toBe('complete');
	});
});

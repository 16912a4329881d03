import {describe, expect, it} from 'vitest';
import {decideHolderChange} from '../decide-holder-change.js';
import type {Holder} from '../holder.js';
import type {HolderList} from '../holder-list.js';

const [a, b, c, d] = ['a', 'b', 'c', 'd'].map(name => ({diskId: name, host: `host-${name}`, address: `http://${name}`})) as [Holder, Holder, Holder, Holder];

type View = Parameters<typeof decideHolderChange>[0];

const decide = (self: Holder, list: HolderList | undefined, rest: Partial<Omit<View, 'self' | 'list'>> = {}) => decideHolderChange({
	self, list, reachable: new Set(['a', 'b', 'c', 'd']), lost: new Set(), retiring: new Set(), losses: 1, ...rest,
});

const summarize = (change: ReturnType<typeof decide>) => change.kind === 'propose'
	? {current: change.list.current.map(({diskId}) => diskId).join(''), next: change.list.next?.map(({diskId}) => diskId).join('')}
	: change.kind;

describe('decideHolderChange', () => {
	it('creates the list with the first disk', () => {
		expect(summarize(decide(a, undefined))).toEqual({current: 'a', next: undefined});
	});

	it('adds a new disk while the listed holders are reachable', () => {
		expect(summarize(decide(d, {version: 3, current: [a, b, c]}))).toEqual({current: 'abc', next: 'abcd'});
	});

	it('replaces the former disk of the same host', () => {
		const wiped = {...c, diskId: 'x'};
		expect(summarize(decide(wiped, {version: 3, current: [a, b, c]}))).toEqual({current: 'abc', next: 'abx'});
	});

	it('replaces a lost disk with a new one in one step', () => {
		expect(summarize(decide(d, {version: 3, current: [a, b, c]}, {lost: new Set(['c']), reachable: new Set(['a', 'b', 'd'])}))).toEqual({current: 'abc', next: 'abd'});
	});

	it('does not join until a read quorum is reachable', () => {
		expect(summarize(decide(d, {version: 3, current: [a, b, c]}, {reachable: new Set(['a', 'd'])}))).toBe('none');
	});

	it('joins while only one of two holders is left', () => {
		const wiped = {...b, diskId: 'x'};
		expect(summarize(decide(wiped, {version: 3, current: [a, b]}, {reachable: new Set(['a', 'x'])}))).toEqual({current: 'ab', next: 'ax'});
	});

	it('allows only one change at a time', () => {
		expect(summarize(decide(d, {version: 3, current: [a, b], next: [a, b, c]}))).toBe('none');
	});

	it('removes a lost disk only if enough others remain to lose one more', () => {
		const lost = {lost: new Set(['d']), reachable: new Set(['a', 'b', 'c'])};
		expect(summarize(decide(a, {version: 3, current: [a, b, c, d]}, lost))).toEqual({current: 'abcd', next: 'abc'});
		expect(summarize(decide(a, {version: 3, current: [a, b, d]}, {lost: new Set(['d']), reachable: new Set(['a', 'b'])}))).toBe('none');
	});

	it('removes no holder if this host is the one that is cut off', () => {
		expect(summarize(decide(a, {version: 3, current: [a, b, c]}, {lost: new Set(['b', 'c']), reachable: new Set(['a'])}))).toBe('none');
	});

	it('removes no holder in a network partition into halves', () => {
		expect(summarize(decide(a, {version: 3, current: [a, b, c, d]}, {lost: new Set(['c', 'd']), reachable: new Set(['a', 'b'])}))).toBe('none');
	});

	it('removes a retiring host if enough others stay', () => {
		const retiring = {retiring: new Set(['host-b'])};
		expect(summarize(decide(a, {version: 3, current: [a, b, c]}, retiring))).toEqual({current: 'abc', next: 'ac'});
		expect(summarize(decide(a, {version: 3, current: [a, b]}, retiring))).toBe('none');
	});

	it('does not let a retiring host join', () => {
		expect(summarize(decide(d, {version: 3, current: [a, b, c]}, {retiring: new Set(['host-d'])}))).toBe('none');
	});

	it('has every remaining disk copy when one leaves, but only the new disk when one joins', () => {
		const joining = decide(a, {version: 4, current: [a, b, c], next: [a, b, c, d]});
		expect(joining).toMatchObject({kind: 'complete', copying: [d], list: {version: 5, current: [a, b, c, d]}});
		const leaving = decide(a, {version: 4, current: [a, b, c], next: [a, c]});
		expect(leaving).toMatchObject({kind: 'complete', copying: [a, c]});
	});

	it('cancels a join if its disk is lost', () => {
		expect(summarize(decide(a, {version: 4, current: [a, b, c], next: [a, b, c, d]}, {lost: new Set(['d'])}))).toEqual({current: 'abc', next: undefined});
	});

	it('lets only the first reachable holder act', () => {
		const list = {version: 4, current: [a, b, c], next: [a, b, c, d]};
		expect(decide(b, list).kind).toBe('none');
		expect(decide(b, list, {reachable: new Set(['b', 'c', 'd'])}).kind).toBe('complete');
	});
});

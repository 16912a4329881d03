import {describe, expect, it} from 'vitest';
import {createCrashBook} from '../create-crash-book.js';

const createClock = () => {
	let at = 1000;
	return {
		now: () => at,
		advance(ms: number) {
			at += ms;
		},
	};
};

describe('createCrashBook', () => {
	it('takes a request for dangerous once it broke off at three upstreams, however often at one of them', () => {
		const book = createCrashBook(createClock().now);
		for (const upstream of ['a', 'a', 'a', 'b', 'b']) {
			book.record('r', upstream);
		}

		expect(book.isDangerous('r')).toBe(false);
		book.record('r', 'c');
		expect(book.isDangerous('r')).toBe(true);
		expect(book.isDangerous('other')).toBe(false);
	});

	it('forgets crashes after a minute', () => {
		const clock = createClock();
		const book = createCrashBook(clock.now);
		book.record('r', 'a');
		clock.advance(40_000);
		book.record('r', 'b');
		book.record('r', 'c');
		expect(book.isDangerous('r')).toBe(true);
		clock.advance(30_000);
		expect(book.isDangerous('r')).toBe(false);
		expect(book.list().map(({upstream}) => upstream)).toEqual(['b', 'c']);
	});

	it('puts together what several processes saw once each, over those that pass it on', () => {
		const clock = createClock();
		const gateways = Array.from({length: 5}, () => createCrashBook(clock.now));
		const holder = createCrashBook(clock.now);
		for (const [index, gateway] of gateways.slice(0, 3).entries()) {
			gateway.record('r', `upstream-${index}`);
		}

		expect(gateways.some(gateway => gateway.isDangerous('r'))).toBe(false);
		for (const gateway of gateways) {
			holder.merge(gateway.list());
		}

		for (const gateway of gateways) {
			gateway.merge(holder.list());
		}

		expect(gateways.every(gateway => gateway.isDangerous('r'))).toBe(true);
	});

	it('does not keep an entry alive by passing it round', () => {
		const clock = createClock();
		const books = [createCrashBook(clock.now), createCrashBook(clock.now)] as const;
		books[0].record('r', 'a');
		for (let round = 0; round < 100; round++) {
			clock.advance(800);
			books[1].merge(books[0].list());
			books[0].merge(books[1].list());
		}

		expect(books.map(book => book.list())).toEqual([[], []]);
	});

	it('stays bounded and tells of the latest first', () => {
		const book = createCrashBook(createClock().now);
		for (let index = 0; index < 5000; index++) {
			book.record(`r${index}`, 'a');
		}

		expect(book.list().length).toBe(64);
		expect(book.list()[0]!.fingerprint).toBe('r4999');
	});
});

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
	it('marks a request as dangerous after crashes at three different upstreams, however many at one of them', () => {
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

	it('combines crashes that several processes saw once each, through a process that relays them', () => {
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

	it('does not extend the lifetime of an entry by relaying it', () => {
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

	it('bounds its list and returns the latest crashes first', () => {
		const book = createCrashBook(createClock().now);
		for (let index = 0; index < 5000; index++) {
			book.record(`r${index}`, 'a');
		}

		expect(book.list().length).toBe(64);
		expect(book.list()[0]!.fingerprint).toBe('r4999');
	});
});

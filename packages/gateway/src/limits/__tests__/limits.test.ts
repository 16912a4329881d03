import {
	afterEach, beforeEach, describe, expect, it, vi,
} from 'vitest';
import {createSeededRandom} from '../../__tests__/create-seeded-random.js';
import {simulateLimitedUpstream} from './simulate-limited-upstream.js';

const SETTLE_MS = 3000;
const WINDOW_MS = 4000;
const STEP_MS = 50;

beforeEach(() => {
	vi.useFakeTimers();
});

afterEach(() => {
	vi.useRealTimers();
});

type Sent = Awaited<ReturnType<typeof simulateLimitedUpstream>>;

/** The most that gateways which had been told sent in any window, beyond one and a half times what the limit allows. */
const findExcess = (sent: Sent, getLimit: (atMs: number) => number | undefined, fromMs: number, toMs: number): number => {
	let excess = -Infinity;
	for (let start = fromMs; start + WINDOW_MS <= toMs; start += STEP_MS) {
		let allowed = 0;
		for (let at = start; at < start + WINDOW_MS; at += STEP_MS) {
			allowed += (getLimit(at) ?? Infinity) * STEP_MS / 1000;
		}

		const count = sent.filter(({atMs, wasTold}) => wasTold && atMs >= start && atMs < start + WINDOW_MS).length;
		excess = Math.max(excess, count - (1.5 * allowed));
	}

	return excess;
};

const countBetween = (sent: Sent, fromMs: number, toMs: number): number => sent.filter(({atMs}) => atMs >= fromMs && atMs < toMs).length;

/** The users' rule allows this many beyond one and a half times the limit. */
const ALLOWED_EXCESS = 5;

// Guards against LIMIT: an upstream got far more requests from all gateways together than the limit that it had named.
describe('an upstream that names a limit', () => {
	it.each([5, 25, 60].flatMap(gateways => [2.1, 3.4, 6].map(limit => ({gateways, limit}))))('gets what it takes, and no more, from $gateways gateways at $limit a second', async ({gateways, limit}) => {
		const getLimit = () => limit;
		const sent = await simulateLimitedUpstream({
			gateways, holders: 5, requestsPerS: 80, getLimit, durationMs: 15_000, random: createSeededRandom(gateways),
		});
		expect(findExcess(sent, getLimit, SETTLE_MS, 15_000)).toBeLessThanOrEqual(ALLOWED_EXCESS);
		expect(countBetween(sent, SETTLE_MS, 15_000)).toBeGreaterThan(0.75 * limit * 12);
	});

	it('gets no more while the limit changes, and at once all that it takes when it names none any more', async () => {
		const getLimit = (atMs: number) => {
			if (atMs < 8000) {
				return 6;
			}

			return atMs < 16_000 ? 2.4 : undefined;
		};

		const sent = await simulateLimitedUpstream({
			gateways: 25, holders: 11, requestsPerS: 60, getLimit, durationMs: 20_000, random: createSeededRandom(7),
		});
		expect(findExcess(sent, getLimit, SETTLE_MS, 16_000)).toBeLessThanOrEqual(ALLOWED_EXCESS);
		expect(countBetween(sent, 18_000, 20_000)).toBeGreaterThan(60);
	});

	it('gets no more while holders that issue permits freeze and return, and goes on being used', async () => {
		const getLimit = () => 4;
		const sent = await simulateLimitedUpstream({
			gateways: 25,
			holders: 5,
			requestsPerS: 80,
			getLimit,
			durationMs: 22_000,
			isReachable: (_gateway, position, atMs) => !(position === 0 && atMs > 6000 && atMs < 11_000) && !(position === 1 && atMs > 9000 && atMs < 13_000),
			random: createSeededRandom(9),
		});
		expect(findExcess(sent, getLimit, SETTLE_MS, 22_000)).toBeLessThanOrEqual(ALLOWED_EXCESS);
		expect(countBetween(sent, 7000, 9000)).toBeGreaterThan(0);
	});

	it('gets no more from gateways that reach different holders', async () => {
		const getLimit = () => 6;
		const sent = await simulateLimitedUpstream({
			gateways: 60, holders: 5, requestsPerS: 120, getLimit, durationMs: 15_000, isReachable: (gateway, position) => position >= gateway % 3, random: createSeededRandom(11),
		});
		expect(findExcess(sent, getLimit, SETTLE_MS, 15_000)).toBeLessThanOrEqual(ALLOWED_EXCESS);
	});

	it('gets no more from gateways that restart and know nothing', async () => {
		const getLimit = () => 2;
		const sent = await simulateLimitedUpstream({
			gateways: 25, holders: 5, requestsPerS: 80, getLimit, durationMs: 15_000, restart: {atMs: 8000, gateways: 12}, random: createSeededRandom(13),
		});
		expect(findExcess(sent, getLimit, SETTLE_MS, 15_000)).toBeLessThanOrEqual(ALLOWED_EXCESS);
	});
});

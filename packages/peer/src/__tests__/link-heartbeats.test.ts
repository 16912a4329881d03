/**
When a link sends heartbeats.
*/
import {create} from '@bufbuild/protobuf';
import {FrameSchema, Role} from '@siskinhub/proto/gen/siskinhub/peer/v1/peer_pb.js';
import {
	afterEach, beforeEach, describe, expect, it, vi,
} from 'vitest';
import {createHeartbeatTicker} from '../create-heartbeat-ticker.js';
import {createLink} from '../create-link.js';

const INTERVAL_MS = 800;
const SILENCE_MS = 2000;
const MINUTE_MS = 60_000;

type Sent = {readonly kind: string; readonly at: number};

const startLink = (hasNews?: () => boolean) => {
	const sent: Sent[] = [];
	const link = createLink({
		hello: {host: 'a', instance: 'a-1', role: Role.ENTRY},
		heartbeatTicker: createHeartbeatTicker(INTERVAL_MS),
		silenceMs: SILENCE_MS,
		createHeartbeat: () => ({}),
		...(hasNews && {hasNews}),
		onMessage() {/* The test does not read messages. */},
		pauseDetector: {isWaking: () => false, countPauses: () => 0, stop: () => undefined},
	}, {
		push({body}) {
			sent.push({kind: String(body?.case), at: Date.now()});
		},
		close: () => undefined,
	}, () => undefined);
	link.receive(create(FrameSchema, {envelopes: [{body: {case: 'hello', value: {}}}]}));
	return {link, sent, countHeartbeats: () => sent.filter(({kind}) => kind === 'heartbeat').length};
};

/** Sends a message each `gapMs` for a minute, with the other side answering. */
const run = ({link}: ReturnType<typeof startLink>, gapMs: number): void => {
	for (let passedMs = 0; passedMs < MINUTE_MS; passedMs += gapMs) {
		vi.advanceTimersByTime(gapMs);
		link.send({case: 'cancelRun', value: {}});
		link.receive(create(FrameSchema, {envelopes: [{body: {case: 'cancelRun', value: {}}}]}));
	}
};

describe('the heartbeats of a link', () => {
	beforeEach(() => {
		vi.useFakeTimers();
	});
	afterEach(() => {
		vi.useRealTimers();
	});

	// Guards against SHORT: each link sent a heartbeat in each interval although it had just carried a request.
	it('are left out while messages show that the sender runs', () => {
		const started = startLink(() => false);
		run(started, 50);
		expect(started.countHeartbeats()).toBe(0);
		started.link.close('test over');
	});

	it('tell news at once, also on a link that carries messages', () => {
		let hasNews = false;
		const started = startLink(() => hasNews);
		run(started, 50);
		hasNews = true;
		vi.advanceTimersByTime(INTERVAL_MS);
		expect(started.countHeartbeats()).toBe(1);
		started.link.close('test over');
	});

	it('are always sent if it is not known whether they tell anything', () => {
		const started = startLink();
		run(started, 50);
		expect(started.countHeartbeats()).toBe(MINUTE_MS / INTERVAL_MS);
		started.link.close('test over');
	});

	it.each([100, 130, 199, 350, 700, 790, 799, 801, 1100])('leave no pause that the other side could take for silence, with a message each %d ms', gapMs => {
		const started = startLink(() => false);
		run(started, gapMs);
		const pauses = started.sent.slice(1).map(({at}, index) => at - started.sent[index]!.at);
		expect(Math.max(...pauses)).toBeLessThanOrEqual(INTERVAL_MS * 1.25);
		started.link.close('test over');
	});
});

import {Socket} from 'node:net';
import {Role} from '@siskinhub/proto/gen/siskinhub/peer/v1/peer_pb.js';
import {
	afterEach, beforeEach, expect, it, vi,
} from 'vitest';
import {createHeartbeatTicker} from '../create-heartbeat-ticker.js';
import {createPauseDetector} from '../create-pause-detector.js';
import {dialPeer} from '../dial-peer.js';

beforeEach(() => {
	vi.useFakeTimers();
});

afterEach(() => {
	vi.useRealTimers();
});

it('closes the link of a host that accepts no connection before the kernel would retransmit the SYN', async () => {
	const settings = {
		hello: {host: 'a', instance: 'a-1', role: Role.ENTRY},
		heartbeatTicker: createHeartbeatTicker(800),
		silenceMs: 2000,
		createHeartbeat: () => ({}),
		onMessage() {/* Nothing is sent to the dialling side. */},
		pauseDetector: createPauseDetector(2000, () => {/* The process is never paused. */}),
	};
	const link = dialPeer('http://10.0.0.1:1', settings, () => new Socket());
	expect(link.isOpen()).toBe(true);
	await vi.advanceTimersByTimeAsync(700);
	expect(link.isOpen()).toBe(false);
});

import {create} from '@bufbuild/protobuf';
import {FrameSchema, Role} from '@siskinhub/proto/gen/siskinhub/peer/v1/peer_pb.js';
import {expect, test} from 'vitest';
import {createHeartbeatTicker} from '../create-heartbeat-ticker.js';
import {createLink} from '../create-link.js';
import type {LinkSettings} from '../link-settings.js';

const startLink = (countPauses: () => number) => {
	const received: string[] = [];
	const sent: string[] = [];
	const settings: LinkSettings = {
		hello: {host: 'a', instance: 'a-1', role: Role.ENTRY},
		heartbeatTicker: createHeartbeatTicker(10_000),
		silenceMs: 40_000,
		createHeartbeat: () => ({}),
		onMessage({body}) {
			received.push(String(body.case));
		},
		pauseDetector: {isWaking: () => false, countPauses, stop: () => undefined},
	};
	const link = createLink(settings, {
		push({body}) {
			sent.push(String(body?.case));
		},
		close: () => undefined,
	}, () => undefined);
	return {link, received, sent};
};

const createMessageFrame = () => create(FrameSchema, {envelopes: [{id: 1, body: {case: 'cancelRun', value: {}}}]});

test('a link that was opened before a pause drops what it receives and closes, also after the timers ran', () => {
	let pauseCount = 0;
	const {link, received} = startLink(() => pauseCount);
	link.receive(createMessageFrame());
	expect(received).toEqual(['cancelRun']);
	pauseCount++;
	link.receive(createMessageFrame());
	expect(received).toEqual(['cancelRun']);
	expect(link.isOpen()).toBe(false);
});

test('messages are held until the first frame from the other side, so that a paused process buffers none', () => {
	const {link, sent} = startLink(() => 0);
	link.send({case: 'cancelRun', value: {}});
	expect(sent).toEqual(['hello']);
	link.receive(create(FrameSchema, {envelopes: [{body: {case: 'hello', value: {}}}]}));
	expect(sent).toEqual(['hello', 'cancelRun']);
	link.close('test over');
});

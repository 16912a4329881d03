import {create} from '@bufbuild/protobuf';
import {FrameSchema, Role} from '@siskinhub/proto/gen/siskinhub/peer/v1/peer_pb.js';
import {expect, test} from 'vitest';
import {createLink} from '../create-link.js';
import type {LinkSettings} from '../link-settings.js';

const startLink = (pauses: () => number) => {
	const received: string[] = [];
	const sent: string[] = [];
	const settings: LinkSettings = {
		hello: {host: 'a', instance: 'a-1', role: Role.ENTRY},
		heartbeatIntervalMs: 10_000,
		silenceMs: 40_000,
		describeSelf: () => ({}),
		onMessage({body}) {
			received.push(String(body.case));
		},
		pauseDetector: {isWaking: () => false, pauses, stop: () => undefined},
	};
	const link = createLink(settings, {
		push({body}) {
			sent.push(String(body?.case));
		},
		close: () => undefined,
	}, () => undefined);
	return {link, received, sent};
};

const message = () => create(FrameSchema, {envelopes: [{id: 1, body: {case: 'cancelRun', value: {}}}]});

test('what comes over a link that is older than a pause is dropped, also after the timers ran', () => {
	let pauses = 0;
	const {link, received} = startLink(() => pauses);
	link.receive(message());
	expect(received).toEqual(['cancelRun']);
	pauses++;
	link.receive(message());
	expect(received).toEqual(['cancelRun']);
	expect(link.isOpen()).toBe(false);
});

test('messages wait until the other side was heard, so that a paused process buffers none', () => {
	const {link, sent} = startLink(() => 0);
	link.send({case: 'cancelRun', value: {}});
	expect(sent).toEqual(['hello']);
	link.receive(create(FrameSchema, {envelopes: [{body: {case: 'hello', value: {}}}]}));
	expect(sent).toEqual(['hello', 'cancelRun']);
	link.close('test over');
});

import {expect, test} from 'vitest';
import {formatTimeline} from '../format-timeline.js';
import {parseHops} from '../parse-hops.js';

const LOG = [
	'{"msg":"entry started","host":"entry-1"}',
	'{"msg":"span","host":"sidecar-1","span":"sidecar.run","traceId":"t","spanId":"c","parentSpanId":"b","startMs":1030,"durationMs":5,"outcome":"ok"}',
	'a line that is not JSON',
	'{"msg":"span","host":"entry-1","span":"entry.call","traceId":"t","spanId":"b","parentSpanId":"a","startMs":1010,"durationMs":40,"outcome":"ended"}',
	'{"msg":"span","host":"entry-1","span":"entry.call","traceId":"other","spanId":"d","startMs":1000,"durationMs":1}',
].join('\n');

test('prints the hops of a step below it, with children indented', () => {
	const steps = [
		{
			title: 'turn 1', via: 'entry-1', traceId: 't', startedAt: 1000, endedAt: 1050,
		},
		{title: 'tool pause', startedAt: 1050, endedAt: 1250},
	];
	expect(formatTimeline(steps, parseHops(LOG)).split('\n').map(line => line.trim().replaceAll(/\s+/gv, ' '))).toEqual([
		'0 ms turn 1 via entry-1: 50 ms',
		'10 ms entry-1 entry.call 40 ms ended',
		'30 ms sidecar-1 sidecar.run 5 ms ok',
		'50 ms tool pause: 200 ms',
	]);
});

import type {ProgramId} from '@siskinhub/core/ids/program-id.js';
import type {RequestId} from '@siskinhub/core/ids/request-id.js';
import {
	afterEach, beforeEach, expect, it, vi,
} from 'vitest';
import {createGatewayMetrics} from '../../metrics/create-gateway-metrics.js';
import {createActiveCalls} from '../create-active-calls.js';
import {logCutCalls} from '../log-cut-calls.js';

const CALLS = 180;

beforeEach(() => {
	vi.useFakeTimers();
});
afterEach(() => {
	vi.useRealTimers();
});

// Guards against the incident of 5 December 2026: requests that the end of a process cut were named in no line.
it('names the oldest of the requests that are cut and counts all of them', async () => {
	const calls = createActiveCalls();
	const metrics = createGatewayMetrics();
	for (let index = 0; index < CALLS; index++) {
		const active = calls.begin({
			id: `r${index}` as RequestId, method: 'POST', path: '/', host: 'h', headers: [], program: {id: 'p' as ProgramId},
		}, {isStarted: () => false}, Date.now());
		vi.advanceTimersByTime(10);
		active.phase = index % 3 === 0 ? 'passed-on' : 'waiting-for-connection';
		active.wasPassedOn = index % 3 === 0;
	}

	const lines: Array<readonly [string, unknown]> = [];
	logCutCalls(calls.list(), {
		metrics, log: {
			info(msg, fields) {
				lines.push([msg, fields]);
			},
		},
	});
	expect(lines).toHaveLength(51);
	expect(lines[0]).toEqual(['call cut by the end of the process', {
		requestId: 'r0', programId: 'p', phase: 'passed-on', wasPassedOn: true, ageMs: 1800,
	}]);
	expect(lines[49]).toEqual(['call cut by the end of the process', {
		requestId: 'r49', programId: 'p', phase: 'waiting-for-connection', wasPassedOn: false, ageMs: 1310,
	}]);
	expect(lines[50]).toMatchObject(['calls cut by the end of the process left out', {count: 130}]);
	const text = await metrics.render();
	expect(text).toContain('siskinhub_cut_calls_total{phase="passed-on"} 60');
	expect(text).toContain('siskinhub_cut_calls_total{phase="waiting-for-connection"} 120');
});

it('writes nothing if nothing is cut', () => {
	const info = vi.fn<() => void>();
	logCutCalls([], {log: {info}, metrics: createGatewayMetrics()});
	expect(info).not.toHaveBeenCalled();
});

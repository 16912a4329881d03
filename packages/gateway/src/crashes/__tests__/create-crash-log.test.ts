import {
	afterEach, beforeEach, expect, it, vi,
} from 'vitest';
import {createCrashLog} from '../create-crash-log.js';

beforeEach(() => {
	vi.useFakeTimers();
});

afterEach(() => {
	vi.useRealTimers();
});

it('bounds the lines about an engine that breaks off hundreds of requests, and counts the others', () => {
	const messages: string[] = [];
	const fieldsOf: Array<Record<string, unknown>> = [];
	const log = createCrashLog({
		info(message, fields = {}) {
			messages.push(message);
			fieldsOf.push(fields);
		},
	});
	for (let index = 0; index < 300; index++) {
		log.recordNote({fingerprint: `r${index}`, upstream: 'u 1', ageMs: 0.4}, 'attempt');
	}

	log.recordBlock('id-1', [{fingerprint: 'r1', upstream: 'u 1', ageMs: 7.6}]);
	expect(messages.length).toBe(21);
	expect(fieldsOf[3]).toEqual({
		fingerprint: 'r3', upstream: 'u 1', source: 'attempt', ageMs: 0,
	});
	expect(fieldsOf[20]).toEqual({requestId: 'id-1', fingerprint: 'r1', crashes: [{upstream: 'u 1', ageMs: 8}]});
	vi.advanceTimersByTime(3000);
	expect(messages.slice(21)).toEqual(['crash notes left out']);
	expect(fieldsOf[21]).toEqual({count: 280, withinMs: 2000});
});

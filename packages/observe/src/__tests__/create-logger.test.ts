import {expect, test, vi} from 'vitest';
import {createLogger} from '../create-logger.js';

const createCapturedLogger = (level: 'info' | 'silent') => {
	const lines: string[] = [];
	return {lines, log: createLogger({level, host: 'entry-1', write: line => lines.push(line)})};
};

test('a line is one JSON object with time, level, host, message and fields', () => {
	vi.useFakeTimers({now: 0});
	const {lines, log} = createCapturedLogger('info');
	log.child({programId: 'p1-a'}).warn('turn\nrefused', {requestId: 'r', host: 'other'});
	vi.useRealTimers();
	expect(lines).toHaveLength(1);
	expect(lines[0]).not.toContain('\n');
	expect(JSON.parse(lines[0]!)).toEqual({
		time: '1970-01-01T00:00:00.000Z', level: 'warn', host: 'entry-1', msg: 'turn\nrefused', programId: 'p1-a', requestId: 'r',
	});
});

test('lines below the level are not logged, not even by child loggers', () => {
	const {lines, log} = createCapturedLogger('info');
	log.debug('a');
	log.child({}).trace('b');
	log.info('c');
	expect(lines).toHaveLength(1);
	const silent = createCapturedLogger('silent');
	silent.log.error('d');
	expect(silent.lines).toEqual([]);
});

test('errors are logged with name and message, and fields that JSON cannot express do not throw', () => {
	const {lines, log} = createCapturedLogger('info');
	const circular: Record<string, unknown> = {};
	circular.self = circular;
	log.error('a', {error: new TypeError('bad'), size: 3n});
	log.error('b', circular);
	expect(JSON.parse(lines[0]!)).toMatchObject({error: {name: 'TypeError', message: 'bad'}, size: '3'});
	expect(JSON.parse(lines[1]!)).toMatchObject({msg: 'b', fieldsError: expect.stringContaining('circular') as string});
});

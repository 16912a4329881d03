import type {RequestId} from '@siskinhub/core/ids/request-id.js';
import type {HolderClient} from '@siskinhub/turns/client/holder-client.js';
import {
	afterEach, beforeEach, describe, expect, it, vi,
} from 'vitest';
import {createOriginRecorder} from '../create-origin-recorder.js';

const upstream = (softwareVersion: string) => ({service: 's', softwareVersion});

/** The holders answer each write after the time that is given for it, in order; `undefined` stands for no quorum. */
const createRecorder = (answers: ReadonlyArray<number | undefined>, expected?: string) => {
	const written: string[] = [];
	const holderClient: Pick<HolderClient, 'recordOrigin'> = {
		async recordOrigin({version, sequence}) {
			const afterMs = answers[written.length];
			written.push(`${sequence} ${version}`);
			await new Promise(resolve => {
				setTimeout(resolve, afterMs ?? 1200);
			});
			return afterMs !== undefined;
		},
	};
	return {written, recorder: createOriginRecorder({holderClient, call: {id: 'r' as RequestId}, expected: expected === undefined ? undefined : {service: 's', version: expected}})};
};

/** Resolves to the answer and how long it took, in milliseconds. */
const measure = async (answer: boolean | Promise<boolean>): Promise<readonly [boolean, number]> => {
	const startedAt = Date.now();
	const value = await answer;
	return [value, Date.now() - startedAt];
};

describe('createOriginRecorder', () => {
	beforeEach(() => {
		vi.useFakeTimers();
	});
	afterEach(() => {
		vi.useRealTimers();
	});

	it('passes the first event on at once if the origin was stored while the upstream worked', async () => {
		const {recorder} = createRecorder([10]);
		recorder.begin(upstream('v1'));
		await vi.advanceTimersByTimeAsync(20);
		expect(recorder.confirm()).toBe(true);
	});

	it('confirms an expected origin with the number under which it was stored with the tokens', async () => {
		const {recorder, written} = createRecorder([0], 'v1');
		recorder.begin(upstream('v1'));
		recorder.begin(upstream('v1'));
		await vi.advanceTimersByTimeAsync(1);
		expect(written).toEqual(['1 v1']);
		expect(recorder.confirm()).toBe(true);
	});

	it('waits for the origin of the chosen upstream if another one was expected, and passes nothing on without it', async () => {
		const {recorder, written} = createRecorder([undefined], 'v1');
		recorder.begin(upstream('v2'));
		expect(written).toEqual(['2 v2']);
		expect(recorder.origin()).toEqual({service: 's', version: 'v2'});
		const answer = measure(recorder.confirm());
		await vi.advanceTimersByTimeAsync(2000);
		const [mayPass] = await answer;
		expect(mayPass).toBe(false);
	});

	it('waits for the origin, but not longer than an event may be late', async () => {
		const {recorder} = createRecorder([undefined]);
		recorder.begin(upstream('v1'));
		const answer = measure(recorder.confirm());
		await vi.advanceTimersByTimeAsync(2000);
		const [mayPass, waitedMs] = await answer;
		expect(mayPass).toBe(true);
		expect(waitedMs).toBeLessThanOrEqual(100);
	});

	it('does not pass an event on while another version may still be taken for its origin', async () => {
		const {recorder, written} = createRecorder([5, undefined]);
		recorder.begin(upstream('v1'));
		recorder.begin(upstream('v2'));
		const answer = measure(recorder.confirm());
		await vi.advanceTimersByTimeAsync(2000);
		expect(await answer).toEqual([false, 1200]);
		expect(written).toEqual(['1 v1', '2 v2']);
	});

	it('writes once for several tries at one version', () => {
		const {recorder, written} = createRecorder([5, 5]);
		recorder.begin(upstream('v1'));
		recorder.begin(upstream('v1'));
		expect(written).toEqual(['1 v1']);
	});
});

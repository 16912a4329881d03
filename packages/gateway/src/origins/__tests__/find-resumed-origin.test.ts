import type {RequestId} from '@siskinhub/core/ids/request-id.js';
import type {HolderClient} from '@siskinhub/turns/client/holder-client.js';
import {expect, it} from 'vitest';
import type {CallHead} from '../../call/call-head.js';
import type {Route} from '../../routes/route.js';
import {findResumedOrigin} from '../find-resumed-origin.js';

const ORIGIN = {
	service: 's', version: 'v1', sequence: 1, takenUpBy: '',
};

const holders: Pick<HolderClient, 'readOrigin'> = {readOrigin: async ({attempt}) => attempt === 'a' ? {kind: 'found', origin: ORIGIN} : {kind: 'unknown'}};

const find = async (call: {readonly resumes?: string; readonly lastEventId?: string}, targets: Route['targets'] = [{service: 's', weight: 1}], hasSeveralVersions = true) => {
	const head = {id: 'b', lastEventId: call.lastEventId, resumes: call.resumes as RequestId | undefined};
	const isResumable = true;
	return findResumedOrigin(holders, head as CallHead, {isResumable, targets} as Route, {timeoutMs: 1000, hasSeveralVersions: () => hasSeveralVersions});
};

it('finds the origin of the attempt that is taken up', async () => {
	expect(await find({resumes: 'a', lastEventId: '3'})).toEqual({kind: 'resumed', origin: ORIGIN});
	expect(await find({resumes: 'never', lastEventId: '3'})).toEqual({kind: 'unknown'});
	expect(await find({lastEventId: '3'})).toEqual({kind: 'unknown'});
});

it('lets a caller that does not name the attempt go on only while there is one version', async () => {
	expect(await find({lastEventId: '3'}, undefined, false)).toEqual({kind: 'new'});
	expect(await find({lastEventId: '3'}, undefined, true)).toEqual({kind: 'unknown'});
});

it('takes a request without an earlier event for a new stream', async () => {
	expect(await find({})).toEqual({kind: 'new'});
	expect(await find({resumes: 'a'})).toEqual({kind: 'new'});
});

it('does not lead a stream to a service to which its route leads no more', async () => {
	expect(await find({resumes: 'a', lastEventId: '3'}, [{service: 't', weight: 1}])).toEqual({kind: 'unknown'});
	expect(await find({resumes: 'a', lastEventId: '3'}, [{service: 's', weight: 0}, {service: 't', weight: 1}])).toEqual({kind: 'unknown'});
});

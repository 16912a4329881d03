/**
Finds the software with which a stream that its caller takes up again must go on.
*/
import type {HolderClient} from '@siskinhub/turns/client/holder-client.js';
import type {CallHead} from '../call/call-head.js';
import type {Route} from '../routes/route.js';
import {isKeptTurn} from './is-kept-turn.js';

type OriginRecord = Extract<Awaited<ReturnType<HolderClient['readOrigin']>>, {kind: 'found'}>['origin'];

/** `new`: the request begins a stream. `unknown`: nobody knows the origin, or the route leads to its service no more, so the stream must not go on. */
type Resumption = {readonly kind: 'resumed'; readonly origin: OriginRecord} | {readonly kind: 'new' | 'unknown' | 'unavailable'};

type FindOptions = {
	readonly timeoutMs: number;
	/** Whether upstreams of several software versions serve the route now. */
	readonly hasSeveralVersions: () => boolean;
};

/** A caller that does not name the attempt that began its stream may go on only while all upstreams have one version, and never in a turn that is kept, whose beginning could not be found. */
export const findResumedOrigin = async (holderClient: Pick<HolderClient, 'readOrigin'>, call: CallHead, route: Route, {timeoutMs, hasSeveralVersions}: FindOptions): Promise<Resumption> => {
	if (!route.isResumable || call.lastEventId === undefined) {
		return {kind: 'new'};
	}

	if (call.resumes === undefined) {
		return {kind: isKeptTurn(call, route) || hasSeveralVersions() ? 'unknown' : 'new'};
	}

	const read = await holderClient.readOrigin({program: call.program?.id ?? call.resumes, attempt: call.resumes}, timeoutMs);
	if (read.kind !== 'found') {
		return read;
	}

	const {origin} = read;
	return route.targets.some(({service, weight}) => service === origin.service && weight > 0) ? {kind: 'resumed', origin} : {kind: 'unknown'};
};

/**
Takes up a stream for a caller that had its beginning through an earlier attempt: finds
the software with which it must go on and, of a turn that is kept, the events that the
caller already has, since the turn is stored whole.

Another attempt may still be passing events of the same stream on, to a caller that has
left. So the one that took the stream up last is stored with the origin, by quorum, and
only what this one passed on counts.
*/
import type {HolderClient} from '@siskinhub/turns/client/holder-client.js';
import type {OutputEvent} from '@siskinhub/turns/client/output-event.js';
import type {CallHead} from '../call/call-head.js';
import type {Route} from '../routes/route.js';
import {findResumedOrigin} from './find-resumed-origin.js';
import {isKeptTurn} from './is-kept-turn.js';
import type {StreamOrigin} from './stream-origin.js';

/** `unknown-output`: nobody has the whole beginning of the turn. All but `new` and `resumed` mean that the stream must not go on. */
type TakenUp =
	| {readonly kind: 'new'}
	| {readonly kind: 'resumed'; readonly origin: StreamOrigin; readonly beginning: readonly OutputEvent[]}
	| {readonly kind: 'unknown' | 'unavailable' | 'unknown-output'};

type TakeUpOptions = Omit<Parameters<typeof findResumedOrigin>[3], 'timeoutMs'> & {
	/** Time for each of the up to three questions to the holders. */
	readonly timeoutMs: number;
};

type Client = Pick<HolderClient, 'readOrigin' | 'recordOrigin' | 'readOutput' | 'appendOutput'>;

export const takeUpStream = async (holderClient: Client, call: CallHead, route: Route, options: TakeUpOptions): Promise<TakenUp> => {
	const found = await findResumedOrigin(holderClient, call, route, options);
	if (found.kind !== 'resumed') {
		return found;
	}

	const {service, version, sequence, takenUpBy} = found.origin;
	const origin = {service, version};
	if (!isKeptTurn(call, route)) {
		return {kind: 'resumed', origin, beginning: []};
	}

	const program = call.program!.id;
	const stream = call.resumes!;
	const beginning = await holderClient.readOutput({program, attempt: takenUpBy === '' ? stream : takenUpBy}, call.lastEventId!, options.timeoutMs);
	if (!beginning) {
		return {kind: 'unknown-output'};
	}

	// Before the record, so that the beginning is found also if this attempt ends next.
	holderClient.appendOutput({program, attempt: call.id}, 0, beginning);
	const isRecorded = await holderClient.recordOrigin({
		program, attempt: stream, ...origin, sequence: sequence + 1, takenUpBy: call.id,
	}, options.timeoutMs);
	return isRecorded ? {kind: 'resumed', origin, beginning} : {kind: 'unavailable'};
};

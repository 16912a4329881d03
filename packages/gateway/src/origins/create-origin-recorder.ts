/**
Stores which software runs one request for a stream, outside this process and
before its caller has the first event, so that the caller can take the stream up
again through any other process.

Expected load: hundreds of streams a second begin, whose first event takes the
upstream tens of milliseconds. So the origin is written while the upstream works,
and mostly stored before the first event is there. An origin that is missing only
means that the stream cannot be taken up; a wrong one would join two versions. So
an event waits for long only if a try at another version was stored before.
*/
import type {HolderClient} from '@siskinhub/turns/client/holder-client.js';
import type {CallHead} from '../call/call-head.js';
import type {Upstream} from '../upstreams/upstream.js';
import {hasOrigin} from './has-origin.js';
import type {StreamOrigin} from './stream-origin.js';

/** Time in which a quorum of holders must answer. */
const STORE_TIMEOUT_MS = 1200;
/** Below the time within which events must be passed on. */
const MAX_EVENT_DELAY_MS = 80;

type RecorderOptions = {
	readonly holderClient: Pick<HolderClient, 'recordOrigin'>;
	readonly call: Pick<CallHead, 'id' | 'program'>;
	/** The origin that was sent to the holders with the reservation of the request's tokens, if any. */
	readonly expected?: StreamOrigin | undefined;
};

/** Holds the state of one request. */
export const createOriginRecorder = ({holderClient, call, expected}: RecorderOptions) => {
	let sequence = expected ? 1 : 0;
	let origin = expected;
	let hasBegun = false;
	let isStored = false;
	let storing: Promise<boolean> = Promise.resolve(false);

	const store = async (stored: StreamOrigin, number: number): Promise<boolean> => {
		const isWritten = await holderClient.recordOrigin({
			program: call.program?.id ?? call.id, attempt: call.id, ...stored, sequence: number,
		}, STORE_TIMEOUT_MS);
		isStored ||= isWritten && number === sequence;
		return isWritten;
	};

	const waitBriefly = async (): Promise<true> => {
		let timer: NodeJS.Timeout | undefined;
		await Promise.race([storing, new Promise(resolve => {
			timer = setTimeout(resolve, MAX_EVENT_DELAY_MS);
		})]);
		clearTimeout(timer);
		return true;
	};

	return {
		/** Must be called before the request is sent to the upstream; does not wait. */
		begin(upstream: Pick<Upstream, 'service' | 'softwareVersion'>): void {
			const isSame = origin !== undefined && hasOrigin(upstream, origin);
			if (isSame && hasBegun) {
				return;
			}

			hasBegun = true;
			origin = {service: upstream.service, version: upstream.softwareVersion};
			sequence += isSame ? 0 : 1;
			isStored = false;
			storing = store(origin, sequence);
		},
		/** The origin of the last try. */
		origin: (): StreamOrigin | undefined => origin,
		/** Returns whether the first event may be passed on: at once if the origin is stored. */
		confirm(): boolean | Promise<boolean> {
			if (isStored) {
				return true;
			}

			return sequence > 1 ? storing : waitBriefly();
		},
	};
};

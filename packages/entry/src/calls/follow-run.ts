/**
Sends a grant to its sidecar and follows the run across lost connections.
*/
import {Buffer} from 'node:buffer';
import {setTimeout as delay} from 'node:timers/promises';
import {type Done, Fate, type Grant} from '@siskinhub/proto/gen/siskinhub/peer/v1/peer_pb.js';
import type {PeerLink} from '@siskinhub/peer/peer-link.js';
import type {RunResult} from './run-result.js';

const REATTACH_PAUSE_MS = 100;

type FollowOptions = {
	readonly getLink: (address: string) => PeerLink;
	readonly grant: Grant;
	readonly payload: string;
	readonly model: string;
	readonly operation: string;
	/** JSON text of the call's own input. */
	readonly input: string;
	/** Only attach to a run that exists. */
	readonly observe?: boolean;
	/** How long a sidecar may stay out of reach before it is given up, in milliseconds. */
	readonly patienceMs: number;
	readonly onText: (offset: number, text: string) => void;
	readonly traceparent?: string;
};

type Attempt = {readonly kind: 'done'; readonly done: Done} | {readonly kind: 'lost'; readonly reason: string};

/** Resolves with the sidecar's last word; each reconnection asks for the bytes that are still missing. */
export const followRun = async (options: FollowOptions): Promise<RunResult> => {
	const {getLink, grant, onText} = options;
	let text = '';
	let bytes = 0;

	const receiveChunk = (offset: number, piece: string) => {
		// A repeated piece was received before the connection was lost.
		const known = bytes - offset;
		const fresh = known > 0 ? Buffer.from(piece).subarray(known).toString() : piece;
		if (known < 0 || fresh === '') {
			return;
		}

		onText(bytes, fresh);
		text += fresh;
		bytes += Buffer.byteLength(fresh);
	};

	const attempt = async (): Promise<Attempt> => new Promise(resolve => {
		const call = getLink(grant.sidecarAddress).openCall({
			case: 'dispatch',
			value: {
				grant, payload: options.payload, model: options.model, operation: options.operation, input: options.input, observe: options.observe ?? false, offset: BigInt(bytes),
			},
		}, {
			onReply(body) {
				if (body.case === 'chunk') {
					receiveChunk(Number(body.value.offset), body.value.text);
				} else if (body.case === 'done') {
					call.close();
					resolve({kind: 'done', done: body.value});
				}
			},
			onLost(lost) {
				resolve({kind: 'lost', reason: lost.message});
			},
		}, options.traceparent);
	});

	let lostSince: number | undefined;
	for (;;) {
		const bytesBefore = bytes;
		const outcome = await attempt();
		if (outcome.kind === 'done') {
			const {done} = outcome;
			const isWhole = done.fate !== Fate.UNSPECIFIED || Number(done.bytes) === bytes;
			return isWhole ? {kind: 'done', done, text} : {kind: 'lost', reason: `the answer has ${done.bytes} bytes and ${bytes} arrived`};
		}

		lostSince = bytes > bytesBefore ? Date.now() : lostSince ?? Date.now();
		if (Date.now() - lostSince >= options.patienceMs) {
			return outcome;
		}

		await delay(REATTACH_PAUSE_MS);
	}
};

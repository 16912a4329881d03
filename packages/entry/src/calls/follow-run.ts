/**
Sends a grant to its sidecar and receives the run's output, reconnecting after
lost connections.
*/
import {Buffer} from 'node:buffer';
import {setTimeout as delay} from 'node:timers/promises';
import {type Done, Fate, type Grant} from '@siskinhub/proto/gen/siskinhub/peer/v1/peer_pb.js';
import type {PeerLink} from '@siskinhub/peer/peer-link.js';
import type {RunResult} from './run-result.js';

const REATTACH_DELAY_MS = 100;

type FollowOptions = {
	readonly getLink: (address: string) => PeerLink;
	readonly grant: Grant;
	readonly payload: string;
	readonly model: string;
	readonly operation: string;
	/** JSON text of the call's input, without the history. */
	readonly input: string;
	/** Attaches to an existing run and never starts one. */
	readonly observe?: boolean;
	/** How long reconnecting may bring no new byte before the run counts as lost, in milliseconds. */
	readonly maxUnreachableMs: number;
	readonly onText: (offset: number, text: string) => void;
	readonly traceparent?: string;
};

type Attempt = {readonly kind: 'done'; readonly done: Done} | {readonly kind: 'lost'; readonly reason: string};

/** Resolves with the sidecar's final message, or `lost`; each reconnection requests only the bytes that are still missing. */
export const followRun = async (options: FollowOptions): Promise<RunResult> => {
	const {getLink, grant, onText} = options;
	let text = '';
	let bytes = 0;

	const receiveChunk = (offset: number, piece: string) => {
		// After a reconnection a piece may overlap the bytes already received; a piece beyond a gap is dropped.
		const knownBytes = bytes - offset;
		const newText = knownBytes > 0 ? Buffer.from(piece).subarray(knownBytes).toString() : piece;
		if (knownBytes < 0 || newText === '') {
			return;
		}

		onText(bytes, newText);
		text += newText;
		bytes += Buffer.byteLength(newText);
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
		if (Date.now() - lostSince >= options.maxUnreachableMs) {
			return outcome;
		}

		await delay(REATTACH_DELAY_MS);
	}
};

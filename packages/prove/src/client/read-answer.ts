/**
Assembles the answer of one call from its stream of server-sent events.
*/
import {Buffer} from 'node:buffer';
import type {Readable} from 'node:stream';
import type {RefusalCode} from '@siskinhub/core/refusal/refusal-code.js';
import {createParser, type EventSourceMessage} from 'eventsource-parser';
import type {Operation} from '../history/operation.js';

type Outcome = NonNullable<Operation['outcome']>;
type ChunkData = {readonly offset: number; readonly text: string};
type FinalData = {readonly bytes: number; readonly digest: string; readonly finish: string; readonly promptTokens: number; readonly outputTokens: number};
type RefusalData = {readonly code: RefusalCode; readonly message: string};

/** Reads to the end of the stream; `prefix` is the text that earlier attempts received, `onAccepted` is called when the call is accepted. */
export const readAnswer = async (body: Readable, prefix: string, onAccepted: () => void): Promise<{readonly outcome: Outcome; readonly text: string}> => {
	let text = prefix;
	let bytes = Buffer.byteLength(prefix);
	let gap: string | undefined;
	let outcome: Outcome = {kind: 'cut', message: 'the stream ended without a final event'};

	const addChunk = (chunk: ChunkData): void => {
		if (chunk.offset !== bytes) {
			gap ??= `a chunk at byte ${chunk.offset} came after ${bytes} bytes`;
		}

		text += chunk.text;
		bytes += Buffer.byteLength(chunk.text);
	};

	const onEvent = ({event, data}: EventSourceMessage): void => {
		const value: unknown = JSON.parse(data);
		switch (event ?? '') {
			case 'accepted': {
				onAccepted();
				break;
			}

			case 'chunk': {
				addChunk(value as ChunkData);
				break;
			}

			case 'restart': {
				text = '';
				bytes = 0;
				break;
			}

			case 'final': {
				const {bytes: stated, digest, finish, promptTokens, outputTokens} = value as FinalData;
				outcome = {
					kind: 'final', text, bytes: stated, digest, finish, promptTokens, outputTokens, gap,
				};
				break;
			}

			case 'refused': {
				const {code, message} = value as RefusalData;
				outcome = {kind: 'refused', code, message};
				break;
			}

			default: {
				break;
			}
		}
	};

	const decoder = new TextDecoder();
	const parser = createParser({onEvent});
	try {
		for await (const chunk of body) {
			parser.feed(decoder.decode(chunk as Uint8Array, {stream: true}));
		}
	} catch (error) {
		outcome = outcome.kind === 'cut' ? {kind: 'cut', message: String(error)} : outcome;
	}

	return {outcome, text};
};

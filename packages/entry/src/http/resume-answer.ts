/**
Resumes an answer at the first byte that its caller lacks.

After the caller lost its connection, an idempotent call may have run again on
another upstream, and a model may answer differently the second time. The hash of
the caller's bytes is therefore compared with the answer: if they belong to
another run, or if the caller gives no hash, the answer restarts at byte 0.
*/
import {createHash} from 'node:crypto';
import type {CallEvents} from '../calls/call-events.js';
import {sliceAnswer} from './slice-answer.js';

type ResumePoint = {
	/** First byte that the caller lacks. */
	readonly from: number;
	/** Hex SHA-256 of the bytes before `from`; without it the answer restarts at byte 0. */
	readonly prefixSha256?: string;
};

/** Wraps the events of a call to which a caller attaches. */
export const resumeAnswer = (events: CallEvents, {from, prefixSha256}: ResumePoint): CallEvents => {
	let firstByte = from;
	const hash = createHash('sha256');
	let prefix = '';
	let hashedBytes = 0;
	let isPrefixChecked = from === 0;

	const sendFromStart = () => {
		isPrefixChecked = true;
		firstByte = 0;
		events.onRestart();
		if (prefix !== '') {
			events.onChunk({offset: 0, text: prefix});
		}
	};

	const checkPrefix = (text: string) => {
		const remainder = sliceAnswer(hashedBytes, text, from);
		const knownText = text.slice(0, text.length - remainder.text.length);
		hash.update(knownText);
		prefix += text;
		hashedBytes = remainder.offset;
		if (hashedBytes < from) {
			return;
		}

		if (hash.copy().digest('hex') !== prefixSha256) {
			sendFromStart();
			return;
		}

		isPrefixChecked = true;
		if (remainder.text !== '') {
			events.onChunk(remainder);
		}
	};

	return {
		...events,
		onChunk({offset, text}) {
			if (!isPrefixChecked) {
				checkPrefix(text);
				return;
			}

			const wanted = sliceAnswer(offset, text, firstByte);
			if (wanted.text !== '') {
				events.onChunk(wanted);
			}
		},
		onRestart() {
			isPrefixChecked = true;
			firstByte = 0;
			events.onRestart();
		},
		onFinal(event) {
			// An answer that ends before byte `from` belongs to another run.
			if (!isPrefixChecked) {
				sendFromStart();
			}

			events.onFinal(event);
		},
	};
};

/**
Sends an answer from the byte on that its caller lacks.

An idempotent call may have run anew on another upstream since the caller lost
its connection, and a model need not answer twice alike. The caller's bytes are
therefore compared by hash: where they belong to another run, or where the
caller gives no hash to tell, the answer begins again at byte 0.
*/
import {createHash} from 'node:crypto';
import type {CallEvents} from '../calls/call-events.js';
import {sliceAnswer} from './slice-answer.js';

type ResumePoint = {
	/** First byte that the caller lacks. */
	readonly from: number;
	/** Hex SHA-256 of the bytes before it; without it the answer begins again. */
	readonly prefixSha256?: string;
};

/** Wraps the events of a call that a caller attaches to. */
export const resumeAnswer = (events: CallEvents, {from, prefixSha256}: ResumePoint): CallEvents => {
	let firstByte = from;
	const hash = createHash('sha256');
	let prefix = '';
	let hashedBytes = 0;
	let isChecked = from === 0;

	const beginAgain = () => {
		isChecked = true;
		firstByte = 0;
		events.onRestart();
		if (prefix !== '') {
			events.onChunk({offset: 0, text: prefix});
		}
	};

	const checkPrefix = (text: string) => {
		const before = sliceAnswer(hashedBytes, text, from);
		const known = text.slice(0, text.length - before.text.length);
		hash.update(known);
		prefix += text;
		hashedBytes = before.offset;
		if (hashedBytes < from) {
			return;
		}

		if (hash.copy().digest('hex') !== prefixSha256) {
			beginAgain();
			return;
		}

		isChecked = true;
		if (before.text !== '') {
			events.onChunk(before);
		}
	};

	return {
		...events,
		onChunk({offset, text}) {
			if (!isChecked) {
				checkPrefix(text);
				return;
			}

			const wanted = sliceAnswer(offset, text, firstByte);
			if (wanted.text !== '') {
				events.onChunk(wanted);
			}
		},
		onRestart() {
			isChecked = true;
			firstByte = 0;
			events.onRestart();
		},
		onFinal(event) {
			// An answer that ends before the caller's byte is another run's.
			if (!isChecked) {
				beginAgain();
			}

			events.onFinal(event);
		},
	};
};

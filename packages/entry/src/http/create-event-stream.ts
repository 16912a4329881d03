/**
Writes the events of a call as server-sent events. A refusal before the first
event is sent as a plain refusal with its own status.
*/
import type {ServerResponse} from 'node:http';
import type {EventStream} from './event-stream.js';
import {sendRefusal} from './send-refusal.js';
import {sliceAnswer} from './slice-answer.js';

type StreamOptions = {
	readonly res: ServerResponse;
	/** First byte of the answer that the caller wants. */
	readonly from: number;
	/** Pieces that come within this time leave together, in milliseconds. */
	readonly gatherMs: number;
};

/** Creates the stream; the response's head leaves with the first event. */
export const createEventStream = ({res, from, gatherMs}: StreamOptions): EventStream => {
	let firstByte = from;
	let gathered = '';
	let gatheredOffset = 0;
	let timer: NodeJS.Timeout | undefined;

	const write = (event: string, data: unknown) => {
		if (!res.headersSent) {
			res.writeHead(200, {'content-type': 'text/event-stream', 'cache-control': 'no-store'});
		}

		res.write(`event: ${event}\ndata: ${JSON.stringify(data)}\n\n`);
	};

	const flush = () => {
		clearTimeout(timer);
		timer = undefined;
		if (gathered !== '') {
			write('chunk', {offset: gatheredOffset, text: gathered});
			gathered = '';
		}
	};

	return {
		isOpen: () => !res.destroyed && !res.writableEnded,
		events: {
			onAccepted(event) {
				write('accepted', event);
			},
			onChunk({offset, text}) {
				const wanted = sliceAnswer(offset, text, firstByte);
				if (wanted.text === '') {
					return;
				}

				if (gathered === '') {
					gatheredOffset = wanted.offset;
				}

				gathered += wanted.text;
				timer ??= setTimeout(flush, gatherMs);
			},
			onRestart() {
				gathered = '';
				firstByte = 0;
				write('restart', {offset: 0});
			},
			onFinal(event) {
				flush();
				write('final', event);
				res.end();
			},
			onRefused(refusal) {
				flush();
				if (res.headersSent) {
					write('refused', refusal);
					res.end();
				} else {
					sendRefusal(res, refusal);
				}
			},
		},
	};
};

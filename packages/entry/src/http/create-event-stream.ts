/**
Writes the events of a call as server-sent events. A refusal before the first
event is sent as a plain refusal with its own status.
*/
import type {ServerResponse} from 'node:http';
import type {EventStream} from './event-stream.js';
import {sendRefusal} from './send-refusal.js';

type StreamOptions = {
	readonly res: ServerResponse;
	/** Chunks that arrive within this time are sent as one event, in milliseconds. */
	readonly gatherMs: number;
};

/** Creates the stream; the response headers are sent with the first event. */
export const createEventStream = ({res, gatherMs}: StreamOptions): EventStream => {
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
				if (gathered === '') {
					gatheredOffset = offset;
				}

				gathered += text;
				timer ??= setTimeout(flush, gatherMs);
			},
			onRestart() {
				gathered = '';
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

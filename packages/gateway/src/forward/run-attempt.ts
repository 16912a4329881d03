/**
One attempt of a request at one upstream: sends it, checks what comes back and
passes it on. Plain answers are passed on whole, so that one that breaks off
can be tried again; events are passed on as they come.
*/
import {Buffer} from 'node:buffer';
import type {Dispatcher} from 'undici';
import type {CallCodec} from '../call/call-codec.js';
import type {ResponseHead} from '../call/response-head.js';
import type {Upstream} from '../upstreams/upstream.js';
import type {AttemptResult} from './attempt-result.js';
import type {CallerAnswer} from './caller-answer.js';
import type {CallPlan} from './call-plan.js';
import {createEventSplitter} from './create-event-splitter.js';
import {classifyResponseHead} from './classify-response-head.js';
import {sendToUpstream} from './send-to-upstream.js';
import type {StreamProgress} from './stream-progress.js';

type AttemptOptions = {
	readonly plan: CallPlan;
	readonly upstream: Upstream;
	readonly pool: Pick<Dispatcher, 'dispatch'>;
	readonly codec: CallCodec;
	readonly response: CallerAnswer;
	readonly progress: StreamProgress;
	readonly priority: number | undefined;
	/** Stores the end of a turn before its answer ends; resolves to whether that succeeded. */
	readonly completeTurn: () => Promise<boolean>;
	/** The upstream's answer has begun. */
	readonly onAnswered: () => void;
};

/** Beyond this a plain answer is passed on in pieces and can no longer be tried again. */
const MAX_BUFFERED_BYTES = 1024 * 1024;

/** Resolves once the attempt is over; the caller's answer is over too where the end says so. */
export const runAttempt = async (options: AttemptOptions): Promise<AttemptResult> => new Promise(resolve => {
	const {plan, upstream, pool, codec, response: answer, progress, priority, completeTurn: beforeEnd, onAnswered} = options;
	const {call, route, body, deadlineAt} = plan;
	const isStream = route.kind === 'stream';
	const splitter = createEventSplitter();
	const bufferedChunks: Uint8Array[] = [];
	let bufferedBytes = 0;
	let head: ResponseHead | undefined;
	let responseClass: ReturnType<typeof classifyResponseHead> | undefined;
	let isSettled = false;

	const settle = (end: AttemptResult): void => {
		if (!isSettled) {
			isSettled = true;
			clearTimeout(timer);
			resolve(end);
		}
	};

	const abortWith = (end: AttemptResult): void => {
		exchange.abort();
		settle(end);
	};

	const buildBreakResult = (message: string, isCut: boolean): AttemptResult => ({kind: answer.isStarted() ? 'broken' : 'unknown', message, isConnectionLost: isCut});

	const startResponse = (): void => {
		if (!answer.isStarted()) {
			answer.start(head!.status, head!.headers, head!.isFramed);
		}
	};

	const forwardEvents = (chunk: Uint8Array): void => {
		const {bytes, events} = splitter.push(chunk);
		if (bytes.length === 0) {
			return;
		}

		for (const event of events) {
			progress.lastEventId = event.id ?? progress.lastEventId;
			progress.output?.push(event.data, '\n');
		}

		progress.events += events.length;
		progress.firstEventAt ??= Date.now();
		startResponse();
		writeToCaller(bytes);
	};

	const writeToCaller = (bytes: Uint8Array): void => {
		if (!answer.write(bytes)) {
			exchange.pause();
			answer.onDrain(() => {
				exchange.resume();
			});
		}
	};

	const bufferOrWrite = (chunk: Uint8Array): void => {
		if (answer.isStarted()) {
			writeToCaller(chunk);
			return;
		}

		bufferedChunks.push(chunk);
		bufferedBytes += chunk.length;
		if (bufferedBytes > MAX_BUFFERED_BYTES) {
			startResponse();
			writeToCaller(Buffer.concat(bufferedChunks.splice(0)));
		}
	};

	const finishStream = async (): Promise<void> => {
		const rest = splitter.rest();
		if (!await beforeEnd()) {
			answer.breakOff();
			settle({kind: 'broken', message: 'too few copies of the turn could be stored', isConnectionLost: false});
			return;
		}

		startResponse();
		answer.finish(rest.length > 0 ? rest : undefined);
		settle({kind: 'done', status: head!.status});
	};

	const finishPlain = (): void => {
		const pass = (): void => {
			startResponse();
			answer.finish(bufferedChunks.length > 0 ? Buffer.concat(bufferedChunks) : undefined);
		};

		if (responseClass === 'server-failure' && !answer.isStarted()) {
			settle({kind: 'failed', status: head!.status, forwardResponse: pass});
			return;
		}

		pass();
		settle({kind: 'done', status: head!.status});
	};

	const handleHead = (status: number, headers: Record<string, string | string[] | undefined>): void => {
		head = codec.decodeAnswer(status, headers);
		responseClass = classifyResponseHead(head, call.id);
		onAnswered();
		switch (responseClass) {
			case 'foreign':
			case 'unproven': {
				abortWith(buildBreakResult(responseClass === 'foreign' ? 'an answer to another request arrived' : `an answer with status ${status} proves nothing`, false));
				break;
			}

			case 'full':
			case 'not-run': {
				// The rest of this answer is of no use, but the connection is.
				settle({kind: 'not-run', isFull: responseClass === 'full', message: `refused with status ${status}`});
				break;
			}

			case 'failure':
			case 'server-failure': {
				if (answer.isStarted()) {
					abortWith({kind: 'broken', message: `the stream could not go on: status ${status}`, isConnectionLost: false});
				}

				break;
			}

			case 'success': {
				break;
			}
		}
	};

	const exchange = sendToUpstream(pool, {
		method: call.method,
		path: call.path,
		headers: codec.encodeCall(call, {
			upstreamId: upstream.id,
			deadlineMs: Math.max(1, deadlineAt - Date.now()),
			priority,
			lastEventId: progress.lastEventId ?? call.lastEventId,
		}),
		body,
	}, {
		onHead: handleHead,
		onData(chunk) {
			if (isSettled) {
				return;
			}

			if (isStream && responseClass === 'success') {
				forwardEvents(chunk);
			} else {
				bufferOrWrite(chunk);
			}
		},
		onEnd() {
			if (isSettled) {
				return;
			}

			if (isStream && responseClass === 'success') {
				void finishStream();
			} else {
				finishPlain();
			}
		},
		onFailed({wasSent, message}) {
			settle(wasSent ? buildBreakResult(message, true) : {kind: 'not-run', isFull: false, message});
		},
	});

	const timer = setTimeout(() => {
		const wasSent = exchange.wasSent();
		abortWith({kind: 'timed-out', wasSent});
	}, Math.max(0, deadlineAt - Date.now()));

	answer.onGone(() => {
		abortWith({kind: 'gone'});
	});
});

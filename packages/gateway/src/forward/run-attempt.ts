/**
Runs one attempt of a request at one upstream: sends the request, checks the
response and forwards it to the caller. Plain responses are buffered, so that the
request can be retried if one breaks off; events are forwarded as they arrive.
*/
import type {EventSourceMessage} from 'eventsource-parser';
import type {CallCodec} from '../call/call-codec.js';
import type {ResponseHead} from '../call/response-head.js';
import type {Upstream} from '../upstreams/upstream.js';
import type {ActiveCall} from './active-call.js';
import type {AnswerExcess} from './answer-excess.js';
import type {AnswerMemory} from './answer-memory.js';
import type {AttemptResult} from './attempt-result.js';
import type {CallerResponse} from './caller-response.js';
import type {CallPlan} from './call-plan.js';
import {classifyResponseHead} from './classify-response-head.js';
import {createCallerWriter} from './create-caller-writer.js';
import {createDetachableListener} from './create-detachable-listener.js';
import {createIgnoredRest} from './create-ignored-rest.js';
import {createPlainForwarder} from './create-plain-forwarder.js';
import {createStreamForwarder} from './create-stream-forwarder.js';
import {sendToUpstream} from './send-to-upstream.js';
import type {StreamProgress} from './stream-progress.js';
import type {UpstreamPool} from './upstream-pools.js';

type AttemptOptions = {
	readonly plan: CallPlan;
	readonly upstream: Upstream;
	readonly pool: UpstreamPool;
	readonly codec: CallCodec;
	readonly response: CallerResponse;
	readonly active: Pick<ActiveCall, 'onStop'>;
	/** Asked right before the request is sent, which it is not if it must not be any more; it may be by default. */
	readonly mayBeSent?: () => boolean;
	readonly progress: StreamProgress;
	readonly priority: number | undefined;
	readonly memory: Pick<AnswerMemory, 'open'>;
	/** Called with events right before they are passed on to the caller; returns why they must not be, if so. */
	readonly recordEvents: (events: readonly EventSourceMessage[]) => AnswerExcess | undefined;
	/** Stores the turn before the response ends; resolves to whether that succeeded. */
	readonly completeTurn: () => Promise<boolean>;
	/** Returns whether the first event of a stream may be passed on. */
	readonly confirmFirstEvent: () => boolean | Promise<boolean>;
	/** Called if the answer is given up because of what it sent, or is a plain one that is passed on before it is whole. */
	readonly onExcess: (kind: AnswerExcess['kind'] | 'plain-passed-on') => void;
	/** Called right before the first byte of the request is sent. */
	readonly onSent: () => void;
	/** Called when the upstream begins to serve the request: with the head of a plain response, with the first bytes of a stream. */
	readonly onServed: () => void;
	/** Called with the head of an answer that comes from the upstream itself. */
	readonly onUpstreamHead: (head: ResponseHead) => void;
};

/** Resolves once the attempt has ended. The caller's response has ended too if the result says so. */
export const runAttempt = async (options: AttemptOptions): Promise<AttemptResult> => new Promise(resolve => {
	const {plan, upstream, pool, codec, response, active, mayBeSent, progress, priority, memory, recordEvents, completeTurn, confirmFirstEvent, onExcess, onSent, onServed, onUpstreamHead} = options;
	const {call, route, body, deadlineAt} = plan;
	const isStream = route.kind === 'stream';
	const holding = memory.open();
	let head: ResponseHead | undefined;
	let responseClass: ReturnType<typeof classifyResponseHead> | undefined;
	let isSettled = false;

	const dropKept = (): void => {
		plain.drop();
		holding.release();
	};

	const settle = (result: AttemptResult): void => {
		if (!isSettled) {
			isSettled = true;
			clearTimeout(timer);
			stream.stop();
			// The caller has what counts as passed on, also if the stream goes on elsewhere.
			writer.flush();
			disconnect.detach();
			if (result.kind !== 'failed') {
				dropKept();
			}

			resolve(result);
		}
	};

	const abortWith = (result: AttemptResult): void => {
		exchange.abort();
		settle(result);
	};

	// The response keeps its listeners until the call is over, which may take several attempts.
	const disconnect = createDetachableListener(() => {
		abortWith({kind: 'gone', wasSent: exchange.wasSent()});
	});

	const buildBreakResult = (message: string, isConnectionLost: boolean): Extract<AttemptResult, {kind: 'unknown' | 'broken'}> => ({kind: response.isStarted() ? 'broken' : 'unknown', message, isConnectionLost});

	const ignored = createIgnoredRest(() => {
		exchange.abort();
	});

	const startResponse = (): void => {
		if (!response.isStarted()) {
			response.start(head!.status, head!.headers);
		}
	};

	const flow = {
		pause() {
			exchange.pause();
		},
		resume() {
			exchange.resume();
		},
	};
	const writer = createCallerWriter({response, ...flow});

	const stream = createStreamForwarder({
		progress,
		holding,
		recordEvents,
		startResponse,
		confirmFirstEvent,
		write: writer.write,
		...flow,
		onExcess,
		onRejected(message, isSound) {
			abortWith({...buildBreakResult(message, false), isSound, isNoAnswer: !isSound && stream.hasPassedOn()});
		},
	});

	const plain = createPlainForwarder({
		response,
		holding,
		startResponse,
		write: writer.write,
		onPassedOnEarly() {
			onExcess('plain-passed-on');
		},
	});

	const finishStream = async (): Promise<void> => {
		const remainder = await stream.finish();
		if (isSettled) {
			return;
		}

		if (!remainder) {
			settle(buildBreakResult('the stream ended inside an event', !head!.isFramed));
			return;
		}

		if (!await completeTurn()) {
			response.abort();
			settle({
				kind: 'broken', message: 'too few copies of the turn could be stored', isConnectionLost: false, isSound: true,
			});
			return;
		}

		startResponse();
		writer.flush();
		response.finish(remainder.length > 0 ? remainder : undefined);
		settle({kind: 'done', status: head!.status, isFramed: head!.isFramed});
	};

	const finishPlain = (): void => {
		if (responseClass === 'server-failure' && !response.isStarted()) {
			settle({
				kind: 'failed', status: head!.status, forwardResponse: plain.finish, dropResponse: dropKept,
			});
			return;
		}

		writer.flush();
		plain.finish();
		settle({kind: 'done', status: head!.status, isFramed: head!.isFramed});
	};

	const handleHead = (status: number, headers: Record<string, string | string[] | undefined>): void => {
		head = codec.decodeResponse(status, headers);
		responseClass = classifyResponseHead(head, call.id);
		if (responseClass !== 'foreign' && responseClass !== 'unproven' && !head.isOtherUpstream) {
			onUpstreamHead(head);
		}

		switch (responseClass) {
			case 'foreign':
			case 'unproven': {
				abortWith(buildBreakResult(responseClass === 'foreign' ? 'the response belongs to another request' : `a response with status ${status} does not prove whether the request ran`, false));
				break;
			}

			case 'full':
			case 'not-run': {
				ignored.begin();
				settle({kind: 'not-run', isFull: responseClass === 'full', message: `refused with status ${status}`});
				break;
			}

			case 'failure':
			case 'server-failure': {
				if (response.isStarted()) {
					abortWith({
						kind: 'broken', message: `the stream could not be resumed: status ${status}`, isConnectionLost: false, isSound: true,
					});
				}

				break;
			}

			case 'success': {
				if (!isStream) {
					onServed();
				}

				break;
			}
		}
	};

	const exchange = sendToUpstream(pool, {
		method: call.method,
		path: call.path,
		buildHeaders: leftMs => codec.encodeCall(call, {
			upstreamId: upstream.id,
			deadlineMs: leftMs,
			priority,
			// A route that is not resumable has no streams to take up.
			lastEventId: progress.lastEventId ?? (route.isResumable ? call.lastEventId : undefined),
			workspace: plan.workspace?.name,
			passesCredentials: plan.passesCredentials,
		}),
		body,
		deadlineAt,
		mayBeSent,
	}, {
		onSent,
		onHead: handleHead,
		onData(chunk) {
			if (isSettled) {
				ignored.count(chunk);
				return;
			}

			if (isStream && responseClass === 'success') {
				onServed();
				stream.receive(chunk);
			} else {
				plain.receive(chunk);
			}
		},
		onEnd() {
			ignored.end();
			if (isSettled) {
				return;
			}

			if (isStream && responseClass === 'success') {
				void finishStream();
			} else {
				finishPlain();
			}
		},
		onFailed({wasSent, message, isNoAnswer}) {
			settle(wasSent ? {...buildBreakResult(message, true), isNoAnswer: isNoAnswer && stream.hasPassedOn()} : {kind: 'not-run', isFull: false, message});
		},
	});

	const timeOut = (): void => {
		const wasSent = exchange.wasSent();
		abortWith({kind: 'timed-out', wasSent});
	};

	const timer = setTimeout(timeOut, Math.max(0, deadlineAt - Date.now()));
	// An answer that has begun may still become whole before the process ends, unless it is yet to go on here.
	active.onStop = () => {
		if (!response.isStarted() || !exchange.wasSent()) {
			timeOut();
		}
	};

	response.onDisconnect(disconnect.listen);
});

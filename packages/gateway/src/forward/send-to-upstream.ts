/**
Sends one request to one upstream and reports its response to an observer.
*/
import {judgeStatus} from '@siskinhub/core/http/judge-status.js';
import type {Dispatcher} from 'undici';
import {isNoAnswerError} from './is-no-answer-error.js';
import type {UpstreamPool} from './upstream-pools.js';

type OutboundRequest = {
	readonly method: string;
	readonly path: string;
	/** Called when the request is sent, with the milliseconds that are left then, at least 1. */
	readonly buildHeaders: (leftMs: number) => string[];
	readonly body: Uint8Array;
	/** Epoch milliseconds; from then on the request is not sent any more. */
	readonly deadlineAt: number;
	/** Asked right before the request is sent; it may by default. */
	readonly mayBeSent?: (() => boolean) | undefined;
};

/** Either `onEnd` or `onFailed` is called last. `wasSent` is false only if no byte of the request left this process. */
type SendObserver = {
	/** Called right before the first byte is sent. */
	readonly onSent: () => void;
	/** Called with the first head that is not interim, also with one whose status is none. */
	readonly onHead: (status: number, headers: Record<string, string | string[] | undefined>) => void;
	readonly onData: (chunk: Uint8Array) => void;
	readonly onEnd: () => void;
	/** `isNoAnswer`: for what the upstream sent, not because its connection ended. */
	readonly onFailed: (failure: {readonly wasSent: boolean; readonly message: string; readonly isNoAnswer: boolean}) => void;
};

type OutboundExchange = {
	readonly wasSent: () => boolean;
	/** Closes the connection; the observer is not called afterwards. */
	readonly abort: () => void;
	readonly pause: () => void;
	readonly resume: () => void;
};

/** Sends the request once a connection is free. The observer is called later, never before this returns. */
export const sendToUpstream = (pool: UpstreamPool, {method, path, buildHeaders, body, deadlineAt, mayBeSent = () => true}: OutboundRequest, observer: SendObserver): OutboundExchange => {
	let controller: Dispatcher.DispatchController | undefined;
	let wasSent = false;
	let isFinished = false;

	const fail = (message: string, isNoAnswer = false): void => {
		if (!isFinished) {
			isFinished = true;
			observer.onFailed({wasSent, message, isNoAnswer});
		}
	};

	const isOver = (): boolean => {
		const isPast = Date.now() >= deadlineAt;
		if (isPast || !mayBeSent()) {
			queueMicrotask(() => {
				fail(isPast ? 'the time of the request was over before it could be sent' : 'the caller may not send the request any more');
			});
			return true;
		}

		return false;
	};

	const build = (): Dispatcher.DispatchOptions | undefined => {
		if (isOver()) {
			return undefined;
		}

		return {
			method, path, headers: buildHeaders(Math.max(1, deadlineAt - Date.now())), body: body.length > 0 ? body : null,
		};
	};

	const withdraw = pool.dispatch(build, {
		onRequestStart(started) {
			controller = started;
			// Connecting may have taken until after the deadline.
			if (isFinished || isOver()) {
				started.abort(new Error('The request was aborted before it was sent.'));
				return;
			}

			wasSent = true;
			observer.onSent();
		},
		onResponseStart(_controller, status, responseHeaders) {
			if (!isFinished && judgeStatus(status) !== 'interim') {
				observer.onHead(status, responseHeaders);
			}
		},
		onResponseData(_controller, chunk) {
			if (!isFinished) {
				observer.onData(chunk);
			}
		},
		onResponseEnd() {
			if (!isFinished) {
				isFinished = true;
				observer.onEnd();
			}
		},
		onResponseError(_controller, error) {
			fail(error.message, isNoAnswerError(error));
		},
	}, () => {
		fail('the upstream was removed');
	});

	return {
		wasSent: () => wasSent,
		abort() {
			if (!isFinished) {
				isFinished = true;
				withdraw();
				controller?.abort(new Error('The request was aborted.'));
			}
		},
		pause() {
			controller?.pause();
		},
		resume() {
			controller?.resume();
		},
	};
};

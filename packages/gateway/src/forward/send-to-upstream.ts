/**
Sends one request to one upstream and reports what comes back.
*/
import type {Dispatcher} from 'undici';

type OutboundRequest = {
	readonly method: string;
	readonly path: string;
	readonly headers: string[];
	readonly body: Uint8Array;
};

/** `onFailed` and `onEnd` are the last; `wasSent` is false only where no byte of the request left this process. */
type SendObserver = {
	readonly onHead: (status: number, headers: Record<string, string | string[] | undefined>) => void;
	readonly onData: (chunk: Uint8Array) => void;
	readonly onEnd: () => void;
	readonly onFailed: (failure: {readonly wasSent: boolean; readonly message: string}) => void;
};

type OutboundExchange = {
	readonly wasSent: () => boolean;
	/** Closes the connection; nothing is reported afterwards. */
	readonly abort: () => void;
	readonly pause: () => void;
	readonly resume: () => void;
};

const MIN_FINAL_STATUS = 200;

/** Starts sending at once. */
export const sendToUpstream = (pool: Pick<Dispatcher, 'dispatch'>, {method, path, headers, body}: OutboundRequest, observer: SendObserver): OutboundExchange => {
	let controller: Dispatcher.DispatchController | undefined;
	let wasSent = false;
	let isFinished = false;

	pool.dispatch({
		method, path, headers, body: body.length > 0 ? body : null,
	}, {
		onRequestStart(started) {
			controller = started;
			if (isFinished) {
				started.abort(new Error('The request was given up before it was sent.'));
				return;
			}

			wasSent = true;
		},
		onResponseStart(_controller, status, responseHeaders) {
			if (!isFinished && status >= MIN_FINAL_STATUS) {
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
			if (!isFinished) {
				isFinished = true;
				observer.onFailed({wasSent, message: error.message});
			}
		},
	});

	return {
		wasSent: () => wasSent,
		abort() {
			if (!isFinished) {
				isFinished = true;
				controller?.abort(new Error('The request was given up.'));
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

/**
Sends one request to one upstream and reports its response to an observer.
*/
import type {Dispatcher} from 'undici';

type OutboundRequest = {
	readonly method: string;
	readonly path: string;
	readonly headers: string[];
	readonly body: Uint8Array;
};

/** Either `onEnd` or `onFailed` is called last. `wasSent` is false only if no byte of the request left this process. */
type SendObserver = {
	/** Called right before the first byte is sent. */
	readonly onSent: () => void;
	readonly onHead: (status: number, headers: Record<string, string | string[] | undefined>) => void;
	readonly onData: (chunk: Uint8Array) => void;
	readonly onEnd: () => void;
	readonly onFailed: (failure: {readonly wasSent: boolean; readonly message: string}) => void;
};

type OutboundExchange = {
	readonly wasSent: () => boolean;
	/** Closes the connection; the observer is not called afterwards. */
	readonly abort: () => void;
	readonly pause: () => void;
	readonly resume: () => void;
};

const MIN_FINAL_STATUS = 200;

/** Starts to send immediately. */
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
				started.abort(new Error('The request was aborted before it was sent.'));
				return;
			}

			wasSent = true;
			observer.onSent();
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

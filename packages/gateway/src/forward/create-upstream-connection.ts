/**
Opens one connection to an upstream with undici and reports connection resets.

If the upstream announced `Connection: close`, undici takes a reset for the end
of the response, even if the response has no length or is chunked. Only the last
chunk or an orderly close proves that the response is complete, so a reset is
reported as an error.

A reset that arrives together with the last bytes looks like an orderly close to
Node, as libuv reports a hang-up after a partial read as the end. The socket then
has no peer any more, whereas after an orderly close it still has one.

undici throws outside of any handler if a connection ends while its response is
paused, so the response is resumed first, and is not paused any more.

undici connects again after a request was aborted, since it keeps that request in
its queue until it has a connection. So its client ends with the first request that
was begun and failed.
*/
import type {Socket} from 'node:net';
import {judgeStatus} from '@siskinhub/core/http/judge-status.js';
import {buildConnector, Client, type Dispatcher} from 'undici';
import {createConnectionReads} from './create-connection-reads.js';
import {upstreamReads} from './upstream-reads.js';

/** Above all that may arrive before the connection is closed for lack of progress: undici's own bound acts too late. */
const MAX_HEADER_BYTES = 64 * 1024;

type ConnectionOptions = {
	readonly origin: string;
	readonly client: ConstructorParameters<typeof Client>[1];
	/** Limit for establishing the connection. */
	readonly connectTimeoutMs: number;
	/** Called when the connection may carry the next request. */
	readonly onFree: () => void;
	/** Called if a request has failed after it was begun; the connection carries no other. */
	readonly onLost: () => void;
};

type Observation = {
	/** Whether the connection that carried the request was reset. */
	readonly wasReset: () => boolean;
	/** Whether the upstream has closed the connection, so that all that is left of the response has arrived. */
	readonly hasEnded: () => boolean;
	readonly onStart: (controller: Dispatcher.DispatchController) => void;
	/** Called after the handler if the request has failed. */
	readonly onError: () => void;
	/** Called with the head of the answer, unless it is an interim one, and with data of its body. */
	readonly onProgress: () => void;
	/** Called when a request that has started is over. */
	readonly onEnd: () => void;
};

/** Must be called when the peer's end is reported, and its address must not have been read before, since Node keeps it. */
const hasLostPeer = (socket: Socket): boolean => socket.remoteAddress === undefined;

const reportResets = (handler: Dispatcher.DispatchHandler, {wasReset, hasEnded, onStart, onProgress, onEnd, onError}: Observation): Dispatcher.DispatchHandler => {
	let hasStarted = false;
	return {
		onRequestStart(controller, context) {
			hasStarted = true;
			onStart(controller);
			handler.onRequestStart?.(controller, context);
		},
		onResponseStart(controller, status, headers, message) {
			if (judgeStatus(status) === 'final') {
				onProgress();
			}

			handler.onResponseStart?.(controller, status, headers, message);
		},
		onResponseData(controller, chunk) {
			onProgress();
			handler.onResponseData?.(controller, chunk);
			if (hasEnded()) {
				controller.resume();
			}
		},
		onResponseEnd(controller, trailers) {
			onEnd();
			if (wasReset()) {
				handler.onResponseError?.(controller, new Error('The connection was reset before the response was complete.'));
				return;
			}

			handler.onResponseEnd?.(controller, trailers);
		},
		onResponseError(controller, error) {
			if (hasStarted) {
				onEnd();
			}

			handler.onResponseError?.(controller, error);
			onError();
		},
	};
};

/** Connects at the first request, and again if the connection ended between two requests. */
export const createUpstreamConnection = ({origin, client: options, connectTimeoutMs, onFree, onLost}: ConnectionOptions) => {
	let wasReset = false;
	let hasEnded = false;
	let active: Dispatcher.DispatchController | undefined;
	let reads: ReturnType<typeof createConnectionReads> | undefined;
	const client = new Client(origin, {
		...options,
		maxHeaderSize: MAX_HEADER_BYTES,
		connect(target, callback) {
			const connectionReads = createConnectionReads(upstreamReads);
			buildConnector({timeout: connectTimeoutMs, ...connectionReads.socketOptions})(target, (...result) => {
				const [, socket] = result;
				if (socket) {
					reads = connectionReads;
					connectionReads.attach(socket);
				}

				wasReset = false;
				hasEnded = false;
				// Before the listener of undici, which is added next.
				socket?.on('end', () => {
					hasEnded = true;
					wasReset ||= hasLostPeer(socket);
					active?.resume();
				});
				socket?.on('error', () => {
					wasReset = true;
				});
				callback(...result);
			});
		},
	});
	client.on('drain', onFree);
	return {
		dispatch(request: Dispatcher.DispatchOptions, handler: Dispatcher.DispatchHandler): void {
			active = undefined;
			client.dispatch(request, reportResets(handler, {
				wasReset: () => wasReset,
				hasEnded: () => hasEnded,
				onStart(controller) {
					active = controller;
					reads?.startRequest();
				},
				onProgress() {
					reads?.recordProgress();
				},
				onEnd() {
					reads?.endRequest();
				},
				onError() {
					if (active) {
						onLost();
						// Not from within a handler, where undici still uses the client.
						queueMicrotask(() => {
							void client.destroy();
						});
					}
				},
			}));
		},
		/** Waits for the active request to end. */
		async close(): Promise<void> {
			await client.close();
		},
		isIdle: (): boolean => client.stats.pending === 0 && client.stats.running === 0,
	};
};

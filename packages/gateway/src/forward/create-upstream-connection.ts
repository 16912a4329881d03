/**
Opens one connection to an upstream with undici and reports connection resets.

If the upstream announced `Connection: close`, undici takes a reset for the end
of the response, even if the response has no length or is chunked. Only the last
chunk or an orderly close proves that the response is complete, so a reset is
reported as an error.
*/
import {buildConnector, Client, type Dispatcher} from 'undici';

type ConnectionOptions = {
	readonly origin: string;
	readonly client: ConstructorParameters<typeof Client>[1];
	/** Limit for establishing the connection. */
	readonly connectTimeoutMs: number;
};

/** `wasReset` tells whether the connection that carried the request was reset. */
const reportResets = (handler: Dispatcher.DispatchHandler, wasReset: () => boolean): Dispatcher.DispatchHandler => ({
	onRequestStart(controller, context) {
		handler.onRequestStart?.(controller, context);
	},
	onResponseStart(controller, status, headers, message) {
		handler.onResponseStart?.(controller, status, headers, message);
	},
	onResponseData(controller, chunk) {
		handler.onResponseData?.(controller, chunk);
	},
	onResponseEnd(controller, trailers) {
		if (wasReset()) {
			handler.onResponseError?.(controller, new Error('The connection was reset before the response was complete.'));
			return;
		}

		handler.onResponseEnd?.(controller, trailers);
	},
	onResponseError(controller, error) {
		handler.onResponseError?.(controller, error);
	},
});

/** Connects at the first request, and again once the connection is lost. */
export const createUpstreamConnection = ({origin, client: options, connectTimeoutMs}: ConnectionOptions) => {
	let wasReset = false;
	const connect = buildConnector({timeout: connectTimeoutMs});
	const client = new Client(origin, {
		...options,
		connect(target, callback) {
			connect(target, (...result) => {
				const [, socket] = result;
				wasReset = false;
				socket?.on('error', () => {
					wasReset = true;
				});
				callback(...result);
			});
		},
	});
	return {
		dispatch(request: Dispatcher.DispatchOptions, handler: Dispatcher.DispatchHandler): void {
			client.dispatch(request, reportResets(handler, () => wasReset));
		},
		/** Waits for the active request to end. */
		async close(): Promise<void> {
			await client.close();
		},
		isIdle: (): boolean => client.stats.pending === 0 && client.stats.running === 0,
	};
};

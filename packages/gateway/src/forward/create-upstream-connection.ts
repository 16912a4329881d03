/**
One connection to an upstream, by undici.

Where an upstream announces that it closes the connection, undici takes a reset
for the end of the answer, also of one without a length or in chunks. Only the
last chunk or an orderly close proves that the answer is whole, so a reset is
reported as the failure that it is.
*/
import {buildConnector, Client, type Dispatcher} from 'undici';

type ConnectionOptions = {
	readonly origin: string;
	readonly client: ConstructorParameters<typeof Client>[1];
	/** Bounds the time until the connection stands. */
	readonly connectTimeoutMs: number;
};

/** `wasReset` tells of the connection that the request went over. */
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
			handler.onResponseError?.(controller, new Error('The connection was reset before the answer was whole.'));
			return;
		}

		handler.onResponseEnd?.(controller, trailers);
	},
	onResponseError(controller, error) {
		handler.onResponseError?.(controller, error);
	},
});

/** Connects at the first request and again after a break. */
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
		/** Lets the request under way end. */
		async close(): Promise<void> {
			await client.close();
		},
		isIdle: (): boolean => client.stats.pending === 0 && client.stats.running === 0,
	};
};

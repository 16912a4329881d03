/**
Opens a watch on the platform's service and waits for its first change. If the
stream hangs, the watch ends with the timeout, and because the next one starts
after the same revision, no change is missed.
*/
import {err, ok, type Result} from 'neverthrow';
import {request, type Dispatcher} from 'undici';
import type {KeyValue} from '../key-value.js';
import type {PlatformError} from '../platform-error.js';
import {platformResponseSchemas} from './platform-response-schemas.js';
import {readLines} from './read-lines.js';

type Change = {readonly revision?: number; readonly changed: readonly KeyValue[]};

type WatchCall = {
	readonly dispatcher: Dispatcher;
	readonly url: string;
	readonly body: unknown;
	/** The revision that the watch starts after; returned if nothing changes. */
	readonly after?: number;
	/** Duration of the watch, in milliseconds. */
	readonly timeoutMs: number;
	/** How long the service may take to accept the watch, in milliseconds. */
	readonly openTimeoutMs: number;
};

/** Returns the first change, or an empty `changed` after `timeoutMs`. */
export const readFirstChange = async ({dispatcher, url, body, after, timeoutMs, openTimeoutMs}: WatchCall): Promise<Result<Change, PlatformError>> => {
	const controller = new AbortController();
	let isOpen = false;
	const openTimer = setTimeout(() => {
		controller.abort();
	}, openTimeoutMs);
	const waitTimer = setTimeout(() => {
		controller.abort();
	}, timeoutMs);
	try {
		const res = await request(url, {
			dispatcher, method: 'POST', body: JSON.stringify(body), headers: {'content-type': 'application/json'}, bodyTimeout: 0, signal: controller.signal,
		});
		for await (const line of readLines(res.body)) {
			clearTimeout(openTimer);
			isOpen = true;
			const {result} = platformResponseSchemas.watch.parse(JSON.parse(line));
			if (result.events.length > 0) {
				return ok({revision: result.header.revision, changed: result.events.map(({kv}) => kv)});
			}
		}

		return err({kind: 'unavailable', message: `${url} ended the watch.`});
	} catch (error) {
		return controller.signal.aborted && isOpen
			? ok({revision: after, changed: []})
			: err({kind: 'unavailable', message: `${url} did not accept the watch, or ended it with an error: ${String(error)}`});
	} finally {
		clearTimeout(openTimer);
		clearTimeout(waitTimer);
		controller.abort();
	}
};

/**
One watch on the platform's service: opens the stream and returns its first
change. A stream that goes silent ends with the timeout, and the next watch
starts after the same revision, so that nothing is missed.
*/
import {err, ok, type Result} from 'neverthrow';
import {request, type Dispatcher} from 'undici';
import type {KeyValue} from '../key-value.js';
import type {PlatformError} from '../platform-error.js';
import {platformAnswers} from './platform-answers.js';
import {readLines} from './read-lines.js';

type Change = {readonly revision?: number; readonly changed: readonly KeyValue[]};

type WatchCall = {
	readonly dispatcher: Dispatcher;
	readonly url: string;
	readonly body: unknown;
	/** Returned as the revision if nothing changes. */
	readonly after?: number;
	readonly timeoutMs: number;
	/** How long the service may take to accept the watch, in milliseconds. */
	readonly openTimeoutMs: number;
};

/** Returns the first change, or none after `timeoutMs`. */
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
			const {result} = platformAnswers.watch.parse(JSON.parse(line));
			if (result.events.length > 0) {
				return ok({revision: result.header.revision, changed: result.events.map(({kv}) => kv)});
			}
		}

		return err({kind: 'unavailable', message: `${url} ended the watch.`});
	} catch (error) {
		return controller.signal.aborted && isOpen
			? ok({revision: after, changed: []})
			: err({kind: 'unavailable', message: `${url} did not take the watch: ${String(error)}`});
	} finally {
		clearTimeout(openTimer);
		clearTimeout(waitTimer);
		controller.abort();
	}
};

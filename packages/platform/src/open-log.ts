/**
Opens a replicated log that is stored in the platform's service.
`docs/design/log.md` describes how it is stored and why a fenced writer can no
longer write to it.
*/
import {Buffer} from 'node:buffer';
import {err, ok, type Result} from 'neverthrow';
import {createAppendQueue} from './log/create-append-queue.js';
import {createLogLayout} from './log/create-log-layout.js';
import {createLogView} from './log/create-log-view.js';
import {createLogWriter} from './log/create-log-writer.js';
import {createPendingAppend} from './log/create-pending-append.js';
import {createSerialRunner} from './log/create-serial-runner.js';
import {runWithTimeout} from './log/run-with-timeout.js';
import type {LogOptions} from './log/log-options.js';
import type {PlatformError} from './platform-error.js';
import type {ReplicatedLog} from './replicated-log.js';

const DEFAULT_SLOT_COUNT = 64;
const DEFAULT_APPEND_TIMEOUT_MS = 10_000;
const MAX_BATCH_BYTES = 128_000;

/**
Reads the whole log in one call and returns it, or the error of that call. To
take over an exclusive log, append an item that records the takeover: its entry
fences the previous writer, whose later appends are refused.
*/
export const openLog = async <Item, State, Rejection = never>(options: LogOptions<Item, State, Rejection>): Promise<Result<ReplicatedLog<Item, State, Rejection>, PlatformError>> => {
	const {slotCount = DEFAULT_SLOT_COUNT, appendTimeoutMs = DEFAULT_APPEND_TIMEOUT_MS} = options;
	const layout = createLogLayout(options.log, slotCount);
	const view = createLogView<Item, State>({...options, layout});
	const queue = createAppendQueue<Item, Rejection>(MAX_BATCH_BYTES);
	const runSerially = createSerialRunner();
	let isClosed = false;
	let isCommitting = false;
	let nextWriteAt = 0;

	const writer = createLogWriter<Item, State, Rejection>({
		...options, layout, view, isClosed: () => isClosed,
	});

	/** Waits until the commit window of the last write has passed, and starts the next one. */
	const waitForCommitWindow = async () => {
		const delayMs = nextWriteAt - Date.now();
		if (delayMs > 0) {
			await new Promise<void>(resolve => {
				setTimeout(resolve, delayMs);
			});
		}

		nextWriteAt = Date.now() + options.commitWindowMs;
	};

	/** Commits batches until the queue is empty. */
	const commitQueued = async () => {
		isCommitting = true;
		while (!queue.isEmpty()) {
			await waitForCommitWindow();
			await runSerially(async () => writer.commit(queue.takeBatch()));
		}

		isCommitting = false;
	};

	const failure = await writer.load();
	if (failure) {
		return err(failure);
	}

	return ok({
		index: view.index,
		state: view.state,
		isFenced: writer.isFenced,
		async append(item, {timeoutMs = appendTimeoutMs} = {}) {
			if (writer.isFenced()) {
				return err({kind: 'fenced'});
			}

			if (isClosed) {
				return err({kind: 'unavailable', message: 'The log is closed in this process.', fate: 'not-written'});
			}

			const bytes = Buffer.byteLength(JSON.stringify(item));
			if (bytes > MAX_BATCH_BYTES) {
				return err({kind: 'too-large', message: `An item of the log may have ${MAX_BATCH_BYTES} bytes; this one has ${bytes}.`});
			}

			const pending = createPendingAppend<Item, Rejection>(item, bytes, timeoutMs);
			queue.push(pending);
			if (!isCommitting) {
				void commitQueued();
			}

			return pending.result;
		},
		refresh: async () => runWithTimeout(async () => runSerially(async () => {
			const error = await writer.catchUp();
			return error ? err(error) : ok();
		}), appendTimeoutMs),
		close() {
			isClosed = true;
			for (const append of queue.takeAll()) {
				append.expire();
			}
		},
	});
};

/**
Opens a log of the platform's service. `docs/design/log.md` describes how it is
stored and why its fence holds.
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
Reads the whole log in one call. To take an exclusive log over, append an item
that says so: the entry is the fence, and the writer before it is refused from
then on.
*/
export const openLog = async <Item, State, Rejection = never>(options: LogOptions<Item, State, Rejection>): Promise<Result<ReplicatedLog<Item, State, Rejection>, PlatformError>> => {
	const {slotCount = DEFAULT_SLOT_COUNT, appendTimeoutMs = DEFAULT_APPEND_TIMEOUT_MS} = options;
	const layout = createLogLayout(options.log, slotCount);
	const view = createLogView<Item, State>({...options, layout});
	const queue = createAppendQueue<Item, Rejection>(MAX_BATCH_BYTES);
	const runSerially = createSerialRunner();
	let isClosed = false;
	let isPumping = false;
	let nextWriteAt = 0;

	const writer = createLogWriter<Item, State, Rejection>({
		...options, layout, view, isClosed: () => isClosed,
	});

	const waitForWindow = async () => {
		const delayMs = nextWriteAt - Date.now();
		if (delayMs > 0) {
			await new Promise<void>(resolve => {
				setTimeout(resolve, delayMs);
			});
		}

		nextWriteAt = Date.now() + options.commitWindowMs;
	};

	const pump = async () => {
		isPumping = true;
		while (!queue.isEmpty()) {
			await waitForWindow();
			await runSerially(async () => writer.commit(queue.takeBatch()));
		}

		isPumping = false;
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
			if (!isPumping) {
				void pump();
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

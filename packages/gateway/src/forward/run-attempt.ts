/**
One attempt of a request at one upstream: sends it, checks what comes back and
passes it on. Plain answers are passed on whole, so that one that breaks off
can be tried again; events are passed on as they come.
*/
import {Buffer} from 'node:buffer';
import type {Dispatcher} from 'undici';
import type {CallCodec} from '../call/call-codec.js';
import type {UpstreamHead} from '../call/upstream-head.js';
import type {Upstream} from '../upstreams/upstream.js';
import type {AttemptEnd} from './attempt-end.js';
import type {CallerAnswer} from './caller-answer.js';
import type {CallPlan} from './call-plan.js';
import {createEventSplitter} from './create-event-splitter.js';
import {judgeHead} from './judge-head.js';
import {sendToUpstream} from './send-to-upstream.js';
import type {StreamProgress} from './stream-progress.js';

type AttemptOptions = {
	readonly plan: CallPlan;
	readonly upstream: Upstream;
	readonly pool: Pick<Dispatcher, 'dispatch'>;
	readonly codec: CallCodec;
	readonly answer: CallerAnswer;
	readonly progress: StreamProgress;
	readonly priority: number | undefined;
	/** Stores the end of a turn before its answer ends; resolves to whether that succeeded. */
	readonly beforeEnd: () => Promise<boolean>;
	/** The upstream's answer has begun. */
	readonly onAnswered: () => void;
};

/** Beyond this a plain answer is passed on in pieces and can no longer be tried again. */
const MAX_GATHERED_BYTES = 1024 * 1024;

/** Resolves once the attempt is over; the caller's answer is over too where the end says so. */
export const runAttempt = async (options: AttemptOptions): Promise<AttemptEnd> => new Promise(resolve => {
	const {plan, upstream, pool, codec, answer, progress, priority, beforeEnd, onAnswered} = options;
	const {call, route, body, deadlineAt} = plan;
	const isStream = route.kind === 'stream';
	const splitter = createEventSplitter();
	const gathered: Uint8Array[] = [];
	let gatheredBytes = 0;
	let head: UpstreamHead | undefined;
	let verdict: ReturnType<typeof judgeHead> | undefined;
	let isSettled = false;

	const settle = (end: AttemptEnd): void => {
		if (!isSettled) {
			isSettled = true;
			clearTimeout(timer);
			resolve(end);
		}
	};

	const giveUp = (end: AttemptEnd): void => {
		sending.abort();
		settle(end);
	};

	const breakEnd = (message: string, isCut: boolean): AttemptEnd => ({kind: answer.isStarted() ? 'broken' : 'unknown', message, isCut});

	const startAnswer = (): void => {
		if (!answer.isStarted()) {
			answer.start(head!.status, head!.headers, head!.isFramed);
		}
	};

	const passEvents = (chunk: Uint8Array): void => {
		const {bytes, events} = splitter.push(chunk);
		if (bytes.length === 0) {
			return;
		}

		for (const event of events) {
			progress.lastEventId = event.id ?? progress.lastEventId;
			progress.output?.push(event.data, '\n');
		}

		progress.events += events.length;
		progress.firstEventAt ??= Date.now();
		startAnswer();
		pass(bytes);
	};

	const pass = (bytes: Uint8Array): void => {
		if (!answer.write(bytes)) {
			sending.pause();
			answer.onDrain(() => {
				sending.resume();
			});
		}
	};

	const gather = (chunk: Uint8Array): void => {
		if (answer.isStarted()) {
			pass(chunk);
			return;
		}

		gathered.push(chunk);
		gatheredBytes += chunk.length;
		if (gatheredBytes > MAX_GATHERED_BYTES) {
			startAnswer();
			pass(Buffer.concat(gathered.splice(0)));
		}
	};

	const endStream = async (): Promise<void> => {
		const rest = splitter.rest();
		if (!await beforeEnd()) {
			answer.breakOff();
			settle({kind: 'broken', message: 'too few copies of the turn could be stored', isCut: false});
			return;
		}

		startAnswer();
		answer.finish(rest.length > 0 ? rest : undefined);
		settle({kind: 'done', status: head!.status});
	};

	const endPlain = (): void => {
		const pass = (): void => {
			startAnswer();
			answer.finish(gathered.length > 0 ? Buffer.concat(gathered) : undefined);
		};

		if (verdict === 'server-failure' && !answer.isStarted()) {
			settle({kind: 'failed', status: head!.status, pass});
			return;
		}

		pass();
		settle({kind: 'done', status: head!.status});
	};

	const takeHead = (status: number, headers: Record<string, string | string[] | undefined>): void => {
		head = codec.decodeAnswer(status, headers);
		verdict = judgeHead(head, call.id);
		onAnswered();
		switch (verdict) {
			case 'foreign':
			case 'unproven': {
				giveUp(breakEnd(verdict === 'foreign' ? 'an answer to another request arrived' : `an answer with status ${status} proves nothing`, false));
				break;
			}

			case 'full':
			case 'not-run': {
				// The rest of this answer is of no use, but the connection is.
				settle({kind: 'not-run', isFull: verdict === 'full', message: `refused with status ${status}`});
				break;
			}

			case 'failure':
			case 'server-failure': {
				if (answer.isStarted()) {
					giveUp({kind: 'broken', message: `the stream could not go on: status ${status}`, isCut: false});
				}

				break;
			}

			case 'success': {
				break;
			}
		}
	};

	const sending = sendToUpstream(pool, {
		method: call.method,
		path: call.path,
		headers: codec.encodeCall(call, {
			upstreamId: upstream.id,
			deadlineMs: Math.max(1, deadlineAt - Date.now()),
			priority,
			lastEventId: progress.lastEventId ?? call.lastEventId,
		}),
		body,
	}, {
		onHead: takeHead,
		onData(chunk) {
			if (isSettled) {
				return;
			}

			if (isStream && verdict === 'success') {
				passEvents(chunk);
			} else {
				gather(chunk);
			}
		},
		onEnd() {
			if (isSettled) {
				return;
			}

			if (isStream && verdict === 'success') {
				void endStream();
			} else {
				endPlain();
			}
		},
		onFailed({wasSent, message}) {
			settle(wasSent ? breakEnd(message, true) : {kind: 'not-run', isFull: false, message});
		},
	});

	const timer = setTimeout(() => {
		const wasSent = sending.wasSent();
		giveUp({kind: 'timed-out', wasSent});
	}, Math.max(0, deadlineAt - Date.now()));

	answer.onGone(() => {
		giveUp({kind: 'gone'});
	});
});

/**
Streams a run's answer to a client as server-sent events in the format of the
chat completions API.
*/
import {Buffer} from 'node:buffer';
import type {ServerResponse} from 'node:http';
import type {EngineRun} from './engine-run.js';

const writeData = (res: ServerResponse, data: unknown): void => {
	res.write(`data: ${JSON.stringify(data)}\n\n`);
};

const writeFinish = (res: ServerResponse, run: EngineRun): void => {
	const {promptTokens, requestId} = run.record;
	writeData(res, {
		id: requestId,
		choices: [{index: 0, delta: {}, finish_reason: run.fate}],
		usage: {
			prompt_tokens: promptTokens,
			completion_tokens: run.generatedTokens,
			total_tokens: promptTokens + run.generatedTokens,
			prompt_tokens_details: {cached_tokens: run.cachedTokens},
		},
	});
	res.end('data: [DONE]\n\n');
};

/** Sends the answer from byte `from` until the run ends. The connection is reset once `cutAt` bytes were sent, but only once per run; -1 disables this. */
export const streamRun = (run: EngineRun, res: ServerResponse, from: number, cutAt: number): void => {
	let sent = from;
	res.writeHead(200, {'content-type': 'text/event-stream', 'cache-control': 'no-store'});
	res.flushHeaders();

	const sendProgress = (): void => {
		if (run.output.length > sent) {
			const content = Buffer.from(run.output.subarray(sent)).toString('utf8');
			sent = run.output.length;
			writeData(res, {id: run.record.requestId, choices: [{index: 0, delta: {content}, finish_reason: null}]});
		}

		if (cutAt >= 0 && sent >= cutAt && !run.isCut) {
			run.isCut = true;
			run.listeners.delete(sendProgress);
			res.socket?.resetAndDestroy();
			return;
		}

		if (run.fate !== 'running') {
			run.listeners.delete(sendProgress);
			writeFinish(res, run);
		}
	};

	run.listeners.add(sendProgress);
	res.on('close', () => run.listeners.delete(sendProgress));
	sendProgress();
};

/**
Writes a run's answer to a response as server-sent events.
*/
import {Buffer} from 'node:buffer';
import type {ServerResponse} from 'node:http';
import type {Run} from './run.js';

const writeData = (res: ServerResponse, data: unknown): void => {
	res.write(`data: ${JSON.stringify(data)}\n\n`);
};

const writeFinish = (res: ServerResponse, run: Run): void => {
	const {promptTokens, requestId} = run.record;
	writeData(res, {
		id: requestId,
		choices: [{index: 0, delta: {}, finish_reason: run.fate}],
		usage: {
			prompt_tokens: promptTokens,
			completion_tokens: run.generated,
			total_tokens: promptTokens + run.generated,
			prompt_tokens_details: {cached_tokens: run.cachedTokens},
		},
	});
	res.end('data: [DONE]\n\n');
};

/** Sends the answer from byte `from` and follows the run to its end. `cutAt` cuts the connection at that byte; -1 never. */
export const streamRun = (run: Run, res: ServerResponse, from: number, cutAt: number): void => {
	let sent = from;
	res.writeHead(200, {'content-type': 'text/event-stream', 'cache-control': 'no-store'});
	res.flushHeaders();

	const pump = (): void => {
		if (run.output.length > sent) {
			const content = Buffer.from(run.output.subarray(sent)).toString('utf8');
			sent = run.output.length;
			writeData(res, {id: run.record.requestId, choices: [{index: 0, delta: {content}, finish_reason: null}]});
		}

		if (cutAt >= 0 && sent >= cutAt && !run.cutDone) {
			run.cutDone = true;
			run.listeners.delete(pump);
			res.socket?.resetAndDestroy();
			return;
		}

		if (run.fate !== 'running') {
			run.listeners.delete(pump);
			writeFinish(res, run);
		}
	};

	run.listeners.add(pump);
	res.on('close', () => run.listeners.delete(pump));
	pump();
};

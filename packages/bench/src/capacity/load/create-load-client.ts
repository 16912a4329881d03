/**
Callers that spend as little time as possible on what they receive.
*/
import {Agent, request} from 'undici';
import type {LoadClient} from './load-client.js';

const CONNECTIONS = 512;
const HEADERS = {'siskinhub-workspace': 'load', 'content-type': 'application/json'};

const expectText = (text: string, expected: string): void => {
	if (!text.includes(expected)) {
		throw new Error(`expected ${expected}, got: ${text.slice(-300)}`);
	}
};

/** Creates a client of the entry at `address`. */
export const createLoadClient = (address: string): LoadClient => {
	const dispatcher = new Agent({connections: CONNECTIONS});
	let engineRequests = 0;

	const post = async (url: string, body: unknown, headers: Readonly<Record<string, string>>): Promise<string> => {
		const response = await request(url, {
			method: 'POST', dispatcher, headers: {...headers}, body: JSON.stringify(body),
		});
		return response.body.text();
	};

	return {
		async startProgram() {
			const text = await post(`${address}/v1/programs`, {kind: 'agent', deployment: 'load'}, HEADERS);
			expectText(text, '"program"');
			return (JSON.parse(text) as {readonly program: string}).program;
		},
		async call({program, turn, target, idempotent, input, outputTokens}) {
			const text = await post(`${address}/v1/programs/${program}/calls`, {
				turn, requestId: `r${turn}`, idempotent, target, input, ...('model' in target && {maxOutputTokens: outputTokens}),
			}, HEADERS);
			expectText(text, 'event: final');
		},
		async callEngine(engineAddress, group, prompt, outputTokens) {
			engineRequests++;
			const text = await post(`${engineAddress}/v1/chat/completions`, {
				model: 'model', messages: [{role: 'user', content: prompt}], max_tokens: outputTokens, stream: true, stream_options: {include_usage: true},
			}, {'content-type': 'application/json', 'x-request-id': `direct-${engineRequests}`, 'x-cache-group': group});
			expectText(text, '[DONE]');
		},
		async close() {
			await dispatcher.destroy();
		},
	};
};

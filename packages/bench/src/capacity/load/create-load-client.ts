/**
Creates the HTTP client that generates load. It searches the response to a call
for its last event instead of parsing it, so that the client itself costs little.
*/
import {Agent, request} from 'undici';
import type {LoadClient} from './load-client.js';

const MAX_CONNECTIONS = 512;
const HEADERS = {'siskinhub-workspace': 'load', 'content-type': 'application/json'};

const expectText = (text: string, expected: string): void => {
	if (!text.includes(expected)) {
		throw new Error(`the response does not contain ${expected}; it ends with: ${text.slice(-300)}`);
	}
};

/** Creates a client of the entry at `address`. */
export const createLoadClient = (address: string): LoadClient => {
	const dispatcher = new Agent({connections: MAX_CONNECTIONS});
	let engineRequestCount = 0;

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
			engineRequestCount++;
			const text = await post(`${engineAddress}/v1/chat/completions`, {
				model: 'model', messages: [{role: 'user', content: prompt}], max_tokens: outputTokens, stream: true, stream_options: {include_usage: true},
			}, {'content-type': 'application/json', 'x-request-id': `direct-${engineRequestCount}`, 'x-cache-group': group});
			expectText(text, '[DONE]');
		},
		async close() {
			await dispatcher.destroy();
		},
	};
};

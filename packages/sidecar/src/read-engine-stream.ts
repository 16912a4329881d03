/**
Reads one chat-completions stream (server-sent events) of a model engine.
*/
import {createParser} from 'eventsource-parser';
import {engineChunkSchema} from './engine-chunk.js';

type StreamEnd = {
	readonly finish: string;
	readonly promptTokens: number;
	readonly outputTokens: number;
};

const END_OF_STREAM = '[DONE]';
/** An event holds a few tokens; a faulty engine may send one without end. */
const MAX_EVENT_CHARACTERS = 1024 * 1024;

/** Passes each text chunk to `onText`. Returns the finish reason and usage, or undefined if the stream ended early. Rejects if an event is too large, and `body` is destroyed then. */
export const readEngineStream = async (body: AsyncIterable<Uint8Array>, onText: (text: string) => void): Promise<StreamEnd | undefined> => {
	const decoder = new TextDecoder();
	let finish = '';
	let usage: {prompt_tokens: number; completion_tokens: number} | undefined;
	let isComplete = false;
	const parser = createParser({
		maxBufferSize: MAX_EVENT_CHARACTERS,
		onError(error) {
			if (error.type === 'max-buffer-size-exceeded') {
				throw error;
			}
		},
		onEvent(event) {
			if (event.data === END_OF_STREAM) {
				isComplete = true;
				return;
			}

			const chunk = engineChunkSchema.parse(JSON.parse(event.data));
			const [choice] = chunk.choices;
			if (choice?.delta.content) {
				onText(choice.delta.content);
			}

			finish = choice?.finish_reason ?? finish;
			usage = chunk.usage ?? usage;
		},
	});
	for await (const bytes of body) {
		parser.feed(decoder.decode(bytes, {stream: true}));
	}

	return isComplete && usage
		? {finish, promptTokens: usage.prompt_tokens, outputTokens: usage.completion_tokens}
		: undefined;
};

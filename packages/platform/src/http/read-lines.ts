/**
Splits a stream of bytes into lines of text.
*/

/** Yields each line that ends with a newline; text after the last newline is dropped. Errors of the stream are thrown to the consumer. */
export const readLines = async function * (chunks: AsyncIterable<Uint8Array>): AsyncGenerator<string> {
	const decoder = new TextDecoder();
	let rest = '';
	for await (const chunk of chunks) {
		const lines = (rest + decoder.decode(chunk, {stream: true})).split('\n');
		rest = lines.pop() ?? '';
		yield * lines;
	}
};

/**
Reads JSON bodies and validates them.
*/
import {Buffer} from 'node:buffer';
import type {IncomingMessage} from 'node:http';
import {err, ok, type Result} from 'neverthrow';
import {type z} from 'zod';
import type {Refusal} from '@siskinhub/core/refusal/refusal.js';

type ReadError = {readonly kind: 'too-large'} | {readonly kind: 'cut'};

const readBytes = async (req: IncomingMessage, maxBytes: number): Promise<Result<Uint8Array, ReadError>> => {
	const pieces: Uint8Array[] = [];
	let size = 0;
	try {
		for await (const piece of req as AsyncIterable<Uint8Array>) {
			size += piece.length;
			if (size > maxBytes) {
				return err({kind: 'too-large'});
			}

			pieces.push(piece);
		}
	} catch {
		return err({kind: 'cut'});
	}

	return ok(Buffer.concat(pieces));
};

const parseJson = (bytes: Uint8Array): Result<unknown, Refusal> => {
	try {
		const text = new TextDecoder('utf8', {fatal: true}).decode(bytes);
		return ok(JSON.parse(text) as unknown);
	} catch {
		return err({code: 'bad-request', message: 'The body is not JSON in UTF-8; correct it and send the request again.'});
	}
};

/** Reads a body of at most `maxBytes`; the refusal of an invalid one lists every fault. */
export const readJson = async <Schema extends z.ZodType>(req: IncomingMessage, maxBytes: number, schema: Schema): Promise<Result<z.output<Schema>, Refusal>> => {
	const bytes = await readBytes(req, maxBytes);
	if (bytes.isErr()) {
		return err(bytes.error.kind === 'too-large'
			? {code: 'too-large', message: `The body has more than ${maxBytes} bytes; send less.`}
			: {code: 'bad-request', message: 'The body ended early.'});
	}

	const json = parseJson(bytes.value);
	if (json.isErr()) {
		return err(json.error);
	}

	const parsed = schema.safeParse(json.value);
	if (parsed.success) {
		return ok(parsed.data);
	}

	const faults = parsed.error.issues.map(issue => `${issue.path.join('.') || 'body'}: ${issue.message}`);
	return err({code: 'bad-request', message: `The body is not as expected; correct it: ${faults.join('; ')}.`});
};

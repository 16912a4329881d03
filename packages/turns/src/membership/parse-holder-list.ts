/**
Parses and validates the list of holders as the platform's service stores it.
*/
import {
	err, fromThrowable, ok, type Result,
} from 'neverthrow';
import * as z from 'zod';
import type {HolderList} from '../membership/holder-list.js';

const HolderSchema = z.object({diskId: z.string().min(1), host: z.string(), address: z.string()});
const HolderListSchema = z.object({
	version: z.int().positive(),
	current: z.array(HolderSchema).min(1),
	next: z.array(HolderSchema).min(1).optional(),
});

/** `text` is JSON; the error says what is wrong with it. */
export const parseHolderList = (text: string): Result<HolderList, string> => {
	const value = fromThrowable((): unknown => JSON.parse(text), String)();
	if (value.isErr()) {
		return err(value.error);
	}

	const parsed = HolderListSchema.safeParse(value.value);
	return parsed.success ? ok(parsed.data) : err(parsed.error.message);
};

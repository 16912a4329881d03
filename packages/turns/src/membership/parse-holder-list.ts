/**
Parses and validates the list of a group's holders as the platform's service
stores it.
*/
import type {Result} from 'neverthrow';
import * as z from 'zod';
import type {HolderList} from '../membership/holder-list.js';
import {HolderSchema} from './holder-schema.js';
import {parseJsonAs} from './parse-json-as.js';

const HolderListSchema = z.object({
	version: z.int().positive(),
	current: z.array(HolderSchema).min(1),
	next: z.array(HolderSchema).min(1).optional(),
});

/** `text` is JSON; the error says what is wrong with it. */
export const parseHolderList = (text: string): Result<HolderList, string> => parseJsonAs(text, HolderListSchema);

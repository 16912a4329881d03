/**
Parses and validates the registration of a disk as the platform's service stores
it.
*/
import type {Result} from 'neverthrow';
import type {Holder} from './holder.js';
import {HolderSchema} from './holder-schema.js';
import {parseJsonAs} from './parse-json-as.js';

/** `text` is JSON; the error says what is wrong with it. */
export const parseHolder = (text: string): Result<Holder, string> => parseJsonAs(text, HolderSchema);

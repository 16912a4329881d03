/**
The ways in which a request to an entry can fail.
*/
import type {RefusalBody} from './refusal-body.js';

/** `not-sent`: no connection was made, so the entry cannot have acted. `lost`: the entry may have acted, but no valid answer arrived. */
export type EntryError =
	| {readonly kind: 'refused'; readonly status: number; readonly refusal: RefusalBody}
	| {readonly kind: 'not-sent' | 'lost'; readonly message: string};

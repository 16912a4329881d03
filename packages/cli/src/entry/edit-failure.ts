/**
The ways in which submitting a table edit can fail.
*/
import type {RefusalBody} from './refusal-body.js';

/**
`refused`: the edit did not take effect, for the given reason. `not-sent`: no
entry could be reached. `not-accepted`: the answer was lost, and an entry has
since confirmed that the edit did not take effect and never will. `unknown`: the
answer was lost, and no entry could tell whether the edit took effect.
*/
export type EditFailure =
	| {readonly kind: 'refused'; readonly refusal: RefusalBody}
	| {readonly kind: 'not-sent'; readonly message: string}
	| {readonly kind: 'not-accepted' | 'unknown'; readonly editId: string; readonly message: string};

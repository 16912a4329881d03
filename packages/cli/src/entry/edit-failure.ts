/**
Why an edit of the table was not accepted, or cannot be known to have been.
*/
import type {RefusalBody} from './refusal-body.js';

/**
`refused`: it did not take effect, for the reason given. `not-sent`: no entry
could be reached. `not-accepted`: the answer was lost, and an entry said since
that the edit did not and will not take effect. `unknown`: the answer was lost
and no entry could say.
*/
export type EditFailure =
	| {readonly kind: 'refused'; readonly refusal: RefusalBody}
	| {readonly kind: 'not-sent'; readonly message: string}
	| {readonly kind: 'not-accepted' | 'unknown'; readonly editId: string; readonly message: string};

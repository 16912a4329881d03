/**
How an answer went beyond what one answer may have.
*/

/**
`event`: bytes without the end of an event. `events`: more events than the turn has
tokens. `comments`: bytes that bring no event. `turn`: a turn that is too long to be kept.
*/
export type AnswerExcess = {
	readonly kind: 'event' | 'events' | 'comments' | 'turn';
	/** Says what was exceeded and by how much. */
	readonly message: string;
};

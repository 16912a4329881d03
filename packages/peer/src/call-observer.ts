/**
Callbacks for a call that may have several replies.
*/
import type {MessageBody} from './message-body.js';
import type {LinkError} from './link-error.js';

/** `onReply` is called for each reply in order, `onLost` at most once and as the last. */
export type CallObserver = {
	readonly onReply: (body: MessageBody) => void;
	readonly onLost: (err: LinkError) => void;
};

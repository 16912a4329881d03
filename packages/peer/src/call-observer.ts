/**
What the opener of a call with many replies is told.
*/
import type {Body} from './body.js';
import type {LinkError} from './link-error.js';

/** `onReply` for each reply in order; `onLost` at most once, after which nothing more comes. */
export type CallObserver = {
	readonly onReply: (body: Body) => void;
	readonly onLost: (err: LinkError) => void;
};

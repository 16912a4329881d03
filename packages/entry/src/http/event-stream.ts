/**
One response of server-sent events.
*/
import type {CallEvents} from '../calls/call-events.js';

/** Events of a call on their way to a caller. */
export type EventStream = {
	readonly events: CallEvents;
	/** Whether the caller is still there. */
	readonly isOpen: () => boolean;
};

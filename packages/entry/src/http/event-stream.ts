/**
An HTTP response that streams the events of a call as server-sent events.
*/
import type {CallEvents} from '../calls/call-events.js';

export type EventStream = {
	/** Handlers that write the events to the response. */
	readonly events: CallEvents;
	/** Whether the response can still be written to. */
	readonly isOpen: () => boolean;
};

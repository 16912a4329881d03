/**
Event stream of the changes in an engine stand-in's prefix cache.
*/
import type {ServerResponse} from 'node:http';

/** Sends cache events to subscribers as server-sent events. */
export type CacheEventFeed = {
	readonly publish: (change: {readonly type: string; readonly group: string; readonly tokens: number}) => void;
	/** Adds a subscriber until its connection closes. */
	readonly subscribe: (res: ServerResponse) => void;
};

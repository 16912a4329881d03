/**
The late and gappy cache events of a stand-in engine.
*/
import type {ServerResponse} from 'node:http';

/** Subscribers of one engine's cache events. */
export type CacheEventFeed = {
	readonly publish: (change: {readonly type: string; readonly group: string; readonly tokens: number}) => void;
	readonly subscribe: (res: ServerResponse) => void;
};

/**
The feeds of callers' connections, for what has to stop one: a refused request need not
be parsed to its end.
*/
import type {Socket} from 'node:net';
import type {RequestFeed} from './create-request-feed.js';

export const requestFeeds = new WeakMap<Socket, RequestFeed>();

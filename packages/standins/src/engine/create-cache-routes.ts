/**
HTTP routes over the prefix cache of an engine stand-in: list, watch, release,
export and import.
*/
import {z} from 'zod';
import {readJsonBody} from '../http/read-json-body.js';
import type {StandInRoute} from '../http/stand-in-route.js';
import {sendJson} from '../http/send-json.js';
import type {Engine} from './engine.js';
import {readFencingNumber} from './read-fencing-number.js';
import {sendFenced} from './send-fenced.js';

const prefixSchema = z.object({tokens: z.number().int().positive()});

const createTransferRoutes = ({cache, fence}: Engine): StandInRoute[] => [
	{
		method: 'POST',
		pattern: /^\/cache\/([^\/]+)\/export$/v,
		handle({res, params}) {
			const group = params[0] ?? '';
			const tokens = cache.get(group);
			sendJson(res, tokens > 0 ? 200 : 404, tokens > 0 ? {group, tokens} : {error: {message: 'no such group'}});
		},
	},
	{
		method: 'PUT',
		pattern: /^\/cache\/([^\/]+)$/v,
		async handle({req, res, params}) {
			const group = params[0] ?? '';
			const body = prefixSchema.safeParse(await readJsonBody(req));
			if (!body.success) {
				sendJson(res, 400, {error: {message: body.error.message}});
			} else if (fence(group, readFencingNumber(req))) {
				cache.store(group, body.data.tokens);
				sendJson(res, 200, {group, tokens: body.data.tokens});
			} else {
				sendFenced(res);
			}
		},
	},
];

/** `GET /cache`, `GET /cache-events`, `DELETE`, `PUT /cache/GROUP` and `POST /cache/GROUP/export`. */
export const createCacheRoutes = (engine: Engine): StandInRoute[] => [
	{
		method: 'GET',
		pattern: /^\/cache$/v,
		handle({res}) {
			sendJson(res, 200, {groups: engine.cache.list()});
		},
	},
	{
		method: 'GET',
		pattern: /^\/cache-events$/v,
		handle({res}) {
			engine.feed.subscribe(res);
		},
	},
	{
		method: 'DELETE',
		pattern: /^\/cache\/([^\/]+)$/v,
		handle({req, res, params}) {
			const group = params[0] ?? '';
			if (engine.fence(group, readFencingNumber(req))) {
				sendJson(res, 200, {released: engine.cache.remove(group)});
			} else {
				sendFenced(res);
			}
		},
	},
	...createTransferRoutes(engine),
];

/**
HTTP routes for load, orders, faults and records of an engine stand-in.
*/
import {z} from 'zod';
import {readJsonBody} from '../http/read-json-body.js';
import type {StandInRoute} from '../http/stand-in-route.js';
import {sendJson} from '../http/send-json.js';
import {engineFaultsSchema} from './engine-faults-schema.js';
import type {Engine} from './engine.js';
import {sendFenced} from './send-fenced.js';

/** Fencing scope of orders, which concern the whole engine; cache groups are the other scopes. */
const ENGINE_SCOPE = '';

const orderSchema = z.object({order: z.unknown(), fencingNumber: z.number().int().optional()});

/** Returns a function that measures the load at most once per `lagMs`, so that its report is stale as a real engine's is. */
const createLoadReader = ({batch, cache, options, faults}: Engine) => {
	const measureLoad = () => ({
		running: batch.running(), queued: batch.queued(), slots: options.slots, cacheTokens: cache.totalTokens(),
	});
	let report = measureLoad();
	let measuredAt = Date.now();
	return () => {
		if (Date.now() - measuredAt >= faults.lagMs) {
			report = measureLoad();
			measuredAt = Date.now();
		}

		return report;
	};
};

const createOrderRoutes = (engine: Engine): StandInRoute[] => {
	const orders: Array<z.infer<typeof orderSchema>> = [];
	return [
		{
			method: 'POST',
			pattern: /^\/orders$/v,
			async handle({req, res}) {
				const parsed = orderSchema.safeParse(await readJsonBody(req));
				if (!parsed.success) {
					sendJson(res, 400, {error: {message: parsed.error.message}});
				} else if (engine.fence(ENGINE_SCOPE, parsed.data.fencingNumber)) {
					orders.push(parsed.data);
					sendJson(res, 200, {accepted: true});
				} else {
					sendFenced(res);
				}
			},
		},
		{
			method: 'GET',
			pattern: /^\/orders$/v,
			handle({res}) {
				sendJson(res, 200, orders);
			},
		},
	];
};

/** `GET /load`, `POST` and `GET /orders`, `GET /records` and `PUT /faults`. */
export const createControlRoutes = (engine: Engine): StandInRoute[] => {
	const readLoad = createLoadReader(engine);
	return [
		{
			method: 'GET',
			pattern: /^\/load$/v,
			handle({res}) {
				sendJson(res, 200, readLoad());
			},
		},
		{
			method: 'GET',
			pattern: /^\/records$/v,
			handle({res}) {
				sendJson(res, 200, engine.records());
			},
		},
		{
			method: 'PUT',
			pattern: /^\/faults$/v,
			async handle({req, res}) {
				const parsed = engineFaultsSchema.safeParse(await readJsonBody(req));
				if (parsed.success) {
					Object.assign(engine.faults, parsed.data);
				}

				sendJson(res, parsed.success ? 200 : 400, parsed.success ? engine.faults : {error: {message: parsed.error.message}});
			},
		},
		...createOrderRoutes(engine),
	];
};

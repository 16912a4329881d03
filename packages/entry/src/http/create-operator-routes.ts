/**
HTTP routes for operators: the entry's status, and the upstreams.
*/
import {setTimeout as delay} from 'node:timers/promises';
import type {HttpRequest} from './http-request.js';
import type {HttpRoute} from './http-route.js';
import type {RouteContext} from './route-context.js';
import {sendJson} from './send-json.js';
import {sendRefusal} from './send-refusal.js';

/** Time in which the first load reports arrive at an entry that owns no shard. */
const FIRST_REPORT_WAIT_MS = 500;

/** Creates the routes of one entry. */
export const createOperatorRoutes = (context: RouteContext): HttpRoute[] => {
	const {cfg, instance, upstreams, ownership, calls} = context;

	const showStatus = async ({res}: HttpRequest) => {
		const owned = ownership.owned();
		let openPrograms = 0;
		for (const owner of owned) {
			openPrograms += owner.openPrograms();
		}

		sendJson(res, 200, {
			host: cfg.host,
			instance,
			dataCentre: cfg.dataCentre,
			version: context.version,
			tableRevision: context.tableRevision(),
			platform: ownership.isPlatformUp() ? 'up' : 'down',
			shards: owned.map(owner => ({shard: owner.shard, epoch: owner.epoch, programs: owner.openPrograms()})),
			openPrograms,
			runningCalls: calls.open(),
			leaving: context.isLeaving(),
		});
	};

	const listUpstreams = async ({res}: HttpRequest) => {
		upstreams.connectToAll();
		if (ownership.owned().length === 0) {
			await delay(FIRST_REPORT_WAIT_MS);
		}

		sendJson(res, 200, {
			upstreams: upstreams.list().map(({id, kind, target, dataCentre, state, load, reportedAt}) => ({
				id,
				kind,
				target,
				dataCentre,
				state,
				running: load?.running ?? 0,
				queued: load?.queued ?? 0,
				reportAgeMs: reportedAt === 0 ? null : Date.now() - reportedAt,
				heldPrefixes: load?.heldPrefixes ?? 0,
			})),
		});
	};

	const drainUpstream = async ({res, params}: HttpRequest) => {
		const [id = ''] = params;
		const upstream = upstreams.list().find(candidate => candidate.id === id);
		if (!upstream) {
			sendRefusal(res, {code: 'unknown-row', message: `There is no upstream ${id}; list the upstreams to see their ids.`});
			return;
		}

		if (await context.drainUpstream(upstream.sidecarAddress)) {
			sendJson(res, 200, {id, state: 'leaving'});
		} else {
			sendRefusal(res, {code: 'unavailable', message: `The sidecar of ${id} did not answer; try again.`, retryAfterMs: 1000});
		}
	};

	return [
		{
			method: 'GET', pattern: /^\/v1\/status$/v, audience: 'operator', handle: showStatus,
		},
		{
			method: 'GET', pattern: /^\/v1\/upstreams$/v, audience: 'operator', handle: listUpstreams,
		},
		{
			method: 'POST', pattern: /^\/v1\/upstreams\/([^\/]+)\/drain$/v, audience: 'operator', handle: drainUpstream,
		},
	];
};

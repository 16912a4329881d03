/**
Chooses the upstream for the next attempt of a request: by prompt cache and load
for model calls, by load for all others.
*/
import {chooseEngine} from '../placement/choose-engine.js';
import {choosePlainUpstream} from '../placement/choose-plain-upstream.js';
import type {UpstreamLoad} from '../placement/upstream-load.js';
import type {CallPlan} from './call-plan.js';
import type {GatewayContext} from './gateway-context.js';

/** `excluded` holds the ids of upstreams that already refused the request or may have run it. */
export const chooseUpstreamForCall = ({directory, loads, random}: GatewayContext, {call, route, service}: CallPlan, excluded: ReadonlySet<string>): UpstreamLoad | undefined => {
	const candidates = directory.list(service).filter(({id}) => !excluded.has(id)).map(upstream => loads.getLoad(upstream, call));
	return call.prompt ? chooseEngine(call, candidates) : choosePlainUpstream(call, candidates, route.isSticky, random);
};

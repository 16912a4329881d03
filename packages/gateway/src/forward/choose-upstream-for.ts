/**
Chooses the upstream of the next attempt.
*/
import {chooseEngine} from '../placement/choose-engine.js';
import {choosePlainUpstream} from '../placement/choose-plain-upstream.js';
import type {UpstreamLoad} from '../placement/upstream-load.js';
import type {CallPlan} from './call-plan.js';
import type {GatewayParts} from './gateway-parts.js';

/** `excluded` has the ids of upstreams that already refused the request or may have run it. */
export const chooseUpstreamFor = ({directory, loads, random}: GatewayParts, {call, route, service}: CallPlan, excluded: ReadonlySet<string>): UpstreamLoad | undefined => {
	const views = directory.list(service).filter(({id}) => !excluded.has(id)).map(upstream => loads.view(upstream, call));
	return call.prompt ? chooseEngine(call, views) : choosePlainUpstream(call, views, route.isSticky, random);
};

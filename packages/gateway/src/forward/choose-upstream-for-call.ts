/**
Chooses the upstream for the next attempt of a request: by prompt cache and load
for model calls, by load for all others. One that is suspended gets a call only if no
other is left.
*/
import {chooseEngine} from '../placement/choose-engine.js';
import {choosePlainUpstream} from '../placement/choose-plain-upstream.js';
import type {UpstreamLoad} from '../placement/upstream-load.js';
import type {Upstream} from '../upstreams/upstream.js';
import {isRepeatable} from '../routes/is-repeatable.js';
import type {CallPlan} from './call-plan.js';
import type {GatewayContext} from './gateway-context.js';

/** `isUsable` leaves out upstreams that must not be tried, or not now. */
export const chooseUpstreamForCall = ({directory, loads, random}: GatewayContext, {call, route, service}: CallPlan, isUsable: (upstream: Upstream) => boolean): UpstreamLoad | undefined => {
	const usable = directory.list(service).filter(upstream => isUsable(upstream)).map(upstream => loads.getLoad(upstream, call, isRepeatable(route)));
	const unsuspended = usable.filter(({trust}) => trust !== 'suspended');
	const candidates = unsuspended.length > 0 ? unsuspended : usable;
	return call.prompt ? chooseEngine(call, candidates) : choosePlainUpstream(call, candidates, route.isSticky, random);
};

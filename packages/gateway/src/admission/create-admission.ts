/**
Applies the admission of programs to the requests of one gateway.

Several gateways see the calls of one program: callers go to another one when they
are refused, or after a restart, and a gateway knows only the programs that it has
accepted itself. So the draw is the program's and not the call's. All gateways then
refuse the same programs under the same load, from their first call on, and none
refuses what another has begun.
*/
import {hashPair} from '@siskinhub/core/ids/hash-pair.js';
import type {CallHead} from '../call/call-head.js';
import {isLate} from '../call/is-late.js';
import type {LoadTracker} from '../placement/load-tracker.js';
import type {RouteTable} from '../routes/route-table.js';
import type {CallerDirectory} from '../workspaces/caller-directory.js';
import {rankCaller} from '../workspaces/rank-caller.js';
import {createKnownPrograms} from './create-known-programs.js';
import type {createLoopMonitor} from './create-loop-monitor.js';
import {decideAdmission} from './decide-admission.js';
import {readEngineWait} from './read-engine-wait.js';

type AdmissionOptions = {
	readonly routes: Pick<RouteTable, 'match'>;
	readonly callers: Pick<CallerDirectory, 'identify'>;
	readonly loop: Pick<ReturnType<typeof createLoopMonitor>, 'read'>;
	/** Milliseconds for which calls have recently waited at the upstreams of the service. */
	readonly meanWaitMs: LoadTracker['meanWaitMs'];
};

/** Uniformly distributed in [0, 1) over the programs, and the same for all calls of one in every process. */
const drawFraction = ({id, program}: CallHead): number => hashPair('admission', program?.id ?? id);

/** The returned function is called once for each request; it returns whether to handle it. */
export const createAdmission = ({routes, callers, loop, meanWaitMs}: AdmissionOptions): ((call: CallHead) => boolean) => {
	const programs = createKnownPrograms();
	return call => {
		const caller = callers.identify(call);
		const workspace = caller.kind === 'workspace' ? caller.workspace : undefined;
		const isFirstCall = programs.isFirstCall(call, workspace?.name);
		const isLateTurn = call.prompt !== undefined && isLate(call);
		const route = isFirstCall || isLateTurn ? routes.match(call.host, call.path) : undefined;
		const state = {
			...loop.read(),
			rank: rankCaller(workspace, {rank: route?.rank ?? 0}),
			objectiveMs: route?.objectiveMs ?? 0,
			waitMs: readEngineWait(call, route, meanWaitMs),
			isFirstCall,
			isLateTurn,
		};
		if (decideAdmission(state, drawFraction(call)) === 'refuse') {
			return false;
		}

		programs.add(call, workspace?.name);
		return true;
	};
};

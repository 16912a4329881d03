/**
Applies the admission of programs to the requests of one gateway.
*/
import type {CallHead} from '../call/call-head.js';
import type {RouteTable} from '../routes/route-table.js';
import {createKnownPrograms} from './create-known-programs.js';
import type {createLoopMonitor} from './create-loop-monitor.js';
import {decideAdmission} from './decide-admission.js';

type AdmissionOptions = {
	readonly routes: Pick<RouteTable, 'match'>;
	readonly loop: Pick<ReturnType<typeof createLoopMonitor>, 'read'>;
	/** Uniformly distributed in [0, 1). */
	readonly random: () => number;
};

/** The returned function is called once for each request; it returns whether to handle it. */
export const createAdmission = ({routes, loop, random}: AdmissionOptions): ((call: CallHead) => boolean) => {
	const programs = createKnownPrograms();
	return call => {
		const isFirstCall = programs.isFirstCall(call);
		const rank = isFirstCall ? routes.match(call.host, call.path)?.rank ?? 0 : 0;
		if (decideAdmission({...loop.read(), rank, isFirstCall}, random()) === 'refuse') {
			return false;
		}

		programs.add(call);
		return true;
	};
};

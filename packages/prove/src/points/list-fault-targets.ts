/**
Lists the targets of each kind of fault in a cluster.
*/
import type {FaultKind} from '../schedule/fault-kind.js';
import type {ProofContext} from './proof-context.js';

/** Returns the requested kinds with all their targets. */
export const listFaultTargets = ({cluster}: ProofContext, kinds: readonly FaultKind[]): Partial<Record<FaultKind, readonly string[]>> => {
	const daemons = [...cluster.entries.map(({name}) => name), ...cluster.upstreams.map(({sidecar}) => sidecar.name)];
	const upstreams = cluster.upstreams.map(({id}) => id);
	const targets: Record<FaultKind, readonly string[]> = {
		kill: [...daemons, ...upstreams],
		freeze: daemons,
		stop: daemons,
		silence: [...cluster.relays.keys()],
		'platform-down': ['platform'],
		'platform-slow': ['platform'],
		'platform-lose-answers': ['platform'],
		'upstream-cut': upstreams,
		'upstream-slow': upstreams,
	};
	return Object.fromEntries(kinds.map(kind => [kind, targets[kind]]));
};

/**
Lists where the extra copy of a slow request may go: other hosts, which this process
knows to be faster now than the one that has the request.

Load: one slow upstream beside others that are not; where all are slow, none is left.
*/
import type {UpstreamLoad} from '../placement/upstream-load.js';

const readHost = ({upstream: {address}}: UpstreamLoad): string => address.slice(0, address.lastIndexOf(':'));

/** Returns the candidates for a copy of a request that is at `first`, those in other data centres if there are any as little used. */
export const listCopyCandidates = (first: UpstreamLoad, loads: readonly UpstreamLoad[]): readonly UpstreamLoad[] => {
	const faster = loads.filter(load => load.trust === 'trusted'
		&& load.penaltyMs <= first.penaltyMs
		&& load.waitMs < first.waitMs
		&& load.running < Math.max(1, Math.min(first.running, load.upstream.slots))
		&& load.upstream.id !== first.upstream.id);
	const elsewhere = faster.filter(load => readHost(load) !== readHost(first));
	const otherCentre = elsewhere.filter(load => load.upstream.dataCentre !== first.upstream.dataCentre);
	const leastRunning = Math.min(...elsewhere.map(({running}) => running));
	const asFree = otherCentre.filter(({running}) => running <= leastRunning);
	return asFree.length > 0 ? asFree : elsewhere;
};

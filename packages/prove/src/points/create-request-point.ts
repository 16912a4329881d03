/**
Creates points that run programs under faults and differ only in the mix of both.
*/
import type {Operation} from '../history/operation.js';
import type {RecordedRun} from '../history/recorded-run.js';
import type {FaultKind} from '../schedule/fault-kind.js';
import {checkRequests} from './check-requests.js';
import {drivePrograms} from './drive-programs.js';
import {listFaultTargets} from './list-fault-targets.js';
import type {ProofPoint} from './proof-point.js';
import {readAllHistories} from './read-all-histories.js';

const MIN_ANSWERS = 5;

type RequestPointOptions = {
	readonly name: string;
	readonly faultKinds: readonly FaultKind[];
	readonly driveOptions: Parameters<typeof drivePrograms>[1];
	readonly faultsPerSecond?: number;
	/** Whether the run, besides enough answers, contained what the point is about. */
	readonly isConclusive?: (run: RecordedRun) => boolean;
};

const countAnswers = (operations: readonly Operation[]): number => operations.filter(({outcome}) => outcome?.kind === 'final').length;

/** A history that cannot be read after the run is a violation. */
export const createRequestPoint = ({name, faultKinds, driveOptions, faultsPerSecond = 0.7, isConclusive = () => true}: RequestPointOptions): ProofPoint<readonly string[]> => ({
	name,
	cluster: {entries: 3, engines: 2, services: 1},
	faultsPerSecond,
	faultDurationMs: [200, 4000],
	targets: context => listFaultTargets(context, faultKinds),
	async drive(context) {
		const programs = await drivePrograms(context, driveOptions);
		return readAllHistories(context, programs);
	},
	check: (run, unreadable) => [
		...checkRequests(run),
		...unreadable.map(program => ({message: `history: the history of ${program} could not be read after the run`, at: Date.now(), programs: [program]})),
	],
	isConclusive: run => countAnswers(run.operations) >= MIN_ANSWERS && isConclusive(run),
});

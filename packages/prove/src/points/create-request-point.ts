/**
Points that are proved by programs under faults, and differ in the mix of both.
*/
import type {Operation} from '../history/operation.js';
import type {RecordedRun} from '../history/recorded-run.js';
import type {FaultKind} from '../schedule/fault-kind.js';
import {checkRequests} from './check-requests.js';
import {drivePrograms} from './drive-programs.js';
import {listFaultTargets} from './list-fault-targets.js';
import type {Point} from './point.js';
import {readAllHistories} from './read-all-histories.js';

const LEAST_ANSWERS = 5;

type RequestPoint = {
	readonly name: string;
	readonly kinds: readonly FaultKind[];
	readonly drive: Parameters<typeof drivePrograms>[1];
	readonly faultsPerSecond?: number;
	/** Whether the run held what the point is about, beside answers. */
	readonly isTelling?: (run: RecordedRun) => boolean;
};

const countAnswers = (operations: readonly Operation[]): number => operations.filter(({outcome}) => outcome?.kind === 'final').length;

/** Three entries, two engines and one plain service. A history that cannot be read after the run is a violation. */
export const createRequestPoint = ({name, kinds, drive, faultsPerSecond = 0.7, isTelling = () => true}: RequestPoint): Point<readonly string[]> => ({
	name,
	cluster: {entries: 3, engines: 2, services: 1},
	faultsPerSecond,
	faultDurationMs: [200, 4000],
	targets: context => listFaultTargets(context, kinds),
	async drive(context) {
		const programs = await drivePrograms(context, drive);
		return readAllHistories(context, programs);
	},
	check: (run, unreadable) => [
		...checkRequests(run),
		...unreadable.map(program => ({message: `history: the history of ${program} could not be read after the run`, at: Date.now(), programs: [program]})),
	],
	isTelling: run => countAnswers(run.operations) >= LEAST_ANSWERS && isTelling(run),
});

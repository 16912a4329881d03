/**
Lists the proof points.
*/
import {budgetPoint} from './budget-point.js';
import {crashingRequestPoint} from './crashing-request-point.js';
import {engineMemoryPoint} from './engine-memory-point.js';
import {gracefulStopPoint} from './graceful-stop-point.js';
import {leavingPoint} from './leaving-point.js';
import type {ProofPoint} from './proof-point.js';
import {tablePoint} from './table-point.js';
import {createRequestPoint} from './create-request-point.js';

/** Every kind of fault except `stop`. */
const UNPLANNED_FAULTS = ['kill', 'freeze', 'silence', 'platform-down', 'platform-slow', 'platform-lose-answers', 'upstream-cut', 'upstream-slow'] as const;

const hasRefusal = (code: string): Parameters<typeof createRequestPoint>[0]['isConclusive'] => ({operations}) =>
	operations.some(({outcome}) => outcome?.kind === 'refused' && outcome.code === code);

/** In the order in which they are run. */
export const listPoints = (): ProofPoint[] => [
	createRequestPoint({name: 'at-most-once', faultKinds: UNPLANNED_FAULTS, driveOptions: {programs: 10, turns: 8, serviceShare: 0.8}}),
	createRequestPoint({
		name: 'not-run', faultKinds: ['kill', 'freeze', 'silence', 'platform-down', 'upstream-slow'], driveOptions: {programs: 24, turns: 6, deadlineMs: [150, 4000]},
		isConclusive: hasRefusal('not-run'),
	}),
	createRequestPoint({name: 'order', faultKinds: ['kill', 'freeze', 'silence'], driveOptions: {programs: 8, turns: 24, pipeline: 4}}),
	createRequestPoint({name: 'history', faultKinds: UNPLANNED_FAULTS, driveOptions: {programs: 20, turns: 30}}),
	createRequestPoint({name: 'whole-answer', faultKinds: ['kill', 'silence', 'upstream-cut', 'upstream-slow', 'freeze'], driveOptions: {programs: 12, turns: 20, serviceShare: 0.1}}),
	gracefulStopPoint,
	tablePoint,
	leavingPoint,
	budgetPoint,
	engineMemoryPoint,
	crashingRequestPoint,
] as ProofPoint[];

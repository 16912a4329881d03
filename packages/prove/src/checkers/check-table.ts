/**
Checks that an accepted change to the table reaches every process in time and is
never reverted, and that each edit takes effect at most once and as answered.
*/
import type {Violation} from '../history/violation.js';

/** The table as one process reported it. */
type TableObservation = {
	readonly at: number;
	readonly process: string;
	/** Identifies one lifetime of the process; it changes with a restart. */
	readonly instance: string;
	readonly revision: number;
	/** Values by `ROW.CELL`. */
	readonly cells: Readonly<Record<string, number>>;
};

/** An edit of one cell of which the editor knows whether it took effect. */
type ResolvedEdit = {
	readonly editId: string;
	readonly cell: string;
	readonly value: number;
	readonly answeredAt: number;
	/** Absent if the edit was refused, or was found not to have taken effect. */
	readonly revision?: number;
};

/** An edit as the table's own history lists it. */
type HistoryEdit = {readonly editId: string; readonly revision: number};

const checkMonotonicRevisions = (observations: readonly TableObservation[]): Violation[] => {
	const latest = new Map<string, number>();
	return observations.toSorted((a, b) => a.at - b.at).flatMap(({at, process, instance, revision}) => {
		const before = latest.get(instance) ?? 0;
		latest.set(instance, Math.max(before, revision));
		return revision < before ? [{message: `${process} went back from revision ${before} to ${revision}`, at}] : [];
	});
};

const checkPropagation = (observations: readonly TableObservation[], edits: readonly ResolvedEdit[], boundMs: number): Violation[] => edits
	.flatMap(({editId, revision, answeredAt}) => observations
		.filter(observation => revision !== undefined && observation.at > answeredAt + boundMs && observation.revision < revision)
		.slice(0, 1)
		.map(observation => ({
			message: `${observation.process} was still at revision ${observation.revision}, ${observation.at - answeredAt} ms after edit ${editId} was accepted as revision ${revision}`,
			at: observation.at,
		})));

const checkAgreement = (observations: readonly TableObservation[]): Violation[] => {
	const byRevision = new Map<number, string>();
	return observations.flatMap(({at, process, revision, cells}) => {
		const text = JSON.stringify(Object.entries(cells).toSorted(([a], [b]) => a < b ? -1 : 1));
		const knownCells = byRevision.get(revision) ?? text;
		byRevision.set(revision, knownCells);
		return knownCells === text ? [] : [{message: `${process} holds other cells at revision ${revision} than another process`, at}];
	});
};

const checkValues = (observations: readonly TableObservation[], edits: readonly ResolvedEdit[]): Violation[] => observations.flatMap(({at, process, revision, cells}) => edits
	.filter(edit => edit.revision === revision && cells[edit.cell] !== edit.value)
	.map(({editId, cell, value}) => ({message: `${process} at revision ${revision} has ${cell} = ${cells[cell]}, and edit ${editId} wrote ${value}`, at})));

const checkEditOutcomes = (edits: readonly ResolvedEdit[], history: readonly HistoryEdit[]): Violation[] => edits.flatMap(({editId, revision, answeredAt}) => {
	const stored = history.filter(edit => edit.editId === editId);
	if (stored.length > 1) {
		return [{message: `edit ${editId} took effect ${stored.length} times`, at: answeredAt}];
	}

	return stored[0]?.revision === revision
		? []
		: [{message: `edit ${editId} was answered with revision ${revision ?? 'none'}, and the history has ${stored[0]?.revision ?? 'none'}`, at: answeredAt}];
});

/** `history` is the table's whole history after the run; a change may take `boundMs` to reach every process. */
export const checkTable = (
	observations: readonly TableObservation[],
	edits: readonly ResolvedEdit[],
	history: readonly HistoryEdit[],
	boundMs: number,
): Violation[] => [
	...checkMonotonicRevisions(observations),
	...checkPropagation(observations, edits, boundMs),
	...checkAgreement(observations),
	...checkValues(observations, edits),
	...checkEditOutcomes(edits, history),
];

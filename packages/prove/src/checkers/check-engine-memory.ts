/**
Checks that engines do not keep cached prefixes of programs that have ended.
*/
import type {Violation} from '../history/violation.js';

/** The cache groups that an engine reported; a program's group is its id. */
type CacheSnapshot = {readonly at: number; readonly engine: string; readonly groups: readonly string[]};

/** A program and the time at which it ended. */
type EndedProgram = {readonly program: string; readonly endedAt: number};

/** A prefix may stay in the cache for `boundMs` after its program ended. */
export const checkEngineMemory = (snapshots: readonly CacheSnapshot[], ended: readonly EndedProgram[], boundMs: number): Violation[] => {
	const endedAt = new Map(ended.map(entry => [entry.program, entry.endedAt]));
	return snapshots.flatMap(({at, engine, groups}) => groups
		.filter(group => at - (endedAt.get(group) ?? Infinity) > boundMs)
		.map(group => ({message: `${engine} still holds ${group}, ${at - (endedAt.get(group) ?? 0)} ms after its end`, at, programs: [group]})));
};

/**
Interface of the in-memory index that a history store keeps of its log.
*/
import type {Epoch} from '@siskinhub/core/ids/epoch.js';
import type {ProgramId} from '@siskinhub/core/ids/program-id.js';
import type {ShardId} from '@siskinhub/core/ids/shard-id.js';
import type {IndexedProgram} from './indexed-program.js';
import type {EntryMeta} from './log/entry-meta.js';
import type {EntryLocation} from './log/entry-location.js';

/** Programs and fences, without input and output texts. */
export type ProgramIndex = {
	readonly programs: ReadonlyMap<ProgramId, IndexedProgram>;
	/** Highest epoch seen by each shard. */
	readonly fences: ReadonlyMap<ShardId, Epoch>;
	/** Applies one entry. Returns false if it is inconsistent with the entries before it. */
	readonly apply: (meta: EntryMeta, location: EntryLocation) => boolean;
	readonly forget: (program: ProgramId) => void;
};

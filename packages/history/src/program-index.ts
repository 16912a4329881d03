/**
The index that a holder keeps over its log.
*/
import type {Epoch} from '@siskinhub/core/ids/epoch.js';
import type {ProgramId} from '@siskinhub/core/ids/program-id.js';
import type {ShardId} from '@siskinhub/core/ids/shard-id.js';
import type {IndexedProgram} from './indexed-program.js';
import type {EntryMeta} from './log/entry-meta.js';
import type {Location} from './log/location.js';

/** Programs and fences, without input or output. */
export type ProgramIndex = {
	readonly programs: ReadonlyMap<ProgramId, IndexedProgram>;
	/** Highest epoch seen by each shard. */
	readonly fences: ReadonlyMap<ShardId, Epoch>;
	/** Folds one entry in; `false` means that it does not follow the entries before it. */
	readonly apply: (meta: EntryMeta, location: Location) => boolean;
	readonly forget: (program: ProgramId) => void;
};

/**
Metadata of a log entry, which is read at startup. Input and output texts are in the
entry's body.
*/
import type {Digest} from '@siskinhub/core/ids/digest.js';
import type {Epoch} from '@siskinhub/core/ids/epoch.js';
import type {ProgramId} from '@siskinhub/core/ids/program-id.js';
import type {ShardId} from '@siskinhub/core/ids/shard-id.js';
import type {EntryLocation} from './entry-location.js';

/** `link` is the location of the program's previous entry; `at` and `endedAt` are in milliseconds since the Unix epoch. */
export type EntryMeta =
	| {readonly kind: 'segment'; readonly version: 1}
	| {readonly kind: 'fence'; readonly shard: ShardId; readonly epoch: Epoch}
	| {readonly kind: 'start'; readonly program: ProgramId; readonly epoch: Epoch}
	| {
		readonly kind: 'turn';
		readonly program: ProgramId;
		readonly epoch: Epoch;
		readonly turn: number;
		readonly previous: Digest;
		readonly digest: Digest;
		readonly link: EntryLocation;
	}
	| {readonly kind: 'end'; readonly program: ProgramId; readonly epoch: Epoch; readonly at: number; readonly link: EntryLocation}
	// A whole history, which replaces all earlier entries of the program.
	| {
		readonly kind: 'copy';
		readonly program: ProgramId;
		readonly epoch: Epoch;
		readonly turns: number;
		readonly digest: Digest;
		readonly endedAt?: number;
	};

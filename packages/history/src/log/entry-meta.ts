/**
The part of a log entry that is read at start, without the texts.
*/
import type {Digest} from '@siskinhub/core/ids/digest.js';
import type {Epoch} from '@siskinhub/core/ids/epoch.js';
import type {ProgramId} from '@siskinhub/core/ids/program-id.js';
import type {ShardId} from '@siskinhub/core/ids/shard-id.js';
import type {Location} from './location.js';

/** `link` is the location of the program's entry before this one. */
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
		readonly link: Location;
	}
	| {readonly kind: 'end'; readonly program: ProgramId; readonly epoch: Epoch; readonly at: number; readonly link: Location}
	// A whole history, which replaces all entries of the program before it.
	| {
		readonly kind: 'copy';
		readonly program: ProgramId;
		readonly epoch: Epoch;
		readonly turns: number;
		readonly digest: Digest;
		readonly endedAt?: number;
	};

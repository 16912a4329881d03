/**
A source of the declared state: the platform's service or another process.
*/
import type {Result} from 'neverthrow';
import type {DeclaredChanges} from './declared-changes.js';
import type {SourceError} from './source-error.js';

export type DeclarationSource = {
	/** Reads the changes after a revision; 0 reads the whole state. */
	readonly readChanges: (after: number) => Promise<Result<DeclaredChanges, SourceError>>;
};

/**
Where the declared state is read from.
*/
import type {Result} from 'neverthrow';
import type {DeclaredChanges} from './declared-changes.js';
import type {SourceError} from './source-error.js';

/** Reads changes after a revision; 0 reads the whole state. */
export type DeclarationSource = {
	readonly readChanges: (after: number) => Promise<Result<DeclaredChanges, SourceError>>;
};

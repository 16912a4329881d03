/**
Identifies a history by its content.
*/
import type {Brand} from '../brand.js';

/** A hex SHA-256 over a turn and the digest of the history before it; the empty string for a history without turns. */
export type Digest = Brand<string, 'Digest'>;

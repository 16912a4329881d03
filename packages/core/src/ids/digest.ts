/**
Names a history by its content.
*/
import type {Brand} from '../brand.js';

/** A hex SHA-256 over a turn and the digest of the history before it. */
export type Digest = Brand<string, 'Digest'>;

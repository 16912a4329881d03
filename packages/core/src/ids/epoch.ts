/**
Numbers the successive owners of a shard.
*/
import type {Brand} from '../brand.js';

/** A shard's epoch; every takeover raises it and lower epochs are refused. */
export type Epoch = Brand<number, 'Epoch'>;

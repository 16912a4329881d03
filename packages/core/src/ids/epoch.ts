/**
Numbers the successive owners of a shard.
*/
import type {Brand} from '../brand.js';

/** The epoch of a shard, a fencing token: every takeover raises it, and messages with a lower epoch are refused. */
export type Epoch = Brand<number, 'Epoch'>;

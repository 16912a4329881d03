/**
Names one lifetime of a process.
*/
import type {Brand} from '../brand.js';

/** A random id drawn at start; it differs after a restart, when memory was lost. */
export type InstanceId = Brand<string, 'InstanceId'>;

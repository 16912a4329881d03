/**
Identifies one run of a process, from its start to its end.
*/
import type {Brand} from '../brand.js';

/** A random id generated at start. After a restart, which loses the process's memory, it is a different one. */
export type InstanceId = Brand<string, 'InstanceId'>;

/**
Names one process of the system on one host.
*/
import type {Brand} from '../brand.js';

/** The id of an entry or a sidecar, as its settings give it. */
export type HostId = Brand<string, 'HostId'>;

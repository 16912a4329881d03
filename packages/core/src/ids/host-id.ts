/**
Identifies one entry or sidecar.
*/
import type {Brand} from '../brand.js';

/** The id of an entry or a sidecar, as given in its settings. */
export type HostId = Brand<string, 'HostId'>;

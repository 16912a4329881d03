/**
Identifies one back end: a model engine or a plain service.
*/
import type {Brand} from '../brand.js';

/** The id of an upstream, as given in the host list and the settings. */
export type UpstreamId = Brand<string, 'UpstreamId'>;

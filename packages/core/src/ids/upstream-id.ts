/**
Names one back end: a model engine or a plain service.
*/
import type {Brand} from '../brand.js';

/** The id of an upstream, as the host list and the settings give it. */
export type UpstreamId = Brand<string, 'UpstreamId'>;

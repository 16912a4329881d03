/**
Tells whether an upstream runs the software that began a stream.
*/
import type {Upstream} from '../upstreams/upstream.js';
import type {StreamOrigin} from './stream-origin.js';

export const hasOrigin = ({service, softwareVersion}: Pick<Upstream, 'service' | 'softwareVersion'>, origin: StreamOrigin): boolean =>
	service === origin.service && softwareVersion === origin.version;

/**
Tells before an upstream is chosen which software will run a request.
*/
import type {Upstream} from '../upstreams/upstream.js';
import type {StreamOrigin} from './stream-origin.js';

/** `upstreams` are those of the service; returns `undefined` if there are none, or several versions. */
export const expectOrigin = (service: string, upstreams: readonly Upstream[]): StreamOrigin | undefined => {
	const version = upstreams[0]?.softwareVersion;
	return version !== undefined && upstreams.every(({softwareVersion}) => softwareVersion === version) ? {service, version} : undefined;
};

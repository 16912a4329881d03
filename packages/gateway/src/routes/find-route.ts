/**
Finds the route of a request: the one with the longest matching prefix of its host.
*/
import type {Route} from './route.js';

type RouteIndex = ReadonlyMap<string, readonly Route[]>;

/** `index` maps hosts to their routes, the longest prefix first. The query of `path` is ignored. */
export const findRoute = (index: RouteIndex, host: string, path: string): Route | undefined => {
	const pathOnly = path.split('?', 1)[0]!;
	return index.get(host)?.find(({prefix}) => pathOnly.startsWith(prefix));
};

/**
Finds the route of a request.
*/
import type {Route} from './route.js';

type RouteIndex = ReadonlyMap<string, readonly Route[]>;

/** Routes by host, the longest prefix first. */
export const findRoute = (index: RouteIndex, host: string, path: string): Route | undefined => {
	const pathOnly = path.split('?', 1)[0]!;
	return index.get(host)?.find(({prefix}) => pathOnly.startsWith(prefix));
};

/**
Compares two lists of declared routes; routes of the same name are the same route.
*/
import type {Route} from '../routes/route.js';

type RouteChange =
	| {readonly kind: 'added' | 'removed'; readonly route: string}
	| {readonly kind: 'changed'; readonly route: string; readonly field: string; readonly from: string; readonly to: string};

const formatValue = (value: unknown): string => typeof value === 'string' ? value : JSON.stringify(value);

const diffFields = (from: Route, to: Route): readonly RouteChange[] => {
	const fields = Object.keys(to) as ReadonlyArray<keyof Route>;
	return fields
		.map(field => ({
			kind: 'changed' as const, route: to.name, field, from: formatValue(from[field]), to: formatValue(to[field]),
		}))
		.filter(change => change.from !== change.to);
};

/** Returns the changes that turn `currentRoutes` into `desiredRoutes`: additions and changed fields in the order of `desiredRoutes`, then removals. */
export const diffRoutes = (currentRoutes: readonly Route[], desiredRoutes: readonly Route[]): readonly RouteChange[] => {
	const currentByName = new Map(currentRoutes.map(route => [route.name, route]));
	const desiredNames = new Set(desiredRoutes.map(({name}) => name));
	const removed: RouteChange[] = currentRoutes.filter(({name}) => !desiredNames.has(name)).map(({name}) => ({kind: 'removed', route: name}));
	return [...desiredRoutes.flatMap((route): readonly RouteChange[] => {
		const held = currentByName.get(route.name);
		return held ? diffFields(held, route) : [{kind: 'added', route: route.name}];
	}), ...removed];
};

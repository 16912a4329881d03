/**
Compares two sets of declared routes, by the routes' names.
*/
import type {Route} from '../routes/route.js';

type RouteChange =
	| {readonly kind: 'added' | 'removed'; readonly route: string}
	| {readonly kind: 'changed'; readonly route: string; readonly field: string; readonly from: string; readonly to: string};

const showValue = (value: unknown): string => typeof value === 'string' ? value : JSON.stringify(value);

const diffFields = (from: Route, to: Route): readonly RouteChange[] => {
	const fields = Object.keys(to) as ReadonlyArray<keyof Route>;
	return fields
		.map(field => ({
			kind: 'changed' as const, route: to.name, field, from: showValue(from[field]), to: showValue(to[field]),
		}))
		.filter(change => change.from !== change.to);
};

/** What leads from the routes `present` to the routes `wanted`, in the order of `wanted`. */
export const diffRoutes = (present: readonly Route[], wanted: readonly Route[]): readonly RouteChange[] => {
	const presentByName = new Map(present.map(route => [route.name, route]));
	const wantedNames = new Set(wanted.map(({name}) => name));
	const removed: RouteChange[] = present.filter(({name}) => !wantedNames.has(name)).map(({name}) => ({kind: 'removed', route: name}));
	return [...wanted.flatMap((route): readonly RouteChange[] => {
		const held = presentByName.get(route.name);
		return held ? diffFields(held, route) : [{kind: 'added', route: route.name}];
	}), ...removed];
};

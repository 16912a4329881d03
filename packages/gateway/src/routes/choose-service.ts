/**
Chooses the service of a route that is split over several.
*/
import type {Route} from './route.js';

/** `share` is drawn evenly from 0 to 1. */
export const chooseService = ({targets}: Route, fraction: number): string | undefined => {
	const total = targets.reduce((sum, {weight}) => sum + weight, 0);
	let remaining = fraction * total;
	for (const {service, weight} of targets) {
		remaining -= weight;
		if (remaining < 0) {
			return service;
		}
	}

	return targets.find(({weight}) => weight > 0)?.service;
};

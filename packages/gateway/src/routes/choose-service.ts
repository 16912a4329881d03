/**
Chooses the service of a route that is split over several.
*/
import type {Route} from './route.js';

/** `share` is drawn evenly from 0 to 1. */
export const chooseService = ({targets}: Route, share: number): string | undefined => {
	const total = targets.reduce((sum, {weight}) => sum + weight, 0);
	let rest = share * total;
	for (const {service, weight} of targets) {
		rest -= weight;
		if (rest < 0) {
			return service;
		}
	}

	return targets.find(({weight}) => weight > 0)?.service;
};

/**
Chooses one of a route's services by weight.
*/
import type {Route} from './route.js';

/** `fraction` is a uniformly distributed random number in [0, 1). Returns nothing if no service has a weight. */
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

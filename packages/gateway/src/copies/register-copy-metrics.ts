/**
Adds the counters of extra copies to the metrics of a gateway.
*/
import type {GatewayMetrics} from '../metrics/gateway-metrics.js';
import type {ExtraCopies} from './extra-copies.js';

export const registerCopyMetrics = ({addCounter, addGauge}: Pick<GatewayMetrics, 'addCounter' | 'addGauge'>, {counts}: ExtraCopies): void => {
	addCounter('siskinhub_extra_copies_total', 'Sends that may have an extra copy, copies, those that answered first, and those withheld by the limit.', 'kind', () => ({...counts}));
	addGauge('siskinhub_extra_copies_share', 'Share of extra copies among the sends that may have one, since the start.', () => counts.sends > 0 ? counts.copies / counts.sends : 0);
};

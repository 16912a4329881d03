/**
An upstream as the list of upstreams has it.
*/
import type {DataCentreId} from '@siskinhub/core/ids/data-centre-id.js';
import type {UpstreamId} from '@siskinhub/core/ids/upstream-id.js';

/** One start of an upstream is one `bornAtMs`: after another it knows nothing of before. */
export type Upstream = {
	readonly id: UpstreamId;
	readonly service: string;
	/** `IP:PORT`. */
	readonly address: string;
	readonly dataCentre: DataCentreId;
	readonly slots: number;
	readonly isLeaving: boolean;
	/** Milliseconds for which it is still slow after its start. */
	readonly coldMs: number;
	/** Rises with each report of one start. */
	readonly sequence: number;
	readonly bornAtMs: number;
};

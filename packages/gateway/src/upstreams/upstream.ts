/**
An upstream as its entry in the list of upstreams describes it.
*/
import type {DataCentreId} from '@siskinhub/core/ids/data-centre-id.js';
import type {UpstreamId} from '@siskinhub/core/ids/upstream-id.js';

/** `bornAtMs` identifies one start of the upstream: after a restart it has lost all state. */
export type Upstream = {
	readonly id: UpstreamId;
	readonly service: string;
	/** `IP:PORT`. */
	readonly address: string;
	readonly dataCentre: DataCentreId;
	/** Version of its software, without an order; empty if it names none. */
	readonly softwareVersion: string;
	readonly slots: number;
	readonly isLeaving: boolean;
	/** Milliseconds for which the upstream is still slow after its start. */
	readonly coldMs: number;
	/** Increases with each report of one start. */
	readonly sequence: number;
	readonly bornAtMs: number;
};

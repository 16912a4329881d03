/**
A workspace with a limit, and what this gateway may run of it.
*/
import type {createDemandMeter} from './create-demand-meter.js';
import type {createProgramLedger} from './create-program-ledger.js';
import type {createWorkspaceGrants} from './create-workspace-grants.js';
import type {createGrantWaiters} from './create-grant-waiters.js';
import type {QuotaLimit} from './quota-limit.js';

export type LimitedWorkspace = {
	readonly name: string;
	readonly grants: ReturnType<typeof createWorkspaceGrants>;
	readonly ledger: ReturnType<typeof createProgramLedger>;
	readonly waiters: ReturnType<typeof createGrantWaiters>;
	/** Requests that came in, also those that are refused before they need a grant. */
	readonly arrivals: ReturnType<typeof createDemandMeter>;
	limit: QuotaLimit;
	/** Whether a call waits for an issuer that had no room. */
	isRetrying: boolean;
};

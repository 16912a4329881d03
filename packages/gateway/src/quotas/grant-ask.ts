/**
What a gateway tells and asks an issuer about one workspace.
*/
import type {QuotaLimit} from './quota-limit.js';

export type GrantAsk = {
	readonly workspace: string;
	readonly limit: QuotaLimit;
	/** Requests that the gateway has run on grants of this issuer, since its start. */
	readonly usedTotal: number;
	/** Milliseconds since the last of them. */
	readonly lastUseAgeMs: number;
	/** Requests that it may still run on a grant of this issuer. */
	readonly held: number;
	/** Requests that it needs to hold for those that wait and the next moments. */
	readonly needed: number;
	/** Requests that it wants to hold, so that it need not ask soon; at least `needed`. */
	readonly wanted: number;
};

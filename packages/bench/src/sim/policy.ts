/**
A scheduling policy under test: one function for each decision that the hub and
the sidecars make.
*/
import type {AdmissionPolicy} from '@siskinhub/core/decide/admission-policy.js';
import type {QueuePolicy} from '@siskinhub/core/decide/queue-policy.js';
import type {RetentionPolicy} from '@siskinhub/core/decide/retention-policy.js';
import type {RetryPolicy} from '@siskinhub/core/decide/retry-policy.js';
import type {PlacementPolicy} from '@siskinhub/core/decide/placement-policy.js';

export type Policy = {
	/** Chooses the upstream for a call. */
	readonly choose: PlacementPolicy;
	/** Chooses the queued call that starts next. */
	readonly order: QueuePolicy;
	/** Decides how long an idle prefix is kept. */
	readonly retain: RetentionPolicy;
	/** Queues or refuses a call. */
	readonly admit: AdmissionPolicy;
	/** Decides whether and when a failed attempt is repeated. */
	readonly retry: RetryPolicy;
	/** Decides from the crashes that a call was present at whether it runs normally, alone on its engine, or not at all. */
	readonly isolate: (crashes: {shared: number; alone: number}) => 'normal' | 'alone' | 'quarantine';
};

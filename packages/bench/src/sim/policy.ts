/**
A scheduling policy under test: one function for each decision that the hub and
the sidecars make.
*/
import type {AdmissionDecision} from '@siskinhub/core/decide/admission-decision.js';
import type {QueueOrder} from '@siskinhub/core/decide/queue-order.js';
import type {RetentionDecision} from '@siskinhub/core/decide/retention-decision.js';
import type {RetryDecision} from '@siskinhub/core/decide/retry-decision.js';
import type {UpstreamChoice} from '@siskinhub/core/decide/upstream-choice.js';

export type Policy = {
	/** Chooses the upstream for a call. */
	readonly choose: UpstreamChoice;
	/** Chooses the queued call that starts next. */
	readonly order: QueueOrder;
	/** Decides how long an idle prefix is kept. */
	readonly retain: RetentionDecision;
	/** Queues or refuses a call. */
	readonly admit: AdmissionDecision;
	/** Decides whether and when a failed attempt is repeated. */
	readonly retry: RetryDecision;
	/** Decides from the crashes that a call was present at whether it runs normally, alone on its engine, or not at all. */
	readonly isolate: (crashes: {shared: number; alone: number}) => 'normal' | 'alone' | 'quarantine';
};

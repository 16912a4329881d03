/**
A policy under test: one function for each decision.
*/
import type {AdmissionDecision} from '@siskinhub/core/decide/admission-decision.js';
import type {QueueOrder} from '@siskinhub/core/decide/queue-order.js';
import type {RetentionDecision} from '@siskinhub/core/decide/retention-decision.js';
import type {RetryDecision} from '@siskinhub/core/decide/retry-decision.js';
import type {UpstreamChoice} from '@siskinhub/core/decide/upstream-choice.js';

/** The decisions that a run is made with. */
export type Policy = {
	readonly choose: UpstreamChoice;
	readonly order: QueueOrder;
	readonly retain: RetentionDecision;
	readonly admit: AdmissionDecision;
	readonly retry: RetryDecision;
	readonly judgeSuspect: (crashes: {shared: number; alone: number}) => 'normal' | 'alone' | 'quarantine';
};

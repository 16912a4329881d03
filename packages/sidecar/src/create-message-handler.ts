/**
Handles the messages that entries and shard owners send to a sidecar. Orders of an
owner whose epoch is outdated are acknowledged but not carried out.
*/
import type {ClaimId} from '@siskinhub/core/ids/claim-id.js';
import type {Epoch} from '@siskinhub/core/ids/epoch.js';
import type {ProgramId} from '@siskinhub/core/ids/program-id.js';
import type {ShardId} from '@siskinhub/core/ids/shard-id.js';
import type {GrantRegistry} from '@siskinhub/core/sidecar/grant-registry.js';
import type {Logger} from '@siskinhub/observe/logger.js';
import type {Metrics} from '@siskinhub/observe/metrics.js';
import type {Tracer} from '@siskinhub/observe/tracer.js';
import type {IncomingMessage} from '@siskinhub/peer/incoming-message.js';
import {type Dispatch, Fate} from '@siskinhub/proto/gen/siskinhub/peer/v1/peer_pb.js';
import type {PrefixReconciler} from './prefix-reconciler.js';
import type {RunObserver} from './run-observer.js';
import type {RunScheduler} from './run-scheduler.js';

type HandlerOptions = {
	readonly scheduler: RunScheduler;
	readonly registry: GrantRegistry;
	readonly prefixReconciler: PrefixReconciler;
	readonly log: Logger;
	readonly metrics: Metrics;
	readonly tracer: Tracer;
};

/** Creates the handler for the messages on all links of a sidecar. */
export const createMessageHandler = ({scheduler, registry, prefixReconciler, log, metrics, tracer}: HandlerOptions) => {
	const handleDispatch = (message: IncomingMessage, dispatch: Dispatch) => {
		const {grant} = dispatch;
		const span = tracer.startSpan('sidecar.run', {
			traceparent: message.traceparent,
			attributes: {program: grant?.program ?? '', request: grant?.requestId ?? ''},
		});
		const observer: RunObserver = {
			onChunk(chunk) {
				message.reply({case: 'chunk', value: chunk});
			},
			onDone(done) {
				const outcome = done.fate ? Fate[done.fate] : 'ok';
				metrics.increment('sidecar.runs', 1, {outcome});
				log.debug('call ended', {
					programId: grant?.program, requestId: grant?.requestId, outcome, reason: done.reason,
				});
				span.end(outcome);
				message.reply({case: 'done', value: done});
			},
		};
		scheduler.submit(dispatch, observer, span.traceparent ?? '');
		message.link.onClosed(() => {
			scheduler.detach((grant?.claim ?? '') as ClaimId, observer);
		});
	};

	return (message: IncomingMessage): void => {
		const {body} = message;
		switch (body.case) {
			case 'dispatch': {
				handleDispatch(message, body.value);
				break;
			}

			case 'cancelRun': {
				if (registry.observeEpoch(body.value.shard as ShardId, Number(body.value.epoch) as Epoch)) {
					scheduler.cancel(body.value.claim as ClaimId);
				}

				message.reply({case: 'acknowledged', value: {}});
				break;
			}

			case 'releasePrefix': {
				if (registry.observeEpoch(body.value.shard as ShardId, Number(body.value.epoch) as Epoch)) {
					for (const program of body.value.programs) {
						prefixReconciler.release(program as ProgramId, Number(body.value.epoch) as Epoch);
					}
				}

				message.reply({case: 'acknowledged', value: {}});
				break;
			}

			case 'drainUpstream': {
				scheduler.stopAccepting();
				log.info('draining the upstream at an operator\'s request; accepting no more calls');
				message.reply({case: 'acknowledged', value: {}});
				break;
			}

			default: {
				message.reply({case: 'refused', value: {code: 'bad-request', message: `A sidecar does not answer ${body.case}.`}});
			}
		}
	};
};

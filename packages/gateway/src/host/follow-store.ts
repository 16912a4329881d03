/**
Starts to follow the declared state, and determines until when removals of
upstreams are deferred. During an outage of the platform's service, entries of
upstreams lapse because they cannot be renewed; they return soon after it.
*/
import type {createChangePublisher} from '@siskinhub/declared/create-change-publisher.js';
import type {DeclarationRelay} from '@siskinhub/declared/declaration-relay.js';
import type {DeclarationSource} from '@siskinhub/declared/declaration-source.js';
import type {DeclarationStore} from '@siskinhub/declared/declaration-store.js';
import type {DeclaredView} from '@siskinhub/declared/declared-view.js';
import {followDeclarations} from '@siskinhub/declared/follow-declarations.js';
import type {Logger} from '@siskinhub/observe/logger.js';
import {createServiceUptime} from './create-service-uptime.js';
import type {HostConfig} from './host-config.js';
import {deriveLapseTimes} from './derive-lapse-times.js';
import {deriveReadTimes} from './derive-read-times.js';

type FollowStoreOptions = {
	readonly view: DeclaredView;
	readonly store: DeclarationStore;
	readonly publisher: Pick<ReturnType<typeof createChangePublisher>, 'publish'>;
	readonly chooseRelay: (failed: ReadonlySet<string>) => DeclarationRelay | undefined;
	readonly listNeighbours: () => readonly DeclarationSource[];
	readonly cfg: Pick<HostConfig, 'relistMs' | 'applyWithinMs' | 'renewalMs'>;
	readonly log: Logger;
	readonly signal: AbortSignal;
};

/** `graceUntil` returns the time, by `Date.now()`, until which a removal may be an entry that lapsed in an outage; `lastReadAt` returns the time of the last news, by `performance.now()`, or of the start before any; `lastNewsAt` returns the same, but `-Infinity` before any, since a process that has read nothing knows nothing fresh; `knownGraceMs` returns for how many milliseconds removals are still deferred, and nothing unless this process has heard from the service for so long without a pause that it knows. */
export const followStore = ({view, store, publisher, chooseRelay, listNeighbours, cfg, log, signal}: FollowStoreOptions): {readonly graceUntil: () => number; readonly lastReadAt: () => number; readonly lastNewsAt: () => number; readonly knownGraceMs: () => number | undefined} => {
	const {relistMs} = cfg;
	const lapse = deriveLapseTimes(cfg.renewalMs);
	let isReachable = true;
	let graceEndsAt = -Infinity;
	let lastReadAt = performance.now();
	let lastNewsAt = -Infinity;
	const uptime = createServiceUptime(() => performance.now(), lapse);
	// What a neighbour that heard from the service all the time said last, and when.
	let neighbourGrace = {graceEndsAt: -Infinity, at: -Infinity};
	let relayId: string | undefined;
	const chooseAndLog = (failed: ReadonlySet<string>): DeclarationRelay | undefined => {
		const relay = chooseRelay(failed);
		if (relay?.id !== relayId) {
			relayId = relay?.id;
			log.info('source of the declared state changed', {relay: relayId ?? 'the platform service', revision: view.revision()});
		}

		return relay;
	};

	void followDeclarations({
		view,
		service: store,
		chooseRelay: chooseAndLog,
		listNeighbours,
		...deriveReadTimes(cfg.applyWithinMs),
		onOwnRead: publisher.publish,
		onNews({lapseGraceMs}) {
			lastReadAt = performance.now();
			lastNewsAt = lastReadAt;
			uptime.recordRead();
			// This process may have been turned away while the service served all others: nothing lapsed then, and a relay knows.
			if (lapseGraceMs !== undefined) {
				graceEndsAt = Date.now() + lapseGraceMs;
			}
		},
		onNeighbourNews({lapseGraceMs}) {
			if (lapseGraceMs !== undefined) {
				neighbourGrace = {graceEndsAt: Date.now() + lapseGraceMs, at: performance.now()};
				graceEndsAt = Math.min(graceEndsAt, neighbourGrace.graceEndsAt);
			}
		},
		onReachable(next, reason) {
			if (next && !isReachable) {
				const isKnown = performance.now() - neighbourGrace.at <= lapse.neighbourMaxAgeMs;
				graceEndsAt = isKnown ? neighbourGrace.graceEndsAt : Date.now() + relistMs;
			}

			if (!next) {
				uptime.recordFailure();
			}

			isReachable = next;
			log[next ? 'info' : 'warn'](next ? 'platform service available' : 'platform service unavailable', {reason, revision: view.revision()});
		},
		signal,
	});
	return {
		graceUntil: () => isReachable ? graceEndsAt : Date.now() + relistMs,
		lastReadAt: () => lastReadAt,
		lastNewsAt: () => lastNewsAt,
		knownGraceMs: () => uptime.hasBeenUp() ? Math.max(0, graceEndsAt - Date.now()) : undefined,
	};
};

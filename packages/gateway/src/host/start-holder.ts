/**
Starts a copy holder: the process that stores copies of turns and of token uses
on the disk of its host.
*/
import {createChangePublisher} from '@siskinhub/declared/create-change-publisher.js';
import {createDeclaredView} from '@siskinhub/declared/create-declared-view.js';
import type {DeclarationStore} from '@siskinhub/declared/declaration-store.js';
import type {RunningDaemon} from '@siskinhub/lifecycle/running-daemon.js';
import {createRepeatedErrorLog} from '@siskinhub/observe/create-repeated-error-log.js';
import type {Logger} from '@siskinhub/observe/logger.js';
import {createPeerServer} from '@siskinhub/peer/create-peer-server.js';
import type {PeerLink} from '@siskinhub/peer/peer-link.js';
import {waitUntilFree} from '@siskinhub/peer/wait-until-free.js';
import {openCopyStore} from '@siskinhub/turns/disk/open-copy-store.js';
import {copyFromHolders} from '@siskinhub/turns/holder/copy-from-holders.js';
import {createCopyService} from '@siskinhub/turns/holder/create-copy-service.js';
import {createOutputBuffer} from '@siskinhub/turns/holder/create-output-buffer.js';
import {runHolder} from '@siskinhub/turns/holder/run-holder.js';
import type {SyncCopy} from '@siskinhub/turns/holder/sync-copy.js';
import type {Holder} from '@siskinhub/turns/membership/holder.js';
import type {GatewayMetrics} from '../metrics/gateway-metrics.js';
import {registerProcessGauges} from '../metrics/register-process-gauges.js';
import {createLoopMonitor} from '../admission/create-loop-monitor.js';
import {createCrashLog} from '../crashes/create-crash-log.js';
import {createCrashTracker} from '../crashes/create-crash-tracker.js';
import {answerPermitRequests} from '../limits/answer-permit-requests.js';
import {createLimitBook} from '../limits/create-limit-book.js';
import {createPermitIssuer} from '../limits/create-permit-issuer.js';
import {createLimitLog} from '../limits/create-limit-log.js';
import {startIssuer} from '../quotas/start-issuer.js';
import {compactWhenLarge} from './compact-when-large.js';
import {createCopyRequestLog} from './create-copy-request-log.js';
import {createGapLog} from './create-gap-log.js';
import {createHolderRegistry} from './create-holder-registry.js';
import {createHostLinks} from './create-host-links.js';
import {createRetireReporter} from './create-retire-reporter.js';
import type {DeclaredKeys} from './declared-keys.js';
import {deriveReadTimes} from './derive-read-times.js';
import {followRetireRequests} from './follow-retire-requests.js';
import {followStore} from './follow-store.js';
import type {HostConfig} from './host-config.js';
import {listNeighbourAddresses} from './list-neighbour-addresses.js';
import {serveText} from './serve-text.js';
import {watchProcessor} from './watch-processor.js';

/** Longer than a restart or a short network failure. A holder that is silent for this time is replaced if enough others are available. */
const LOST_AFTER_MS = 3000;

type HolderOptions = {
	readonly keys: DeclaredKeys;
	readonly store: DeclarationStore;
	readonly metrics: GatewayMetrics;
	readonly log: Logger;
	/** Aborts if the process is told to stop before it has started. */
	readonly stopRequested?: AbortSignal;
};

/** Resolves once the process serves requests; rejects if its data folder cannot be used. */
export const startHolder = async (cfg: HostConfig, {keys, store, metrics, log, stopRequested}: HolderOptions): Promise<RunningDaemon> => {
	// The process before may hold its addresses until the end of its grace, and write to the data folder as long.
	const waiting = {waitMs: cfg.stopWithinMs, log, signal: stopRequested};
	for (const address of [cfg.peers, cfg.metrics]) {
		await waitUntilFree({...address, ...waiting});
	}

	const opened = await openCopyStore(cfg.dataFolder!, {
		onRecovering(reason) {
			log.warn('the disk did not take a write; trying it again', {reason});
		},
	});
	if (opened.isErr()) {
		throw new Error(`The data folder ${cfg.dataFolder} cannot be used: ${opened.error}`);
	}

	const copies = opened.value;
	const stopping = new AbortController();
	const view = createDeclaredView();
	const registry = createHolderRegistry({view, store, keys});
	const publisher = createChangePublisher<PeerLink>(view, deriveReadTimes(cfg.applyWithinMs).intervalMs, () => Math.max(0, follower.graceUntil() - Date.now()));
	const linkTo = (holder: Holder) => links.linkTo(holder.address);
	const syncCopy: SyncCopy = async (group, listVersion) => copyFromHolders({
		store: copies, group, listVersion, losses: cfg.losses, linkTo,
	});
	const crashLog = createCrashLog(log);
	const crashes = createCrashTracker({
		now: () => performance.now(), onNoted(crash, source) {
			crashLog.recordNote(crash, source);
			metrics.countCrash(source);
		},
	});
	const limitLog = createLimitLog(log);
	const limits = createLimitBook({now: () => performance.now(), onChange: limitLog.recordChange});
	metrics.addLimits(limits.listLimits);
	const answerPermit = answerPermitRequests({
		diskId: copies.diskId, limits, listDisks: registry.listDisks, issue: createPermitIssuer(() => performance.now()), onIssued: limitLog.countPermit,
	});
	const issuer = startIssuer({
		diskId: copies.diskId,
		isNewDisk: copies.isNew,
		bounds: cfg.quota,
		applyWithinMs: cfg.applyWithinMs,
		listDisks: registry.listDisks,
		linkTo,
		unreadForMs: () => performance.now() - follower.lastReadAt(),
		now: () => performance.now(),
		signal: stopping.signal,
	});
	metrics.addQuotas(issuer.list);
	const gapLog = createGapLog(log, metrics.countGap);
	const requestLog = createCopyRequestLog({store: copies, log, count: metrics.countCopyRequest});
	const answerCopies = createCopyService({
		store: copies, syncCopy, outputs: createOutputBuffer(() => performance.now()), onError: createRepeatedErrorLog(log, 'failed to write a record to the disk'), onGap: gapLog.record, onAnswered: requestLog.record,
	});
	const loop = createLoopMonitor({schedule: setImmediate, now: () => performance.now(), measureUtilization: performance.eventLoopUtilization.bind(performance)});
	const links = createHostLinks({
		host: cfg.host,
		dataCentre: cfg.dataCentre,
		view,
		crashes,
		limits,
		publisher,
		readKnownGraceMs: () => follower.knownGraceMs(),
		diskId: copies.diskId,
		onMessage(message) {
			loop.recordArrival();
			return answerPermit(message) || issuer.answer(message) || answerCopies(message);
		},
		onPause() {
			log.warn('process was paused; reconnecting the peer links', {});
		},
		onUnsendable: createRepeatedErrorLog(log, 'a message to another process could not be encoded and was not sent'),
	});
	const self: Holder = {
		diskId: copies.diskId, host: cfg.host, address: `http://${cfg.peers.ip}:${cfg.peers.port}`, dataCentre: cfg.dataCentre,
	};
	// An address that is in use by now is that of another holder on the same folder, which this one must not wait for: its own index would be out of date.
	await createPeerServer({...cfg.peers, settings: links.settings});
	const retiring = followRetireRequests(view, keys);
	const follower = followStore({
		view,
		store,
		publisher,
		cfg,
		log,
		signal: stopping.signal,
		chooseRelay: failed => links.chooseRelay(registry.listDisks(), failed),
		listNeighbours: () => links.listSources([...listNeighbourAddresses(registry.listDisks(), self), ...cfg.seeds]),
	});
	const reportRetireStatus = createRetireReporter({
		view, store, keys, log,
	});
	void runHolder({
		self,
		store: copies,
		registry,
		linkTo,
		listRetiring: () => retiring,
		onRetiring: reportRetireStatus,
		losses: cfg.losses,
		lostAfterMs: LOST_AFTER_MS,
		syncCopy,
		log,
		signal: stopping.signal,
	});
	void compactWhenLarge(copies, log, stopping.signal);
	registerProcessGauges(metrics);
	watchProcessor({
		loop, metrics, log, signal: stopping.signal,
	});
	const metricsServer = await serveText({...cfg.metrics, ...waiting}, async () => ({status: 200, text: await metrics.render()}));
	log.info('copy holder started', {diskId: copies.diskId, isNewDisk: copies.isNew, records: copies.size()});

	return {
		async stop() {
			log.info('copy holder stopping', {records: copies.size()});
			stopping.abort();
			metricsServer.close();
			await links.close();
			limitLog.close();
			crashLog.close();
			gapLog.close();
			requestLog.close();
			await copies.close();
			return 0;
		},
	};
};

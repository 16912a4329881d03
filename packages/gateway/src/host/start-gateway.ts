/**
Starts a gateway: the process that accepts callers' requests and forwards them to
upstreams. It follows the declared state and keeps links to the copy holders.
*/
import {getHeapStatistics} from 'node:v8';
import type {DeclarationStore} from '@siskinhub/declared/declaration-store.js';
import {createChangePublisher} from '@siskinhub/declared/create-change-publisher.js';
import {createDeclaredView} from '@siskinhub/declared/create-declared-view.js';
import type {RunningDaemon} from '@siskinhub/lifecycle/running-daemon.js';
import {createRepeatedErrorLog} from '@siskinhub/observe/create-repeated-error-log.js';
import type {Logger} from '@siskinhub/observe/logger.js';
import {createPeerServer} from '@siskinhub/peer/create-peer-server.js';
import type {PeerLink} from '@siskinhub/peer/peer-link.js';
import {waitUntilFree} from '@siskinhub/peer/wait-until-free.js';
import type {ResolvedGatewaySettings} from '@siskinhub/settings/resolved-gateway-settings.js';
import {createHolderClient} from '@siskinhub/turns/client/create-holder-client.js';
import {createListReader} from '@siskinhub/turns/client/create-list-reader.js';
import {createLoopMonitor} from '../admission/create-loop-monitor.js';
import type {CallCodec} from '../call/call-codec.js';
import {createActiveCalls} from '../forward/create-active-calls.js';
import {createAnswerMemory} from '../forward/create-answer-memory.js';
import {createCallLog} from '../forward/create-call-log.js';
import {createExtraCopies} from '../copies/create-extra-copies.js';
import {registerCopyMetrics} from '../copies/register-copy-metrics.js';
import {createCrashLog} from '../crashes/create-crash-log.js';
import {createCrashWatch} from '../crashes/create-crash-watch.js';
import {createCrashTracker} from '../crashes/create-crash-tracker.js';
import {createUpstreamPools} from '../forward/create-upstream-pools.js';
import {upstreamReads} from '../forward/upstream-reads.js';
import {logCutCalls} from '../forward/log-cut-calls.js';
import {runCall} from '../forward/run-call.js';
import {createLimitBook} from '../limits/create-limit-book.js';
import {createLimitGate} from '../limits/create-limit-gate.js';
import {createLimitReader} from '../quotas/create-limit-reader.js';
import {createQuotaGate} from '../quotas/create-quota-gate.js';
import {deriveGrantTimes} from '../quotas/grant-times.js';
import type {Upstream} from '../upstreams/upstream.js';
import {identifyStart} from '../upstreams/identify-start.js';
import {createLimitLog} from '../limits/create-limit-log.js';
import {createGatewayServer} from '../http/create-gateway-server.js';
import {keepEarlyListener} from '../http/keep-early-listener.js';
import type {EarlyListener} from '../http/early-listener.js';
import type {GatewayMetrics} from '../metrics/gateway-metrics.js';
import {registerProcessGauges} from '../metrics/register-process-gauges.js';
import {createLoadTracker} from '../placement/create-load-tracker.js';
import {createRouteTable} from '../routes/create-route-table.js';
import {createUpstreamDirectory} from '../upstreams/create-upstream-directory.js';
import {createCallerDirectory} from '../workspaces/create-caller-directory.js';
import {createKeyFreshness} from '../workspaces/create-key-freshness.js';
import {createLargestWorkspaces} from '../workspaces/create-largest-workspaces.js';
import {nameWorkspace} from '../workspaces/name-workspace.js';
import {applyDeclaredState} from './apply-declared-state.js';
import {createArrivalChecks} from './create-arrival-checks.js';
import {createHolderRegistry} from './create-holder-registry.js';
import {createHostLinks} from './create-host-links.js';
import {decideReadiness} from './decide-readiness.js';
import type {DeclaredKeys} from './declared-keys.js';
import {deriveCallerBounds} from './derive-caller-bounds.js';
import {deriveReadTimes} from './derive-read-times.js';
import {drainServer} from './drain-server.js';
import {followStore} from './follow-store.js';
import type {HostConfig} from './host-config.js';
import {listNeighbourAddresses} from './list-neighbour-addresses.js';
import {refuseUnread} from './refuse-unread.js';
import {serveText} from './serve-text.js';
import {registerGatewayGauges} from './register-gateway-gauges.js';

/** Share of an upstream's connection limit that each gateway may use, since several gateways share the upstream. */
const CONNECTION_SHARE = 0.25;
const DEFAULT_MAX_CONNECTIONS = 64;
/** Time for the body of a request that has no route, or whose route is not known yet. */
const DEFAULT_TIMEOUT_MS = 15_000;
const DEFAULT_MEMORY_TOKENS = 100_000;
/** Other processes can serve the caller at once. */
const RETRY_ELSEWHERE_MS = 100;
/** How often a starting process dials the copy holders that do not answer yet. */
const STARTUP_DIAL_INTERVAL_MS = 40;

type GatewayOptions = {
	readonly codec: CallCodec;
	readonly keys: DeclaredKeys;
	readonly store: DeclarationStore;
	readonly metrics: GatewayMetrics;
	readonly log: Logger;
	/** Aborts if the process is told to stop before it has started. */
	readonly stopRequested?: AbortSignal;
	/** Set if the process already listens on the address for callers. */
	readonly earlyListener?: EarlyListener | undefined;
};

/** Resolves once the process listens. `stop` resolves once no request is active, or shortly before the process is killed. */
export const startGateway = async (cfg: HostConfig & {readonly settings: ResolvedGatewaySettings}, {codec, keys, store, metrics, log, stopRequested, earlyListener: openedEarly}: GatewayOptions): Promise<RunningDaemon> => {
	const stopping = new AbortController();
	// The process before may hold its addresses until the end of its grace.
	const waiting = {waitMs: cfg.stopWithinMs, log, signal: stopRequested};
	const view = createDeclaredView();
	const routes = createRouteTable();
	const crashLog = createCrashLog(log);
	const crashes = createCrashTracker({
		now: () => performance.now(), onNoted(crash, source) {
			crashLog.recordNote(crash, source);
			metrics.countCrash(source);
		},
	});
	const crashWatch = createCrashWatch({tracker: crashes, now: () => performance.now()});
	const limitLog = createLimitLog(log);
	const limitBook = createLimitBook({now: () => performance.now(), onChange: limitLog.recordChange});
	const publisher = createChangePublisher<PeerLink>(view, deriveReadTimes(cfg.applyWithinMs).intervalMs, () => Math.max(0, follower.graceUntil() - Date.now()));
	const links = createHostLinks({
		host: cfg.host, dataCentre: cfg.dataCentre, view, crashes, limits: limitBook, publisher, readKnownGraceMs: () => follower.knownGraceMs(), onPause() {
			log.warn('process was paused; reconnecting the peer links', {});
		},
		onUnsendable: createRepeatedErrorLog(log, 'a message to another process could not be encoded and was not sent'),
	});
	const registry = createHolderRegistry({view, store, keys});
	const lists = createListReader(registry.readList);
	const self = {address: `http://${cfg.peers.ip}:${cfg.peers.port}`, dataCentre: cfg.dataCentre};
	const follower = followStore({
		view,
		store,
		publisher,
		cfg,
		log,
		signal: stopping.signal,
		chooseRelay: failed => links.chooseRelay(registry.listDisks(), failed),
		listNeighbours: () => links.listSources([...listNeighbourAddresses(registry.listDisks(), self), ...cfg.seeds.filter(address => address !== self.address)]),
	});
	const directory = createUpstreamDirectory({graceUntil: follower.graceUntil});
	applyDeclaredState({
		view, keys, routes, directory, log,
	});
	const callers = createCallerDirectory({
		routes, isOutdated: createKeyFreshness({revocation: cfg.revocation, newsAgeMs: deriveReadTimes(cfg.applyWithinMs).intervalMs, lastNewsAt: follower.lastNewsAt}),
	});
	metrics.nameWorkspaces(createLargestWorkspaces(routes.current));
	const services = () => routes.current()?.services;
	const pools = createUpstreamPools({
		getMaxConnections: service => Math.floor((services()?.get(service)?.maxConnections ?? DEFAULT_MAX_CONNECTIONS) * CONNECTION_SHARE),
	});
	const loads = createLoadTracker({
		dataCentre: cfg.dataCentre, memoryTokens: service => services()?.get(service)?.engine?.memoryTokens ?? DEFAULT_MEMORY_TOKENS, learnsSpeed: cfg.settings.placement.learnsSpeed,
	});
	const limits = createLimitGate({
		limits: limitBook, listDisks: registry.listDisks, linkTo: holder => links.linkTo(holder.address), now: () => performance.now(), onDecided: metrics.countLimited,
	});
	const quotas = createQuotaGate({
		host: cfg.host,
		dataCentre: cfg.dataCentre,
		times: deriveGrantTimes(cfg.quota.windowMs, cfg.applyWithinMs),
		readLimit: createLimitReader(routes),
		listDisks: registry.listDisks,
		linkTo: holder => links.linkTo(holder.address),
		now: () => performance.now(),
		random: Math.random,
		onDecided: metrics.countQuota,
	});
	directory.onEnd(upstream => {
		if (!upstream.isLeaving) {
			crashWatch.recordEnd(identifyStart(upstream));
		}

		pools.drop(upstream);
		loads.forget(upstream);
		limits.forget(upstream);
		metrics.forgetLimited(identifyStart(upstream));
	});
	const holderClient = createHolderClient({
		readList: lists.read, adoptList: lists.adopt, linkTo: holder => links.linkTo(holder.address), losses: cfg.losses, dataCentre: cfg.dataCentre,
	});
	const copies = createExtraCopies({...cfg.settings.extraCopies, meanWaitMs: loads.meanWaitMs, now: () => performance.now()});
	const activeCalls = createActiveCalls();
	const memory = createAnswerMemory();
	const calls = createCallLog(log);
	const refusedCallers = createCallLog(log, 'caller refused');
	const loop = createLoopMonitor({schedule: setImmediate, now: () => performance.now(), measureUtilization: performance.eventLoopUtilization.bind(performance)});
	const arrivalChecks = createArrivalChecks({
		routes, callers, quotas, loop, meanWaitMs: loads.meanWaitMs, metrics, calls, refusedCallers,
	});
	const parts = {
		codec, routes, callers, directory, loads, limits, quotas, pools, holderClient, memory, crashes, crashWatch, crashLog, metrics, copies, calls, random: Math.random, onLeaving(upstream: Upstream) {
			log.info('upstream says that it is leaving', {upstream: identifyStart(upstream)});
			metrics.countLeaving();
		},
	};
	const addresses = [cfg.metrics, ...(cfg.readiness ? [cfg.readiness] : []), cfg.peers];
	const earlyListener = openedEarly && await keepEarlyListener(openedEarly, {
		callers: cfg.callers!, addresses, refusalHeaders: codec.encodeRefusal(undefined, RETRY_ELSEWHERE_MS), log,
	});
	// A start that fails must do so before callers are served.
	for (const address of addresses) {
		await waitUntilFree({...address, ...waiting});
	}

	await createPeerServer({...cfg.peers, ...waiting, settings: links.settings});
	const server = await createGatewayServer({
		ip: cfg.callers!.ip,
		port: cfg.callers!.port,
		...waiting,
		earlyListener,
		codec,
		activeCalls,
		memory,
		limits: () => routes.current()?.limits,
		shouldKeepConnections: () => !holderClient.isCutOff(),
		onArrival() {
			loop.recordArrival();
			return loop.read().queueMs;
		},
		...arrivalChecks,
		...deriveCallerBounds({
			memoryBytes: cfg.memoryBytes, maxDescriptors: cfg.maxDescriptors, heapBytes: getHeapStatistics().heap_size_limit, maxConnections: cfg.settings.callers.maxConnections,
		}),
		maxBodyMs: ({deadlineMs = Number.POSITIVE_INFINITY, host, path}) => Math.min(deadlineMs, routes.match(host, path)?.timeoutMs ?? DEFAULT_TIMEOUT_MS),
		onUnread(call, response, unread) {
			refuseUnread(call, response, {
				...unread, metrics, calls, workspace: nameWorkspace(callers, call), heldBytes: server.heldBytes(),
			});
		},
		async onCall(call, body, response, active) {
			await runCall(parts, call, body, response, active);
		},
		onFailed(reason) {
			log.error('failed to handle a request because of an unexpected error', {reason});
		},
		onRejected(reason, status) {
			log.warn('request rejected', {reason, status});
		},
	});
	const startedAt = performance.now();
	const isReady = (): boolean => decideReadiness({
		isStopping: stopping.signal.aborted, hasRoutes: routes.current() !== undefined, hasHolders: holderClient.isReady(), ageMs: performance.now() - startedAt,
	});
	// `holderClient.isReady` dials the holders that do not answer.
	const startupDialTimer = setInterval(() => {
		if (holderClient.isReady() || stopping.signal.aborted) {
			clearInterval(startupDialTimer);
			log.info('enough copy holders responding', {disks: registry.listDisks().length, afterMs: Math.round(performance.now() - startedAt)});
		}
	}, STARTUP_DIAL_INTERVAL_MS);
	let wasReady = false;
	const readiness = cfg.readiness && await serveText({...cfg.readiness, ...waiting}, () => {
		const ready = isReady();
		if (ready !== wasReady) {
			wasReady = ready;
			log.info(ready ? 'gateway ready' : 'gateway not ready', {version: routes.current()?.version, disks: registry.listDisks().length});
		}

		return {status: ready ? 200 : 503, text: ''};
	});
	metrics.addLimits(limitBook.listLimits);
	if (copies) {
		registerCopyMetrics(metrics, copies);
	}

	registerProcessGauges(metrics);
	registerGatewayGauges(metrics, {
		routes, view, holderClient, registry, loop, memory, countActive: server.countActive, countConnections: server.countConnections, countClosed: server.countClosed, unparsedBytes: server.unparsedBytes, heldBytes: server.heldBytes, reads: upstreamReads, lastReadAt: follower.lastReadAt,
	});
	const metricsServer = await serveText({...cfg.metrics, ...waiting}, async () => ({status: 200, text: await metrics.render()}));
	log.info('gateway started', {dataCentre: cfg.dataCentre, callers: cfg.callers});

	return {
		countActive: server.countActive,
		async stop(withinMs) {
			log.info('gateway stopping', {active: server.countActive()});
			stopping.abort();
			await drainServer(server, withinMs, activeCalls.stop);
			logCutCalls(activeCalls.list(), {log, metrics});
			readiness?.close();
			metricsServer.close();
			await links.close();
			pools.close();
			quotas.close();
			calls.close();
			refusedCallers.close();
			limitLog.close();
			crashLog.close();
			log.info('gateway stopped', {active: server.countActive()});
			return 0;
		},
	};
};

/**
Assembles a sidecar: the peer server for links from entries and shard owners, and
the scheduler, client, monitor and prefix reconciler of the one upstream.
*/
import {randomUUID} from 'node:crypto';
import {setTimeout as delay} from 'node:timers/promises';
import {decideAdmission} from '@siskinhub/core/decide/decide-admission.js';
import {chooseNextCall} from '@siskinhub/core/decide/choose-next-call.js';
import type {InstanceId} from '@siskinhub/core/ids/instance-id.js';
import {createGrantRegistry} from '@siskinhub/core/sidecar/create-grant-registry.js';
import {createRepeatedErrorLog} from '@siskinhub/observe/create-repeated-error-log.js';
import type {Logger} from '@siskinhub/observe/logger.js';
import type {Metrics} from '@siskinhub/observe/metrics.js';
import type {Tracer} from '@siskinhub/observe/tracer.js';
import {createHeartbeatTicker} from '@siskinhub/peer/create-heartbeat-ticker.js';
import {createPauseDetector} from '@siskinhub/peer/create-pause-detector.js';
import {createPeerServer} from '@siskinhub/peer/create-peer-server.js';
import type {LinkSettings} from '@siskinhub/peer/link-settings.js';
import type {PeerLink} from '@siskinhub/peer/peer-link.js';
import {Role} from '@siskinhub/proto/gen/siskinhub/peer/v1/peer_pb.js';
import type {ResolvedSidecarConfig} from '@siskinhub/settings/resolved-sidecar-config.js';
import {createEngineClient} from './create-engine-client.js';
import {createMessageHandler} from './create-message-handler.js';
import {createPrefixReconciler} from './create-prefix-reconciler.js';
import {createRunScheduler} from './create-run-scheduler.js';
import {createServiceClient} from './create-service-client.js';
import {createUpstreamMonitor} from './create-upstream-monitor.js';
import type {Sidecar} from './sidecar.js';

const EXPIRY_CHECK_INTERVAL_MS = 250;
const STOP_POLL_MS = 20;
/** Time to send the last replies before the links close. */
const REPLY_FLUSH_MS = 50;

type SidecarDependencies = {
	readonly log: Logger;
	readonly metrics: Metrics;
	readonly tracer: Tracer;
};

/** Starts a sidecar. Rejects only if its address cannot be bound. */
export const createSidecar = async (cfg: ResolvedSidecarConfig, {log, metrics, tracer}: SidecarDependencies): Promise<Sidecar> => {
	const instance = randomUUID() as InstanceId;
	const upstream = cfg.upstream.kind === 'model' ? createEngineClient(cfg.upstream.address) : createServiceClient(cfg.upstream.address);
	const registry = createGrantRegistry({instance, maxRecords: cfg.recordRetention.maxRequests});
	const links = new Set<PeerLink>();
	const sendHeartbeats = () => {
		for (const link of links) {
			link.send({case: 'heartbeat', value: createHeartbeat()});
		}
	};

	const monitor = createUpstreamMonitor(upstream, () => {
		log.warn(monitor.isUp() ? 'upstream responding again' : 'upstream not responding; reporting it as down');
		sendHeartbeats();
	});
	const pauseDetector = createPauseDetector(cfg.heartbeat.silenceMs, () => {
		log.warn('process was paused; dropping the queued calls');
		scheduler.dropQueued('the sidecar was paused while the call waited');
	});
	const scheduler = createRunScheduler({
		upstream,
		registry,
		slots: cfg.upstream.slots,
		order: chooseNextCall,
		admissionPolicy: decideAdmission,
		getMemory: () => ({memoryTokens: cfg.upstream.memoryTokens, heldTokens: Number(prefixReconciler.getHeldPrefixes().heldTokens)}),
		tracer,
		canStart: () => !pauseDetector.isWaking(),
		onUpstreamFailure() {
			monitor.reportFailure();
		},
	});
	const prefixReconciler = createPrefixReconciler({
		upstream, scheduler, links, intervalMs: cfg.reconcileIntervalMs, log,
	});
	const createHeartbeat = () => ({
		leaving: !scheduler.isAccepting(),
		load: {...scheduler.describeLoad(), ...prefixReconciler.getHeldPrefixes(), upstreamUp: monitor.isUp()},
	});
	const settings: LinkSettings = {
		hello: {
			host: cfg.host, instance, role: Role.SIDECAR, dataCentre: cfg.dataCentre, peerAddress: cfg.peer.advertisedAddress,
		},
		heartbeatTicker: createHeartbeatTicker(cfg.heartbeat.intervalMs),
		silenceMs: cfg.heartbeat.silenceMs,
		createHeartbeat,
		onMessage: createMessageHandler({
			scheduler, registry, prefixReconciler, log, metrics, tracer,
		}),
		onUnsendable: createRepeatedErrorLog(log, 'a message to another process could not be encoded and was not sent'),
		pauseDetector,
	};
	const expiryTimer = setInterval(scheduler.dropExpired, EXPIRY_CHECK_INTERVAL_MS);
	expiryTimer.unref();
	const server = await createPeerServer({
		ip: cfg.peer.ip,
		port: cfg.peer.port,
		settings,
		onLink(link) {
			links.add(link);
			link.onClosed(() => {
				links.delete(link);
			});
			// Reports the load immediately instead of one heartbeat interval later.
			link.send({case: 'heartbeat', value: createHeartbeat()});
		},
	});
	log.info('sidecar started', {address: server.address, upstream: cfg.upstream.id, instance});

	return {
		address: server.address,
		async stop() {
			scheduler.stopAccepting();
			sendHeartbeats();
			log.info('sidecar stopping', {openRuns: scheduler.openRuns()});
			const deadline = Date.now() + cfg.gracefulStopMs;
			while (scheduler.openRuns() > 0 && Date.now() < deadline) {
				await delay(STOP_POLL_MS);
			}

			const isClean = scheduler.openRuns() === 0;
			prefixReconciler.stop();
			monitor.stop();
			clearInterval(expiryTimer);
			await delay(REPLY_FLUSH_MS);
			await server.close();
			pauseDetector.stop();
			return isClean;
		},
	};
};

/**
Creates an entry from its parts: the HTTP server for callers and operators, the
links to peers, the shards that it owns and the histories that it holds.
*/
import {randomInt, randomUUID} from 'node:crypto';
import {setTimeout as delay} from 'node:timers/promises';
import createXxhash from 'xxhash-wasm';
import {chooseUpstream} from '@siskinhub/core/decide/choose-upstream.js';
import {createRandom} from '@siskinhub/core/decide/create-random.js';
import {decideRetry} from '@siskinhub/core/decide/decide-retry.js';
import type {ProgramId} from '@siskinhub/core/ids/program-id.js';
import type {ShardId} from '@siskinhub/core/ids/shard-id.js';
import {parseShardId} from '@siskinhub/core/ids/parse-shard-id.js';
import {createRepeatedErrorLog} from '@siskinhub/observe/create-repeated-error-log.js';
import type {Logger} from '@siskinhub/observe/logger.js';
import type {Metrics} from '@siskinhub/observe/metrics.js';
import type {Tracer} from '@siskinhub/observe/tracer.js';
import {createHeartbeatTicker} from '@siskinhub/peer/create-heartbeat-ticker.js';
import type {MessageBody} from '@siskinhub/peer/message-body.js';
import type {MessageBodyInit} from '@siskinhub/peer/message-body-init.js';
import {createPauseDetector} from '@siskinhub/peer/create-pause-detector.js';
import {createLinkReconnector} from '@siskinhub/peer/create-link-reconnector.js';
import {createPeerPool} from '@siskinhub/peer/create-peer-pool.js';
import {createPeerServer} from '@siskinhub/peer/create-peer-server.js';
import type {IncomingMessage} from '@siskinhub/peer/incoming-message.js';
import type {LinkSettings} from '@siskinhub/peer/link-settings.js';
import type {PeerLink} from '@siskinhub/peer/peer-link.js';
import type {PeerPool} from '@siskinhub/peer/peer-pool.js';
import type {PlatformClient} from '@siskinhub/platform/platform-client.js';
import {createShardBudgets} from '@siskinhub/platform/budget/create-shard-budgets.js';
import {createTable} from '@siskinhub/platform/table/create-table.js';
import {Role} from '@siskinhub/proto/gen/siskinhub/peer/v1/peer_pb.js';
import type {ResolvedEntryConfig} from '@siskinhub/settings/resolved-entry-config.js';
import {createCallRunner} from './calls/create-call-runner.js';
import {createAskPeer} from './create-ask-peer.js';
import {createSidecarOrders} from './create-sidecar-orders.js';
import {createHostDirectory} from './directory/create-host-directory.js';
import {createLeavingHostTracker} from './directory/create-leaving-host-tracker.js';
import {createSidecarDirectory} from './directory/create-sidecar-directory.js';
import type {Entry} from './entry.js';
import {createHistoryClient} from './history/create-history-client.js';
import type {HistoryHolderService} from './history/history-holder-service.js';
import {createCallRoutes} from './http/create-call-routes.js';
import {createHttpServer} from './http/create-http-server.js';
import {createOperatorRoutes} from './http/create-operator-routes.js';
import {createProgramRoutes} from './http/create-program-routes.js';
import {createTableRoutes} from './http/create-table-routes.js';
import {createSuspectTracker} from './owner/create-suspect-tracker.js';
import {createOwnerRouter} from './owner/create-owner-router.js';
import {createOwnerService} from './owner/create-owner-service.js';
import {createSlotClient} from './owner/create-slot-client.js';
import {createSlotTable} from './owner/create-slot-table.js';
import {createTokenReserver} from './owner/create-token-reserver.js';
import {createShardOwner} from './owner/create-shard-owner.js';
import {createCandidateRanking} from './ownership/create-candidate-ranking.js';
import {createHolderFinder} from './ownership/create-holder-finder.js';
import {createHolderMonitor} from './ownership/create-holder-monitor.js';
import {createOwnership} from './ownership/create-ownership.js';
import {createShardMap} from './ownership/create-shard-map.js';
import type {Ownership} from './ownership/ownership.js';
import {takeOverShard} from './ownership/take-over-shard.js';
import {chooseNeighbours} from './table/choose-neighbours.js';
import {createRowLimits} from './table/create-row-limits.js';
import {createTableExchange} from './table/create-table-exchange.js';
import {applyBudgetCells} from './table/apply-budget-cells.js';
import {isTableWatcher} from './table/is-table-watcher.js';

const MAX_SEED = 2 ** 31;
const TIME_LIMIT_CHECK_INTERVAL_MS = 500;
const STOP_POLL_INTERVAL_MS = 20;
const BUDGET_RETURN_TIMEOUT_MS = 2000;
const DRAIN_TIMEOUT_MS = 2000;

type EntryDependencies = {
	readonly version: string;
	readonly platform: PlatformClient;
	readonly holderService: HistoryHolderService;
	readonly log: Logger;
	readonly metrics: Metrics;
	readonly tracer: Tracer;
};

/** Starts an entry; rejects only if an address cannot be bound. */
export const createEntry = async (cfg: ResolvedEntryConfig, dependencies: EntryDependencies): Promise<Entry> => {
	const {platform, holderService, log, tracer, version} = dependencies;
	const instance = randomUUID();
	const createId = () => randomUUID();
	const random = createRandom(randomInt(MAX_SEED));
	const {h32} = await createXxhash();
	const ownAddress = cfg.peer.advertisedAddress;
	const getProgramShard = (program: ProgramId) => parseShardId(program, cfg.shards);
	let isLeaving = false;

	// The directories receive the pool's heartbeats and need the pool to connect, so the pool is set after they exist.
	const deferred: {pool?: PeerPool; ownership?: Ownership} = {};
	const pool = (): PeerPool => {
		if (!deferred.pool) {
			throw new Error('the peer pool was used before it was created');
		}

		return deferred.pool;
	};

	const ownership = (): Ownership => {
		if (!deferred.ownership) {
			throw new Error('the shard ownership was used before it was created');
		}

		return deferred.ownership;
	};

	const neighbourLinks = createLinkReconnector(pool);
	const listNeighbours = () => isLeaving ? [] : chooseNeighbours(cfg.host, cfg.dataCentre, hosts.entries());
	const hosts = createHostDirectory({
		platform, region: cfg.region, onChange() {
			upstreams.syncLinks();
			for (const {peerAddress} of listNeighbours()) {
				neighbourLinks.keep(peerAddress, () => listNeighbours().some(neighbour => neighbour.peerAddress === peerAddress));
			}
		},
	});
	const upstreams = createSidecarDirectory({
		hosts, pool, silenceMs: cfg.heartbeat.silenceMs, isOwner: () => (deferred.ownership?.owned().length ?? 0) > 0,
	});
	const leavingHostTracker = createLeavingHostTracker();
	const shardMap = createShardMap();
	const crashes = createSuspectTracker((fingerprint, crashesAlone) => {
		for (const entry of hosts.entries()) {
			if (entry.id !== cfg.host) {
				pool().get(entry.peerAddress).send({case: 'quarantine', value: {fingerprint, crashesAlone}});
			}
		}
	});
	const table = createTable({
		client: platform,
		writer: `${cfg.host}/${instance}`,
		createCommitId: createId,
		isWatcher: () => isTableWatcher(cfg.host, cfg.dataCentre, hosts.entries()),
	});
	const tableExchange = createTableExchange(table);
	const answerAsOwner = createOwnerService({
		ownership, map: shardMap, crashes, slots: createSlotTable(), getProgramShard,
	});

	const answerAboutTable = (body: MessageBody): MessageBodyInit | undefined => body.case === 'tableSince' ? tableExchange.answer(Number(body.value.revision)) : undefined;

	const answer = async (body: MessageBody): Promise<MessageBodyInit> => await holderService.answer(body)
		?? await answerAsOwner(body)
		?? answerAboutTable(body)
		?? {case: 'refused', value: {code: 'bad-request', message: `This entry does not answer ${body.case}.`}};

	const answerTraced = async (body: MessageBody, traceparent = '') => {
		const span = traceparent === '' ? undefined : tracer.startSpan(`entry.${body.case}`, {traceparent});
		const answered = await answer(body);
		span?.end(answered.case === 'refused' ? answered.value.code ?? 'refused' : 'ok');
		return answered;
	};

	const onMessage = async ({body, reply, traceparent}: IncomingMessage) => {
		try {
			reply(await answerTraced(body, traceparent));
		} catch (error) {
			log.error('failed to handle a message from a peer', {message: body.case, error: String(error)});
			reply({case: 'refused', value: {code: 'unavailable', message: 'The entry failed; ask again.', retryAfterMs: 1000}});
		}
	};

	const settings: LinkSettings = {
		hello: {
			host: cfg.host, instance, role: Role.ENTRY, dataCentre: cfg.dataCentre, peerAddress: ownAddress, dataFolderId: holderService.dataFolderId,
		},
		heartbeatTicker: createHeartbeatTicker(cfg.heartbeat.intervalMs),
		silenceMs: cfg.heartbeat.silenceMs,
		createHeartbeat: () => ({leaving: isLeaving, tableRevision: BigInt(table.revision())}),
		onMessage(message) {
			void onMessage(message);
		},
		onHeartbeat(link, heartbeat) {
			const remote = link.remote();
			if (remote) {
				leavingHostTracker.recordHeartbeat(remote, heartbeat.leaving);
			}

			upstreams.receiveHeartbeat(link, heartbeat);
			tableExchange.receiveRevision(link, Number(heartbeat.tableRevision));
		},
		onUnsendable: createRepeatedErrorLog(log, 'a message to another process could not be encoded and was not sent'),
		pauseDetector: createPauseDetector(cfg.heartbeat.silenceMs, () => {
			log.warn('process was paused; reconnecting the peer links');
		}),
	};
	deferred.pool = createPeerPool(settings);
	const ask = createAskPeer({ownAddress, pool, answer: answerTraced});
	const histories = createHistoryClient(ask, ownAddress);
	const rank = createCandidateRanking({entries: hosts.entries, hash: h32, isLeaving: () => false});
	const router = createOwnerRouter({ask, map: shardMap, rank});
	const orders = createSidecarOrders(pool(), hosts);
	const acquireSlots = createSlotClient({router, getHomeShard: row => h32(row) % cfg.shards as ShardId, createId});
	const shardBudgets = new Map<ShardId, ReturnType<typeof createShardBudgets>>();
	table.subscribe(({table: state}) => {
		for (const budgets of shardBudgets.values()) {
			applyBudgetCells(budgets, state);
		}
	});

	const holderFinder = createHolderFinder({
		ownAddress, ownFolderId: holderService.dataFolderId, rank, linkTo: address => pool().get(address),
	});

	deferred.ownership = createOwnership({
		shards: cfg.shards,
		host: cfg.host,
		instance,
		peerAddress: ownAddress,
		platform,
		// A leaving host takes over no shard, but still replies and still holds histories.
		rank: createCandidateRanking({entries: hosts.entries, hash: h32, isLeaving: leavingHostTracker.isLeaving}),
		map: shardMap,
		leaseTtlMs: cfg.lease.ttlMs,
		leaseRenewEveryMs: cfg.lease.renewEveryMs,
		async takeOver(shard, isAlive) {
			const taken = await takeOverShard({
				shard,
				platform,
				histories,
				host: cfg.host,
				instance,
				peerAddress: ownAddress,
				createId,
				commitWindowMs: cfg.commitWindowMs,
				findHolders: async () => holderFinder.findHolders(shard),
				isAlive: owner => isAlive(owner.instance),
			});
			return taken.map(({shardLog, epoch, holders, sources}) => {
				shardBudgets.get(shard)?.close();
				const budgets = createShardBudgets({
					client: platform, shard, epoch, createChangeId: createId,
				});
				return createShardOwner({
					shard, epoch, shardLog, holders, sources, histories, upstreams, orders, crashes, chooseUpstream, random, createId, log,
					limitsOf: createRowLimits(() => table.state().table),
					acquireSlots,
					reserveTokens: createTokenReserver(budgets, createId),
					returnBudgets: async () => Promise.race([budgets.returnAll(), delay(BUDGET_RETURN_TIMEOUT_MS)]),
				});
			});
		},
		onOwned: upstreams.syncLinks,
		shouldReplaceHolders: createHolderMonitor({
			isUsable: holder => holderFinder.knownFolderId(holder.peerAddress) === holder.dataFolderId,
			countCandidates: () => hosts.entries().filter(entry => holderFinder.knownFolderId(entry.peerAddress) !== '').length,
		}),
		log,
	});

	const calls = createCallRunner({
		getProgramShard: program => getProgramShard(program) ?? 0 as ShardId,
		router,
		histories,
		getLink: address => pool().get(address),
		decideRetry,
		random,
		tracer,
	});
	const context = {
		cfg, instance, version, router, calls, histories, upstreams, ownership: ownership(), random, createId, getProgramShard, log,
		isLeaving: () => isLeaving,
		tableRevision: table.revision,
		async drainUpstream(address: string) {
			const reply = await ask(address, {case: 'drainUpstream', value: {}}, {timeoutMs: DRAIN_TIMEOUT_MS});
			return reply.isOk() && reply.value.case === 'acknowledged';
		},
	};
	const inbound = new Set<PeerLink>();
	const peerServer = await createPeerServer({
		ip: cfg.peer.ip,
		port: cfg.peer.port,
		settings,
		onLink(link) {
			inbound.add(link);
			link.onClosed(() => {
				inbound.delete(link);
			});
		},
	});
	// A new revision is sent at once rather than with the next heartbeat, so that it spreads along a chain of neighbours within milliseconds per hop.
	table.subscribe(() => {
		for (const link of [...inbound, ...pool().links()]) {
			link.send({case: 'heartbeat', value: settings.createHeartbeat(link)});
		}
	});
	await hosts.refresh();
	await table.refresh();
	const http = await createHttpServer({
		ip: cfg.http.ip,
		port: cfg.http.port,
		routes: [...createProgramRoutes(context), ...createCallRoutes(context), ...createOperatorRoutes(context), ...createTableRoutes({table, maxBodyBytes: cfg.limits.maxBodyBytes})],
		log,
	});
	const timeLimitTimer = setInterval(() => {
		for (const owner of ownership().owned()) {
			void owner.enforceTimeLimits();
		}
	}, TIME_LIMIT_CHECK_INTERVAL_MS);
	timeLimitTimer.unref();
	log.info('entry started', {http: http.address, peer: peerServer.address, instance});

	return {
		httpAddress: http.address,
		peerAddress: peerServer.address,
		async stop() {
			isLeaving = true;
			log.info('entry stopping', {openCalls: calls.open()});
			await ownership().leave();
			const closed = http.close();
			const deadline = Date.now() + cfg.gracefulStopMs;
			while (http.openRequests() > 0 && Date.now() < deadline) {
				await delay(STOP_POLL_INTERVAL_MS);
			}

			const isClean = http.openRequests() === 0;
			if (isClean) {
				await closed;
			}

			clearInterval(timeLimitTimer);
			table.close();
			hosts.stop();
			pool().closeAll('the process is stopping');
			await peerServer.close();
			await holderService.close();
			settings.pauseDetector.stop();
			return isClean;
		},
	};
};

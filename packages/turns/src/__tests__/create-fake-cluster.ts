/**
Runs copy holders and their clients in one process for tests. Links and disks
are fakes with short delays, and a test can cut links, kill processes and wipe
disks. Time is that of the test's fake timers.
*/
import {clone, create} from '@bufbuild/protobuf';
import type {MessageBody} from '@siskinhub/peer/message-body.js';
import type {MessageBodyInit} from '@siskinhub/peer/message-body-init.js';
import type {PeerLink} from '@siskinhub/peer/peer-link.js';
import {
	EnvelopeSchema, HelloSchema, RecordSchema, type Record as WireRecord,
} from '@siskinhub/proto/gen/siskinhub/peer/v1/peer_pb.js';
import {err, ok} from 'neverthrow';
import type {CopyStore} from '../disk/copy-store.js';
import {createGroupIndexes} from '../disk/create-group-indexes.js';
import {copyFromHolders} from '../holder/copy-from-holders.js';
import {createOutputBuffer} from '../holder/create-output-buffer.js';
import {createCopyService} from '../holder/create-copy-service.js';
import {runHolder} from '../holder/run-holder.js';
import type {SyncCopy} from '../holder/sync-copy.js';
import {findGroup} from '../membership/find-group.js';
import type {GroupId} from '../membership/group-id.js';
import type {Holder} from '../membership/holder.js';
import type {HolderList} from '../membership/holder-list.js';
import {createListReader} from '../client/create-list-reader.js';
import {createHolderClient} from '../client/create-holder-client.js';

const LINK_DELAY_MS = 1;
const SYNC_DELAY_MS = 5;
const LOST_AFTER_MS = 3000;

const silentLog = {
	trace() {/* Tests read no logs. */}, debug() {/* Same. */}, info() {/* Same. */}, warn() {/* Same. */}, error() {/* Same. */}, child: () => silentLog,
};

const toBody = (init: MessageBodyInit): MessageBody => create(EnvelopeSchema, {body: init}).body as MessageBody;

const wait = async (ms: number) => new Promise(resolve => {
	setTimeout(resolve, ms);
});

type Disk = {diskId: string; records: WireRecord[]};

type FakeHost = {
	readonly name: string;
	disk: Disk;
	isUp: boolean;
	isDiskFull: boolean;
	readonly dataCentre: string;
	incarnation: number;
	handle: ReturnType<typeof createCopyService> | undefined;
	compact: CopyStore['compact'] | undefined;
	stopping: AbortController;
};

type ClusterOptions = {
	/** Number of disks that may be lost at the same time. */
	readonly losses?: number;
	/** Data centres over which the hosts are spread in turn. */
	readonly dataCentres?: readonly string[];
};

/** Starts `count` holders on empty disks. A test sets `isPlatformUp` to `false` to stop the platform's service, and `maxSwaps` to have it refuse all swaps after that many. */
export const createFakeCluster = (count: number, {losses = 1, dataCentres = ['']}: ClusterOptions = {}) => {
	const hosts = new Map<string, FakeHost>();
	const cut = new Set<string>();
	const declared = new Map<GroupId, HolderList>();
	const registered = new Map<string, Holder>();
	let nextDisk = 1;
	const cluster = {
		isPlatformUp: true, swaps: {taken: 0, refused: 0}, maxSwaps: Infinity, requests: 0, awaitedRequests: 0,
	};

	const isCut = (from: string, to: string): boolean => cut.has(`${from} ${to}`) || cut.has(`${to} ${from}`);

	const openDisk = (host: FakeHost): CopyStore => {
		const {disk, incarnation} = host;
		const indexes = createGroupIndexes();
		for (const record of disk.records) {
			indexes.add(clone(RecordSchema, record));
		}

		indexes.forgetExpired(Date.now());
		return {
			diskId: disk.diskId,
			isNew: disk.records.length === 0,
			getIndex: indexes.get,
			async add(group, fact) {
				const record = create(RecordSchema, {group, fact});
				// The index extends expiries, which does not change what is on the disk.
				const line = clone(RecordSchema, record);
				const isNew = indexes.add(record);
				if (host.isDiskFull) {
					return err('no space left on the disk');
				}

				await wait(SYNC_DELAY_MS);
				if (host.incarnation !== incarnation || !host.isUp) {
					return err('the process has ended');
				}

				if (isNew) {
					disk.records.push(line);
				}

				return ok();
			},
			async compact() {
				indexes.forgetExpired(Date.now());
				disk.records = indexes.records().map(record => clone(RecordSchema, record));
				return ok();
			},
			size: indexes.size,
			bytes: () => 0,
			added: () => disk.records.length,
			syncs: () => 0,
			async close() {/* Nothing is open. */},
		};
	};

	const linkFrom = (from: string) => ({address}: Pick<Holder, 'address'>): PeerLink => {
		const to = address;
		const request: PeerLink['request'] = async (init, {timeoutMs, canWait = false}) => {
			const startedAt = Date.now();
			await wait(LINK_DELAY_MS);
			cluster.requests++;
			cluster.awaitedRequests += canWait ? 0 : 1;
			const target = hosts.get(to);
			if (target?.handle && target.isUp && !isCut(from, to)) {
				const {incarnation} = target;
				const answer = await new Promise<MessageBody | undefined>(resolve => {
					const timer = setTimeout(resolve, timeoutMs, undefined);
					target.handle!({
						link: undefined as never, body: toBody(init), traceparent: '', reply(body) {
							clearTimeout(timer);
							resolve(toBody(body));
						},
					});
				});
				await wait(LINK_DELAY_MS);
				if (answer && target.incarnation === incarnation && target.isUp && !isCut(from, to)) {
					return ok(answer);
				}
			}

			await wait(Math.max(0, timeoutMs - (Date.now() - startedAt)));
			return err({kind: 'timeout', message: 'no answer'});
		};

		return {
			remote: () => hosts.get(to)?.isUp && !isCut(from, to) ? create(HelloSchema, {dataFolderId: hosts.get(to)!.disk.diskId, dataCentre: hosts.get(to)!.dataCentre}) : undefined,
			isOpen: () => true,
			silentForMs: () => 0,
			async send(init) {
				await wait(LINK_DELAY_MS);
				if (hosts.get(to)?.isUp && !isCut(from, to)) {
					hosts.get(to)!.handle?.({
						link: undefined as never, body: toBody(init), traceparent: '', reply() {/* Nothing is awaited. */},
					});
				}
			},
			request,
			openCall: () => ({close() {/* Nothing is open. */}}),
			reply() {/* The handler replies itself. */},
			flush() {/* Nothing waits here. */},
			onClosed() {/* Fake links do not close. */},
			close() {/* Same. */},
		};
	};

	const toHolder = ({name, disk, dataCentre}: FakeHost): Holder => ({
		diskId: disk.diskId, host: name, address: name, dataCentre,
	});

	const start = (host: FakeHost): void => {
		host.isUp = true;
		host.incarnation++;
		const store = openDisk(host);
		const linkTo = linkFrom(host.name);
		const {incarnation} = host;
		const syncCopy: SyncCopy = async (group, listVersion) => copyFromHolders({
			store, group, listVersion, losses, linkTo,
		});
		host.handle = createCopyService({
			store, syncCopy, outputs: createOutputBuffer(Date.now), onError() {/* The test sees the error at the client. */}, onGap() {/* Same. */},
		});
		host.compact = store.compact;
		host.stopping = new AbortController();
		void runHolder({
			self: toHolder(host),
			store,
			registry: {
				isLoaded: () => true,
				readList: group => declared.get(group),
				listDisks: () => [...registered.values()],
				async swap(proposals) {
					await wait(LINK_DELAY_MS);
					const isExpected = proposals.every(({group, list}) => list.version === (declared.get(group)?.version ?? 0) + 1);
					if (!cluster.isPlatformUp || cluster.swaps.taken >= cluster.maxSwaps || host.incarnation !== incarnation || !isExpected) {
						cluster.swaps.refused++;
						return false;
					}

					cluster.swaps.taken++;
					for (const {group, list} of proposals) {
						declared.set(group, list);
					}

					return true;
				},
				async register(holder) {
					await wait(LINK_DELAY_MS);
					if (cluster.isPlatformUp && host.incarnation === incarnation) {
						registered.set(holder.diskId, holder);
					}

					return cluster.isPlatformUp;
				},
				async forget({diskId}) {
					await wait(LINK_DELAY_MS);
					if (cluster.isPlatformUp && host.incarnation === incarnation) {
						registered.delete(diskId);
					}
				},
			},
			linkTo,
			listRetiring: () => retiring,
			onRetiring(name, isEmptied) {
				if (isEmptied) {
					emptied.add(name);
				}
			},
			losses,
			lostAfterMs: LOST_AFTER_MS,
			syncCopy,
			log: silentLog,
			signal: host.stopping.signal,
		});
	};

	const retiring = new Set<string>();
	const emptied = new Set<string>();

	const add = (name: string): void => {
		const host: FakeHost = {
			name, disk: {diskId: `disk-${nextDisk++}`, records: []}, isUp: false, isDiskFull: false, dataCentre: dataCentres[hosts.size % dataCentres.length]!, incarnation: 0, handle: undefined, compact: undefined, stopping: new AbortController(),
		};
		hosts.set(name, host);
		start(host);
	};

	const kill = (name: string): void => {
		const host = hosts.get(name)!;
		host.isUp = false;
		host.incarnation++;
		host.handle = undefined;
		host.stopping.abort();
	};

	for (let index = 1; index <= count; index++) {
		add(`h${index}`);
	}

	return Object.assign(cluster, {
		retiring,
		emptied,
		add,
		kill,
		restart(name: string) {
			kill(name);
			start(hosts.get(name)!);
		},
		async compact(name: string) {
			await hosts.get(name)!.compact?.();
		},
		wipe(name: string) {
			kill(name);
			hosts.get(name)!.disk = {diskId: `disk-${nextDisk++}`, records: []};
			start(hosts.get(name)!);
		},
		remove(name: string) {
			kill(name);
			hosts.delete(name);
		},
		cut(a: string, b: string) {
			cut.add(`${a} ${b}`);
		},
		heal() {
			cut.clear();
		},
		setDiskFull(name: string, isFull: boolean) {
			hosts.get(name)!.isDiskFull = isFull;
		},
		/** The list of a program's group. */
		list: (program = 'p') => declared.get(findGroup(program)),
		lists: (): ReadonlyMap<GroupId, HolderList> => declared,
		/** Names of all hosts, in the order in which they were added. */
		names: () => [...hosts.keys()],
		/** Names of the hosts whose disks have the turn. */
		listCopies: (id: string) => [...hosts.values()].filter(({disk}) => disk.records.some(({fact}) => fact.case === 'turn' && fact.value.id === id)).map(({name}) => name),
		/** Records on all disks. */
		countRecords: () => [...hosts.values()].reduce((sum, {disk}) => sum + disk.records.length, 0),
		/** Names of the hosts whose disks have a use of the attempt. */
		namesWithUse: (attempt: string) => [...hosts.values()].filter(({disk}) => disk.records.some(({fact}) => fact.case === 'use' && fact.value.use?.attempt === attempt)).map(({name}) => name),
		isUp: (name: string) => hosts.get(name)?.isUp ?? false,
		createClient(name: string, dataCentre = '') {
			// A client sees a new list with a delay, or learns of it from a holder.
			let known: ReadonlyMap<GroupId, HolderList> = new Map(declared);
			const lists = createListReader(group => {
				if (cluster.isPlatformUp && Math.floor(Date.now() / 600) % 2 === 0) {
					known = new Map(declared);
				}

				return known.get(group);
			});
			return createHolderClient({
				readList: lists.read,
				adoptList: lists.adopt,
				linkTo: linkFrom(name),
				losses,
				dataCentre,
			});
		},
	});
};

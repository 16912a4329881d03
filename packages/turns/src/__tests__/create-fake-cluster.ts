/**
Runs copy holders and their clients in one process for tests. Links and disks
are fakes with short delays, and a test can cut links, kill processes and wipe
disks. Time is that of the test's fake timers.
*/
import {create} from '@bufbuild/protobuf';
import type {MessageBody} from '@siskinhub/peer/message-body.js';
import type {MessageBodyInit} from '@siskinhub/peer/message-body-init.js';
import type {PeerLink} from '@siskinhub/peer/peer-link.js';
import {
	EnvelopeSchema, HelloSchema, RecordSchema, type Record as WireRecord,
} from '@siskinhub/proto/gen/siskinhub/peer/v1/peer_pb.js';
import {err, ok} from 'neverthrow';
import type {CopyStore} from '../disk/copy-store.js';
import {createCopyIndex} from '../disk/create-copy-index.js';
import {copyFromHolders} from '../holder/copy-from-holders.js';
import {createCopyService} from '../holder/create-copy-service.js';
import {runHolder} from '../holder/run-holder.js';
import type {Holder} from '../membership/holder.js';
import type {HolderList} from '../membership/holder-list.js';
import {createHolderClient} from '../client/create-holder-client.js';

const LINK_DELAY_MS = 1;
const SYNC_DELAY_MS = 5;
const LOSSES = 1;
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
	incarnation: number;
	handle: ReturnType<typeof createCopyService> | undefined;
	stopping: AbortController;
};

/** Starts `count` holders on empty disks. A test sets `isPlatformUp` to `false` to stop the platform's service. */
export const createFakeCluster = (count: number) => {
	const hosts = new Map<string, FakeHost>();
	const cut = new Set<string>();
	let declared: HolderList | undefined;
	let nextDisk = 1;
	const cluster = {isPlatformUp: true};

	const isCut = (from: string, to: string): boolean => cut.has(`${from} ${to}`) || cut.has(`${to} ${from}`);

	const openDisk = (host: FakeHost): CopyStore => {
		const {disk, incarnation} = host;
		const index = createCopyIndex();
		for (const record of disk.records) {
			index.add(record);
		}

		return {
			diskId: disk.diskId,
			isNew: disk.records.length === 0,
			index,
			async add(fact) {
				const record = create(RecordSchema, {fact});
				const isNew = index.add(record);
				await wait(SYNC_DELAY_MS);
				if (host.incarnation !== incarnation || !host.isUp) {
					return err('the process has ended');
				}

				if (isNew) {
					disk.records.push(record);
				}

				return ok();
			},
			async compact() {
				return ok();
			},
			bytes: () => 0,
			syncs: () => 0,
			async close() {/* Nothing is open. */},
		};
	};

	const linkFrom = (from: string) => ({address}: Pick<Holder, 'address'>): PeerLink => {
		const to = address;
		const request: PeerLink['request'] = async (init, {timeoutMs}) => {
			const startedAt = Date.now();
			await wait(LINK_DELAY_MS);
			const target = hosts.get(to);
			if (target?.handle && target.isUp && !isCut(from, to)) {
				const {incarnation} = target;
				const answer = await Promise.race([
					new Promise<MessageBody>(resolve => {
						target.handle!({
							link: undefined as never, body: toBody(init), traceparent: '', reply(body) {
								resolve(toBody(body));
							},
						});
					}),
					wait(timeoutMs),
				]);
				await wait(LINK_DELAY_MS);
				if (answer && target.incarnation === incarnation && target.isUp && !isCut(from, to)) {
					return ok(answer as MessageBody);
				}
			}

			await wait(Math.max(0, timeoutMs - (Date.now() - startedAt)));
			return err({kind: 'timeout', message: 'no answer'});
		};

		return {
			remote: () => hosts.get(to)?.isUp && !isCut(from, to) ? create(HelloSchema, {dataFolderId: hosts.get(to)!.disk.diskId}) : undefined,
			isOpen: () => true,
			silentForMs: () => 0,
			send() {/* Every message about copies is a request with an answer. */},
			request,
			openCall: () => ({close() {/* Nothing is open. */}}),
			reply() {/* The handler replies itself. */},
			onClosed() {/* Fake links do not close. */},
			close() {/* Same. */},
		};
	};

	const start = (host: FakeHost): void => {
		host.isUp = true;
		host.incarnation++;
		const store = openDisk(host);
		const linkTo = linkFrom(host.name);
		const {incarnation} = host;
		const syncCopy = async (listVersion: number) => copyFromHolders({
			store, listVersion, losses: LOSSES, linkTo,
		});
		host.handle = createCopyService({store, syncCopy, onError() {/* The test sees the error at the client. */}});
		host.stopping = new AbortController();
		void runHolder({
			self: {diskId: host.disk.diskId, host: host.name, address: host.name},
			store,
			registry: {
				isLoaded: () => true,
				read: () => declared,
				async swap(list) {
					await wait(LINK_DELAY_MS);
					if (!cluster.isPlatformUp || host.incarnation !== incarnation || list.version !== (declared?.version ?? 0) + 1) {
						return false;
					}

					declared = list;
					return true;
				},
			},
			linkTo,
			listRetiring: () => retiring,
			onEmptied(name) {
				emptied.add(name);
			},
			losses: LOSSES,
			lostAfterMs: LOST_AFTER_MS,
			log: silentLog,
			signal: host.stopping.signal,
		}, syncCopy);
	};

	const retiring = new Set<string>();
	const emptied = new Set<string>();

	const add = (name: string): void => {
		const host: FakeHost = {
			name, disk: {diskId: `disk-${nextDisk++}`, records: []}, isUp: false, incarnation: 0, handle: undefined, stopping: new AbortController(),
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
		list: () => declared,
		/** Names of the hosts whose disks have the turn. */
		listCopies: (id: string) => [...hosts.values()].filter(({disk}) => disk.records.some(({fact}) => fact.case === 'turn' && fact.value.id === id)).map(({name}) => name),
		isUp: (name: string) => hosts.get(name)?.isUp ?? false,
		createClient(name: string) {
			let adopted: HolderList | undefined;
			let known = declared;
			return createHolderClient({
				readList() {
					// A client sees a new list with a delay, or learns of it from a holder.
					known = cluster.isPlatformUp && Math.floor(Date.now() / 600) % 2 === 0 ? declared : known;
					return adopted && adopted.version > (known?.version ?? 0) ? adopted : known;
				},
				adoptList(list) {
					adopted = list;
				},
				linkTo: linkFrom(name),
				losses: LOSSES,
				dataCentre: '',
			});
		},
	});
};

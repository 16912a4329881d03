/**
Creates the links between this process and the others of the system.
*/
import {randomUUID} from 'node:crypto';
import {setImmediate as nextIteration} from 'node:timers/promises';
import type {DataCentreId} from '@siskinhub/core/ids/data-centre-id.js';
import type {HostId} from '@siskinhub/core/ids/host-id.js';
import type {createChangePublisher} from '@siskinhub/declared/create-change-publisher.js';
import type {DeclarationRelay} from '@siskinhub/declared/declaration-relay.js';
import type {DeclarationSource} from '@siskinhub/declared/declaration-source.js';
import type {DeclaredView} from '@siskinhub/declared/declared-view.js';
import {createHeartbeatTicker} from '@siskinhub/peer/create-heartbeat-ticker.js';
import {createPauseDetector} from '@siskinhub/peer/create-pause-detector.js';
import {createPeerPool} from '@siskinhub/peer/create-peer-pool.js';
import type {IncomingMessage} from '@siskinhub/peer/incoming-message.js';
import type {LinkSettings} from '@siskinhub/peer/link-settings.js';
import type {PeerLink} from '@siskinhub/peer/peer-link.js';
import {Role} from '@siskinhub/proto/gen/siskinhub/peer/v1/peer_pb.js';
import {chooseRelay} from '@siskinhub/turns/membership/choose-relay.js';
import type {Holder} from '@siskinhub/turns/membership/holder.js';
import {err, ok} from 'neverthrow';
import type {CrashCursor} from '../crashes/crash-cursor.js';
import type {CrashTracker} from '../crashes/crash-tracker.js';
import {fromWireLimit} from '../limits/from-wire-limit.js';
import type {LimitBook} from '../limits/limit-book.js';
import {toWireLimit} from '../limits/to-wire-limit.js';
import {fromWireChanges} from './from-wire-changes.js';
import {toWireChanges} from './to-wire-changes.js';
import {toWireMs} from './to-wire-ms.js';

/** Not shorter, because each heartbeat wakes both processes. */
const HEARTBEAT_INTERVAL_MS = 800;
/** A link is closed after two and a half heartbeat intervals without a message. */
const SILENCE_MS = 2000;
const NEIGHBOUR_TIMEOUT_MS = 500;

type HostLinksOptions = {
	readonly host: HostId;
	readonly dataCentre: DataCentreId;
	readonly view: DeclaredView;
	readonly crashes: CrashTracker;
	readonly limits: LimitBook;
	/** Passes own reads of the platform's service on to other processes; absent in processes that do not read it. */
	readonly publisher?: ReturnType<typeof createChangePublisher<PeerLink>>;
	/** Returns the `lapseGraceMs` for neighbours that ask for changes; see `followStore`. */
	readonly readKnownGraceMs?: () => number | undefined;
	/** Id of this host's disk; absent on hosts that hold no copies. */
	readonly diskId?: string;
	/** Handles every message except those about the declared state. Returns whether it answers the message; if not, the message is refused. */
	readonly onMessage?: (message: IncomingMessage) => boolean;
	/** Called after the process did not run for so long that others may have closed their links to it. */
	readonly onPause: () => void;
	/** Called with the reason for each message that cannot be encoded. */
	readonly onUnsendable: (reason: string) => void;
};

/** The links answer neighbours that ask for changes of the declared state, and tell each other new upstream crashes and limits with each heartbeat. */
export const createHostLinks = ({host, dataCentre, view, crashes, limits, publisher, readKnownGraceMs = () => undefined, diskId = '', onMessage = () => false, onPause, onUnsendable}: HostLinksOptions) => {
	// The newest crash and limit that were sent on each link; a new link gets all of them.
	const sentCrashes = new WeakMap<PeerLink, CrashCursor>();
	const sentLimits = new WeakMap<PeerLink, number>();
	const listUnsent = (link: PeerLink) => ({
		crashes: crashes.listAfter(sentCrashes.get(link)),
		limits: limits.listAfter(sentLimits.get(link) ?? 0),
	});

	const settings: LinkSettings = {
		hello: {
			host, instance: randomUUID(), role: Role.ENTRY, dataCentre, dataFolderId: diskId,
		},
		heartbeatTicker: createHeartbeatTicker(HEARTBEAT_INTERVAL_MS),
		silenceMs: SILENCE_MS,
		createHeartbeat(link) {
			const unsent = listUnsent(link);
			sentCrashes.set(link, unsent.crashes.cursor);
			sentLimits.set(link, unsent.limits.sequence);
			return {
				answered: unsent.crashes.answered.map(({fingerprint, ageMs}) => ({fingerprint, ageMs: toWireMs(ageMs)})),
				crashes: unsent.crashes.crashes.map(({fingerprint, upstream, ageMs}) => ({fingerprint, upstream, ageMs: toWireMs(ageMs)})),
				limits: unsent.limits.limits.map(limit => toWireLimit(limit)),
			};
		},
		hasNews(link) {
			const unsent = listUnsent(link);
			return unsent.crashes.answered.length + unsent.crashes.crashes.length + unsent.limits.limits.length > 0;
		},
		onHeartbeat(_link, heartbeat) {
			crashes.merge(heartbeat);
			limits.merge(heartbeat.limits.map(limit => fromWireLimit(limit)));
		},
		onUnsendable,
		pauseDetector: createPauseDetector(SILENCE_MS, onPause),
		onMessage(message) {
			const {link, body, reply} = message;
			if (body.case === 'changesSince') {
				reply({case: 'changes', value: toWireChanges({...view.changesSince(body.value.revision), lapseGraceMs: readKnownGraceMs()})});
			} else if (body.case === 'followChanges' && publisher) {
				publisher.follow(link, body.value.revision, changes => {
					reply({case: 'changes', value: toWireChanges(changes)});
				});
				link.onClosed(() => {
					publisher.remove(link);
				});
			} else if (!onMessage(message)) {
				reply({case: 'refused', value: {}});
			}
		},
	};
	const pool = createPeerPool(settings);

	const toSource = (link: PeerLink): DeclarationSource => ({
		async readChanges(after) {
			const answer = await link.request({case: 'changesSince', value: {revision: after}}, {timeoutMs: NEIGHBOUR_TIMEOUT_MS});
			if (answer.isErr() || answer.value.case !== 'changes') {
				return err({kind: 'unavailable', message: 'a neighbour did not answer'});
			}

			return ok(fromWireChanges(answer.value.value));
		},
	});

	const toRelay = (address: string, link: PeerLink): DeclarationRelay => ({
		id: address,
		follow(after, onRead, onLost) {
			return link.openCall({case: 'followChanges', value: {revision: after}}, {
				onReply(body) {
					if (body.case === 'changes') {
						onRead(fromWireChanges(body.value));
					}
				},
				onLost,
			});
		},
	});

	return {
		settings,
		linkTo: (address: string): PeerLink => pool.get(address),
		/** Sources of the declared state: one for each address whose link is established. */
		listSources: (addresses: readonly string[]): readonly DeclarationSource[] => addresses.map(address => pool.get(address)).filter(link => link.remote()).map(link => toSource(link)),
		/** Returns the holder that this process is to follow for the declared state; `undefined` if it is to read the platform's service itself. */
		chooseRelay(disks: readonly Holder[], failed: ReadonlySet<string>): DeclarationRelay | undefined {
			if (publisher?.hasFollowers()) {
				return undefined;
			}

			const chosen = chooseRelay({
				disks, ownDiskId: diskId, dataCentre, isUsable: ({diskId: id, address}) => !failed.has(address) && pool.get(address).remote()?.dataFolderId === id,
			});
			return chosen && toRelay(chosen.address, pool.get(chosen.address));
		},
		/** Resolves once what was deferred has been written. */
		async close(): Promise<void> {
			pool.flushAll();
			await nextIteration();
			pool.closeAll('the process is stopping');
		},
	};
};

/**
Keeps one link to each sidecar of the host list and the last load it reported.

The sidecar's own word is used for leaving, since the platform's list lags; a
sidecar without a link, or without a report for the silence bound, is silent.
*/
import type {UpstreamId} from '@siskinhub/core/ids/upstream-id.js';
import {createLinkKeeper} from '@siskinhub/peer/create-link-keeper.js';
import type {PeerPool} from '@siskinhub/peer/peer-pool.js';
import type {Load} from '@siskinhub/proto/gen/siskinhub/peer/v1/peer_pb.js';
import type {PlatformHost} from '@siskinhub/platform/platform-host.js';
import type {HostDirectory} from './host-directory.js';
import type {UpstreamDirectory} from './upstream-directory.js';
import type {UpstreamEntry} from './upstream-entry.js';

type Report = {
	readonly load: Load;
	readonly isLeaving: boolean;
	readonly instance: string;
	readonly at: number;
};

type Counts = {
	sentSinceReport: number;
	outstanding: number;
};

type DirectoryOptions = {
	readonly hosts: HostDirectory;
	readonly pool: () => PeerPool;
	readonly silenceMs: number;
	/** Only owners need load reports; other entries dial a sidecar when they have a call for it. */
	readonly isOwner: () => boolean;
};

/** Creates the directory; `pool` is asked late because the pool's heartbeats end here. */
export const createUpstreamDirectory = ({
	hosts, pool, silenceMs, isOwner,
}: DirectoryOptions): UpstreamDirectory => {
	const reports = new Map<string, Report>();
	const counts = new Map<UpstreamId, Counts>();

	const countsOf = (id: UpstreamId): Counts => {
		const known = counts.get(id);
		if (known) {
			return known;
		}

		const fresh = {sentSinceReport: 0, outstanding: 0};
		counts.set(id, fresh);
		return fresh;
	};

	const stateOf = (isListedLeaving: boolean, report: Report | undefined): UpstreamEntry['state'] => {
		if (!report || Date.now() - report.at > silenceMs) {
			return 'silent';
		}

		if (report.isLeaving || isListedLeaving) {
			return 'leaving';
		}

		return report.load.upstreamUp ? 'live' : 'silent';
	};

	const describe = (sidecars: readonly PlatformHost[]): UpstreamEntry[] => sidecars.flatMap(host => {
		if (!host.upstream) {
			return [];
		}

		const report = reports.get(host.id);
		return [{
			id: host.upstream.id as UpstreamId,
			kind: host.upstream.kind,
			target: host.upstream.target,
			dataCentre: host.dataCentre,
			sidecarAddress: host.peerAddress,
			sidecarInstance: report?.instance,
			state: stateOf(host.state === 'leaving', report),
			load: report?.load,
			reportedAt: report?.at ?? 0,
			...countsOf(host.upstream.id as UpstreamId),
		}];
	});

	const links = createLinkKeeper(pool);

	const isNeeded = (address: string): boolean => isOwner() && hosts.sidecars().some(host => host.peerAddress === address);

	return {
		list: () => describe(hosts.sidecars()),
		listFor: target => describe(hosts.sidecarsFor(target)),
		follow() {
			for (const {peerAddress} of hosts.sidecars()) {
				pool().get(peerAddress);
			}
		},
		sync() {
			for (const {peerAddress} of hosts.sidecars()) {
				links.keep(peerAddress, () => isNeeded(peerAddress));
			}
		},
		receiveHeartbeat(link, heartbeat) {
			const remote = link.remote();
			if (!remote || !heartbeat.load) {
				return;
			}

			reports.set(remote.host, {
				load: heartbeat.load, isLeaving: heartbeat.leaving, instance: remote.instance, at: Date.now(),
			});
			const upstream = hosts.findSidecar(remote.host)?.upstream;
			if (upstream) {
				countsOf(upstream.id as UpstreamId).sentSinceReport = 0;
			}
		},
		noteSent(id) {
			const count = countsOf(id);
			count.sentSinceReport++;
			count.outstanding++;
		},
		noteEnded(id) {
			const count = countsOf(id);
			count.outstanding = Math.max(0, count.outstanding - 1);
		},
	};
};

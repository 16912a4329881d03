/**
Keeps one link to each sidecar of the host list, and the load that each sidecar
reported last.

An upstream is leaving if either its sidecar or the host list says so; the
sidecar's own report is earlier, because the list lags. An upstream is silent if
its sidecar has not reported for `silenceMs`, or reports that the upstream is down.
*/
import type {UpstreamId} from '@siskinhub/core/ids/upstream-id.js';
import {createLinkReconnector} from '@siskinhub/peer/create-link-reconnector.js';
import type {PeerPool} from '@siskinhub/peer/peer-pool.js';
import type {Load} from '@siskinhub/proto/gen/siskinhub/peer/v1/peer_pb.js';
import type {PlatformHost} from '@siskinhub/platform/platform-host.js';
import type {HostDirectory} from './host-directory.js';
import type {SidecarDirectory} from './sidecar-directory.js';
import type {UpstreamStatus} from './upstream-status.js';

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
	/** Whether this entry owns a shard. Only owners need load reports; other entries connect to a sidecar when they have a call for it. */
	readonly isOwner: () => boolean;
};

/** Creates the directory. `pool` is a function because the pool is created later: its heartbeats are received here. */
export const createSidecarDirectory = ({
	hosts, pool, silenceMs, isOwner,
}: DirectoryOptions): SidecarDirectory => {
	const reports = new Map<string, Report>();
	const counts = new Map<UpstreamId, Counts>();

	const getCounts = (id: UpstreamId): Counts => {
		const known = counts.get(id);
		if (known) {
			return known;
		}

		const fresh = {sentSinceReport: 0, outstanding: 0};
		counts.set(id, fresh);
		return fresh;
	};

	const getState = (isListedLeaving: boolean, report: Report | undefined): UpstreamStatus['state'] => {
		if (!report || Date.now() - report.at > silenceMs) {
			return 'silent';
		}

		if (report.isLeaving || isListedLeaving) {
			return 'leaving';
		}

		return report.load.upstreamUp ? 'live' : 'silent';
	};

	const describeUpstreams = (sidecars: readonly PlatformHost[]): UpstreamStatus[] => sidecars.flatMap(host => {
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
			state: getState(host.state === 'leaving', report),
			load: report?.load,
			reportedAt: report?.at ?? 0,
			...getCounts(host.upstream.id as UpstreamId),
		}];
	});

	const links = createLinkReconnector(pool);

	const isNeeded = (address: string): boolean => isOwner() && hosts.sidecars().some(host => host.peerAddress === address);

	return {
		list: () => describeUpstreams(hosts.sidecars()),
		listFor: target => describeUpstreams(hosts.sidecarsFor(target)),
		connectToAll() {
			for (const {peerAddress} of hosts.sidecars()) {
				pool().get(peerAddress);
			}
		},
		syncLinks() {
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
				getCounts(upstream.id as UpstreamId).sentSinceReport = 0;
			}
		},
		recordGrantSent(id) {
			const count = getCounts(id);
			count.sentSinceReport++;
			count.outstanding++;
		},
		recordGrantEnded(id) {
			const count = getCounts(id);
			count.outstanding = Math.max(0, count.outstanding - 1);
		},
	};
};

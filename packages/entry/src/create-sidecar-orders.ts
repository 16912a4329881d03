/**
Sends orders to sidecars over the links that the owner keeps to them.
*/
import type {UpstreamId} from '@siskinhub/core/ids/upstream-id.js';
import type {PeerPool} from '@siskinhub/peer/peer-pool.js';
import type {HostDirectory} from './directory/host-directory.js';
import type {SidecarOrders} from './owner/sidecar-orders.js';

/** Creates the sender. An order may be lost with its link; the sidecar then reconciles later on its own. */
export const createSidecarOrders = (pool: PeerPool, hosts: HostDirectory): SidecarOrders => ({
	cancelRun(sidecarAddress, {shard, epoch, claim}) {
		pool.get(sidecarAddress).send({case: 'cancelRun', value: {shard, epoch: BigInt(epoch), claim}});
	},
	releasePrefix({
		shard, epoch, program, upstreams,
	}) {
		for (const sidecar of hosts.sidecars()) {
			if (sidecar.upstream && upstreams.has(sidecar.upstream.id as UpstreamId)) {
				pool.get(sidecar.peerAddress).send({case: 'releasePrefix', value: {shard, epoch: BigInt(epoch), programs: [program]}});
			}
		}
	},
});

/**
What the holder that plans changes of replica groups knows.
*/
import type {Holder} from './holder.js';

export type PlannerView = {
	/** Registered disks that may become members: reachable, and their hosts are not retiring. */
	readonly candidates: readonly Holder[];
	/** Disk ids of the holders whose links are open, including its own. */
	readonly reachable: ReadonlySet<string>;
	/** Disk ids of the holders that count as lost: unreachable for too long, or another disk is at their address. */
	readonly lost: ReadonlySet<string>;
	/** Hosts that operators are retiring; their copies must move to other holders. */
	readonly retiring: ReadonlySet<string>;
	/** Number of disks that may be lost at the same time. */
	readonly losses: number;
	/** In how many groups each disk is, by its id. */
	readonly groupsByDisk: ReadonlyMap<string, number>;
};
